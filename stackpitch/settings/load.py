"""Evaluates Jsonnet files and validates them against a model."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

import rjsonnet
from pydantic import BaseModel, ValidationError

from stackpitch.settings.model import LIVE_SETTINGS, Settings

Model = TypeVar("Model", bound=BaseModel)


class BadSettings(Exception):
    """Invalid settings; the message has one line for each error, which names the file."""


def evaluate(path: Path, ext_vars: Mapping[str, str] | None = None) -> Any:
    """The value of a Jsonnet file.

    `ext_vars` are its external variables (`std.extVar`). Raises BadSettings.
    """
    try:
        path.read_bytes().decode("utf-8")
    except OSError as error:
        raise BadSettings(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise BadSettings(f"{path}: not UTF-8 at byte {error.start}") from None
    try:
        return json.loads(rjsonnet.evaluate_file(str(path), ext_vars=dict(ext_vars or {})))
    except Exception as error:  # rjsonnet raises exceptions of several classes
        lines = [line.strip() for line in str(error).strip().splitlines() if line.strip()]
        raise BadSettings(f"{path}: {'; '.join(lines[:3])[:400]}") from None


def check(model: type[Model], tree: Any, path: Path | str) -> Model:
    """The tree as a model. Raises BadSettings with each field's path, what was found and what is allowed."""
    try:
        return model.model_validate(tree)
    except ValidationError as error:
        lines = []
        for detail in error.errors(include_url=False):
            field = ".".join(str(part) for part in detail["loc"] if part != "[key]") or "(whole)"
            if detail["type"] == "extra_forbidden":
                lines.append(
                    f"{path}: {field}: unknown field; allowed beside it: {_sibling_fields(model, detail['loc'])}"
                )
            elif detail["type"] == "missing":
                lines.append(f"{path}: {field}: missing")
            else:
                lines.append(f"{path}: {field}: {detail['msg']}; found {str(detail['input'])[:60]!r}")
        raise BadSettings("\n".join(lines)) from None


def _sibling_fields(model: type[BaseModel], path: tuple[int | str, ...]) -> str:
    """The fields that the model allows where an unknown one was found."""
    current: Any = model
    for step in path[:-1]:
        field = (
            current.model_fields.get(str(step))
            if isinstance(current, type) and issubclass(current, BaseModel)
            else None
        )
        annotation = field.annotation if field is not None else current
        args = [arg for arg in getattr(annotation, "__args__", ()) if isinstance(arg, type)]
        models = [cls for cls in [annotation, *args] if isinstance(cls, type) and issubclass(cls, BaseModel)]
        current = models[-1] if models else annotation
    return (
        ", ".join(current.model_fields)
        if isinstance(current, type) and issubclass(current, BaseModel)
        else "-"
    )


def read(model: type[Model], path: Path, ext_vars: Mapping[str, str] | None = None) -> Model:
    """Evaluates a file and validates it. Raises BadSettings."""
    return check(model, evaluate(path, ext_vars), path)


def schema(model: type[BaseModel]) -> dict[str, Any]:
    """The JSON Schema of a model.

    `x-live` marks settings that a running gateway reloads; others need a restart.
    """
    tree = model.model_json_schema()
    if model is Settings:
        for name, field in tree["properties"].items():
            field["x-live"] = name in LIVE_SETTINGS
    return tree
