"""In which state each version at this gateway's site is, as `docs/duties.md` names them."""

from collections import Counter
from collections.abc import Iterable, Mapping

from stackpitch.duties.weights.placing.folder import Released
from stackpitch.duties.weights.receiving.fetch_tasks import Entry

STATES = ("checking", "missing pieces", "whole", "placed", "released", "failed")


def state(entry: Entry, released: str) -> str:
    """`released`: the version of its model that is in service."""
    if entry.trouble is not None:
        return "failed"
    if entry.copy.placed:
        return "released" if released == entry.version[1] else "placed"
    if not entry.ready:
        return "checking"
    return "whole" if entry.pieces.have == entry.manifest.full else "missing pieces"


def counted(entries: Iterable[Entry], releases: Mapping[str, Released]) -> dict[str, int]:
    """Versions by state; every state is named, as a figure that is missing looks like one that is not kept."""
    found = Counter(state(one, releases.get(one.model, Released()).version) for one in entries)
    return {name: found[name] for name in STATES}
