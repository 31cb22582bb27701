"""The state of each version at this gateway's site, in the terms of `docs/duties.md`."""

from collections import Counter
from collections.abc import Iterable, Mapping

from stackpitch.duties.weights.placing.folder import Released
from stackpitch.duties.weights.receiving.fetch_tasks import Entry

STATES = ("checking", "missing pieces", "whole", "placed", "released", "failed")


def state(entry: Entry, released: str) -> str:
    """One of `STATES`. `released`: the version of the model that is in service."""
    if entry.trouble is not None:
        return "failed"
    if entry.copy.placed:
        return "released" if released == entry.version[1] else "placed"
    if not entry.ready:
        return "checking"
    return "whole" if entry.pieces.have == entry.manifest.full else "missing pieces"


def count_states(entries: Iterable[Entry], releases: Mapping[str, Released]) -> dict[str, int]:
    """The number of versions by state. States without a version count 0, as a missing figure looks like an unsupported one."""
    counts = Counter(state(entry, releases.get(entry.model, Released()).version) for entry in entries)
    return {name: counts[name] for name in STATES}
