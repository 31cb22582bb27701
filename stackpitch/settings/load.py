"""Evaluates a Jsonnet file and checks it against a model. Reads files; keeps nothing."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

import rjsonnet
from pydantic import BaseModel, ValidationError

from stackpitch.settings.model import LIVE_SETTINGS, Settings

M = TypeVar("M", bound=BaseModel)


class BadSettings(Exception):
    """What is wrong in which file, a line for each complaint."""


def evaluate(path: Path, given: Mapping[str, str] | None = None) -> Any:
    """The file's value. `given` are external variables (`std.extVar`). Raises BadSettings."""
    try:
        path.read_bytes().decode("utf-8")
    except OSError as wrong:
        raise BadSettings(f"{path}: {wrong.strerror}") from None
    except UnicodeDecodeError as wrong:
        raise BadSettings(f"{path}: not UTF-8 at byte {wrong.start}") from None
    try:
        return json.loads(rjsonnet.evaluate_file(str(path), ext_vars=dict(given or {})))
    except Exception as wrong:  # the library raises several kinds
        lines = [line.strip() for line in str(wrong).strip().splitlines() if line.strip()]
        raise BadSettings(f"{path}: {'; '.join(lines[:3])[:400]}") from None


def check(model: type[M], tree: Any, path: Path | str) -> M:
    """Raises BadSettings with path of the field, what was found and what is allowed."""
    try:
        return model.model_validate(tree)
    except ValidationError as wrong:
        lines = []
        for one in wrong.errors(include_url=False):
            field = ".".join(str(part) for part in one["loc"] if part != "[key]") or "(whole)"
            if one["type"] == "extra_forbidden":
                lines.append(
                    f"{path}: {field}: unknown field; allowed beside it: {_beside(model, one['loc'])}"
                )
            elif one["type"] == "missing":
                lines.append(f"{path}: {field}: missing")
            else:
                lines.append(f"{path}: {field}: {one['msg']}; found {str(one['input'])[:60]!r}")
        raise BadSettings("\n".join(lines)) from None


def _beside(model: type[BaseModel], place: tuple[int | str, ...]) -> str:
    """The fields that the model has where an unknown one was found."""
    here: Any = model
    for step in place[:-1]:
        field = (
            here.model_fields.get(str(step))
            if isinstance(here, type) and issubclass(here, BaseModel)
            else None
        )
        kind = field.annotation if field is not None else here
        args = [one for one in getattr(kind, "__args__", ()) if isinstance(one, type)]
        models = [one for one in [kind, *args] if isinstance(one, type) and issubclass(one, BaseModel)]
        here = models[-1] if models else kind
    return ", ".join(here.model_fields) if isinstance(here, type) and issubclass(here, BaseModel) else "-"


def read(model: type[M], path: Path, given: Mapping[str, str] | None = None) -> M:
    return check(model, evaluate(path, given), path)


def schema(model: type[BaseModel]) -> dict[str, Any]:
    """JSON Schema. `x-live` marks settings that a running gateway takes over; all others need a restart."""
    tree = model.model_json_schema()
    if model is Settings:
        for name, field in tree["properties"].items():
            field["x-live"] = name in LIVE_SETTINGS
    return tree
