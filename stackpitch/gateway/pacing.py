"""How much may wait for a client, how slowly it may take it, how long an answer may go on, and when a release is tried
again. Pure."""

from stackpitch.interface import Time

MIN_BUFFER = 1 << 14  # bytes; under this a stream would wait for its client at every other read
SLACK = 2  # what the system takes from here comes in lumps
EVENTS_PER_TOKEN, EXTRA_EVENTS = (
    4,
    64,
)  # one event a token is usual; beside them usage, load, end and signs of life

QUICK_RELEASES = (
    9  # steps of a release that overlap, in the time of three: so many fit into what the page grants
)
OVERLAPPING = 3  # of them at once
# Workers that a release tells at its quick steps, as most of them may be silent together; and at each later one.
QUICK_WIDTHS = (1, 1, 1, 1, 2, 2, 4, 4, 8)
LATE_WIDTH = 4
AGAIN_PART = 90  # percent of the time allowed


def client_buffer(memory: int, clients: int, most: int) -> int:
    """Bytes that may wait for each of so many clients, for all to fit in `memory`."""
    return max(MIN_BUFFER, min(most, memory // max(1, clients)))


def drain_time_limit(size: int, passed: int, events: int, gap: Time) -> Time | None:
    """In which a client that has fallen behind has to take `size` bytes of what waits for it: twice that in which its
    product owes it as many tokens, one a `gap`, by the stream's own mean of bytes an event. It is asked of a client only while
    a whole buffer waits for it, or its answer is whole here; a stream with little to take, however slow, is never looked at.
    None: no gap was agreed on."""
    return SLACK * size * events * gap // passed if gap and passed else None


def max_events(tokens: int) -> int | None:
    """Of an answer that was to have so many tokens at most; None: it was not said."""
    return EVENTS_PER_TOKEN * tokens + EXTRA_EVENTS if tokens else None


def second_release_delay(allowed: Time) -> Time:
    """From a release of what a read may have left unseen to another one: the read may end well until its worker has seen
    that its connection was closed, and its state is held from then on. `allowed`: for which it may be held."""
    return allowed * AGAIN_PART // 100


def release_width(number: int, urgent: bool) -> int:
    """How many workers a release tells at once at a step, counted from 0. `urgent`: whether its time is running out."""
    if not urgent:
        return 1
    return QUICK_WIDTHS[number] if number < QUICK_RELEASES else LATE_WIDTH


def release_gap(number: int, limit: Time) -> Time:
    """From a release's step, counted from 0, to the next. `limit`: that each worker has to answer. Early steps overlap, as
    several workers in a row may be silent; later ones don't, as then hardly any can be reached."""
    return limit // OVERLAPPING if number < QUICK_RELEASES else limit
