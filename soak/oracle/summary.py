"""One line on what a run was like: its load, what came of it, and what was excused."""

from collections import Counter

from soak.oracle.excuses import MOST_EXCUSED
from soak.oracle.seen import Seen
from soak.records import Record


def served(record: Record) -> str:
    """What came of the requests, and what was met on the way."""
    whole = sum(one.status == 200 and one.whole for one in record.requests)
    refused = sum(one.status in (429, 503) for one in record.requests)
    failed = sum(one.status not in (0, 200, 429, 503) for one in record.requests)
    left = sum(one.left is not None for one in record.requests)
    reads = Counter(one.outcome for one in record.attempts)
    by_request = Counter(one.request for one in record.attempts if one.role == "writer")
    repeats = sum(count - 1 for count in by_request.values())
    departed = sum(one.departed is not None for one in record.attempts)
    return (
        f"{len(record.requests)} requests: {whole} served, {refused} refused, {failed} failed, {left} left; "
        f"{len(record.attempts)} attempts, {repeats} repeats, {reads['declined']} declined, {reads['read']} reads, "
        f"{len(record.releases)} releases, {record.restarts} restarts, {departed} streams departed from their form, "
        f"{len(record.unsound_requests)} unsound requests"
    )


def excuses(seen: Seen) -> str:
    """How often each was used. A run in which many requests were excused says so."""
    used = ", ".join(f"{name} {count}" for name, count in sorted(seen.excused.items())) or "none"
    many = seen.excused.total() > MOST_EXCUSED * len(seen.record.requests)
    return f"excused: {used}{'; MORE THAN ONE REQUEST IN TWENTY' if many else ''}"
