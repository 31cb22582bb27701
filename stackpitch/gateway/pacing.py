"""Derived limits: a client's buffer and reading speed, a response's events, the pace of releases. Pure."""

from stackpitch.interface import MS, Time

MIN_BUFFER = 1 << 14  # bytes; with less, a stream would wait for its client at every other read
DRAIN_SLACK = 2  # the kernel takes buffered bytes in bursts
# One event per token is usual. The extra ones are for usage and the end.
EVENTS_PER_TOKEN, EXTRA_EVENTS = 4, 64

# The quick steps of a release overlap, in the time of three calls: so many fit into the time that the
# protocol allows.
QUICK_RELEASES = 9
OVERLAPPING = 3  # quick steps at the same time
# The most between two quick steps: the time that the protocol grants beyond the settings' is the same for all of these.
QUICK_GAP: Time = 42 * MS
# How many workers a release calls at each quick step; it grows, as most workers may be silent together.
QUICK_WIDTHS = (1, 1, 1, 1, 2, 2, 4, 4, 8)
LATE_WIDTH = 4  # workers called at each later step
SECOND_RELEASE_PERCENT = 90  # of the time allowed


def client_buffer(memory: int, clients: int, most: int) -> int:
    """Bytes that may be buffered for each client so that all together fit in `memory`."""
    return max(MIN_BUFFER, min(most, memory // max(1, clients)))


def drain_time_limit(size: int, passed: int, events: int, gap: Time) -> Time | None:
    """How long a client that has fallen behind may take to read `size` bytes; None: no such limit.

    Twice the time in which its product owes it as many tokens, one per `gap`, by the mean size of the
    stream's events so far (`passed` bytes in `events`). It applies only while a complete buffer waits for
    the client, or all of its response; a stream of which little is buffered is never checked, however
    slow.
    """
    return DRAIN_SLACK * size * events * gap // passed if gap and passed else None


def max_events(tokens: int) -> int | None:
    """The most events in a response of at most so many tokens; None: the request gives no such limit."""
    return EVENTS_PER_TOKEN * tokens + EXTRA_EVENTS if tokens else None


def second_release_delay(allowed: Time) -> Time:
    """How long after its first release a request is released again, if a read may have ended unseen.

    The read may succeed until its worker notices that its connection was closed, and its KV state is held
    from then on. `allowed`: how long KV state may be held.
    """
    return allowed * SECOND_RELEASE_PERCENT // 100


def release_width(step: int, urgent: bool) -> int:
    """How many workers a release calls at once at a step, counted from 0.

    `urgent`: its time is running out.
    """
    if not urgent:
        return 1
    return QUICK_WIDTHS[step] if step < QUICK_RELEASES else LATE_WIDTH


def release_gap(step: int, limit: Time) -> Time:
    """The time from a release's step, counted from 0, to the next. `limit`: the time limit of each call.

    Early steps overlap, as several workers in a row may be silent; later ones do not, as then hardly any
    worker can be reached.
    """
    return min(limit // OVERLAPPING, QUICK_GAP) if step < QUICK_RELEASES else limit
