"""Whether a request may be taken from a client and its connection ended, and whether an attempt for it may be sent, started
for the client, cancelled, or a place be held or released for it, now. Pure.

Asked at the instant of acting, with the facts as they are then: what the decision module knew when it decided may be
long past, as a connection may have been in the making meanwhile, or this process not have run. Callers don't repeat
these conditions. What is forbidden is counted by act and reason (`Denials`). Some reasons can't come up unless the
module has erred (`INVARIANTS`): those are told as errors with the request's id.
"""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

from stackpitch.gateway.resend_window import resend_deadline
from stackpitch.interface import MS, SECOND, Leg, Time

# After SIGTERM, what arrives within this time may be taken. The protocol page excuses just these if SIGKILL, which comes
# with the longest deadline after that, finds them unanswered. Whatever arrives later on an open connection and is still
# under way then is lost, so it is refused.
ACCEPT_WINDOW: Time = 7 * SECOND // 10
RETRY_ELSEWHERE: Time = (
    100 * MS
)  # told to clients that are refused then: the front sends them to another gateway


class Act(StrEnum):
    TAKE = "take"  # a client's request
    SEND = "send"  # the attempt's first byte
    START = "start"  # its stream, for the client
    CANCEL = "cancel"
    HOLD = "hold"  # a place for its next part
    RELEASE = "release"  # what workers hold for the request
    END = "end"  # the client's connection


class Reason(StrEnum):
    """Why an act is forbidden."""

    STOPPING = "stopping"  # the process ends, and may be killed before the request could have its answer
    CLIENT_LEFT = "client-left"
    ANSWERED = "answered"  # the request has its final answer
    SERVER_DRAINING = "server-draining"
    SERVER_GONE = "server-gone"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    WINDOW = "window"  # servers may have forgotten an earlier attempt with this key
    ANOTHER_OUT = "another-out"  # an earlier attempt has no outcome yet
    MAY_HAVE_RUN = "may-have-run"  # an earlier attempt may have had its effect, which must not come twice
    ANOTHER_SERVES = "another-serves"  # the client gets another attempt's stream
    SERVES = "serves"  # the client gets this attempt's stream
    ENDED = "ended"  # the attempt has its outcome
    NOTHING_HELD = "nothing-held"
    REQUEST_CAME = "request-came"  # on the connection, and nobody has read it
    UNANSWERED = "unanswered"  # the connection's request was taken and has no final answer


INVARIANTS = frozenset({Reason.ANOTHER_OUT, Reason.MAY_HAVE_RUN, Reason.UNANSWERED})


@dataclass(frozen=True, slots=True)
class AttemptState:
    """What is known of an attempt at the instant of acting, beside what it says itself."""

    time: Time
    client_left: bool = False
    cancelled: bool = False
    deadline: Time | None = None  # of the attempt
    serving: Leg | None = None  # the attempt whose stream the client gets


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """What is known of a client's connection at the instant at which it would end."""

    unread: bool = False  # bytes have come that nobody has read
    taken: bool = False  # its last request was taken
    answered: bool = False  # and has its final answer
    client_left: bool = False


def accepts_until(told_to_stop: Time) -> Time:
    """`told_to_stop`: the earliest time at which the signal may have been sent."""
    return told_to_stop + ACCEPT_WINDOW


def accept_denial(now: Time, until: Time | None) -> Reason | None:
    """None: a request that is complete now may be taken. `until`: when the last may be; None: the gateway doesn't stop."""
    return Reason.STOPPING if until is not None and now >= until else None


def retry_elsewhere_after(most: Time) -> Time:
    """When a client that is refused as the gateway stops may come again. `most`: that the settings allow, 0 for none."""
    return min(RETRY_ELSEWHERE, most)


def send_denial(leg: Leg, now: AttemptState) -> Reason | None:
    """None: it may."""
    request = leg.gen
    if now.client_left:
        return Reason.CLIENT_LEFT
    if request.over:
        return Reason.ANSWERED
    if leg.server.state != "ready":
        return Reason.SERVER_DRAINING if leg.server.state == "draining" else Reason.SERVER_GONE
    if now.cancelled:
        return Reason.CANCELLED
    if now.deadline is not None and now.time >= now.deadline:
        return Reason.DEADLINE
    earlier = [one for one in request.legs if one is not leg]
    if any(one.outcome is None for one in earlier):
        return Reason.ANOTHER_OUT
    if request.product.effect == "side-effecting" and any(one is not leg for one in request.may_have_run()):
        return Reason.MAY_HAVE_RUN
    until = resend_deadline(leg)
    if until is not None and now.time >= until:
        return Reason.WINDOW
    return None


def start_denial(leg: Leg, now: AttemptState) -> Reason | None:
    """None: the client may get this attempt's stream."""
    if leg.gen.over:
        return Reason.ANSWERED
    if now.serving is not None:
        return Reason.ANOTHER_SERVES
    return Reason.CANCELLED if now.cancelled else None


def cancel_denial(leg: Leg, now: AttemptState) -> Reason | None:
    """None: its task may be ended."""
    if leg is now.serving:
        return Reason.SERVES
    return Reason.ENDED if leg.outcome is not None else None


def hold_denial(leg: Leg) -> Reason | None:
    """None: a place may be asked for."""
    return Reason.ANSWERED if leg.gen.over else None


def release_denial(held: bool) -> Reason | None:
    """None: workers may be told to release what they hold for a request. `held`: that may be something."""
    return None if held else Reason.NOTHING_HELD


def end_denial(connection: ConnectionState) -> Reason | None:
    """None: this side may end it."""
    if connection.unread:
        return Reason.REQUEST_CAME
    owed = connection.taken and not connection.answered and not connection.client_left
    return Reason.UNANSWERED if owed else None


class Denials:
    """What was forbidden since it was last told. As many entries as there are acts and reasons."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[Act, Reason]] = Counter()

    def note(self, act: Act, reason: Reason) -> bool:
        """Whether an invariant is broken: the module has decided what it must not."""
        self.counts[act, reason] += 1
        return reason in INVARIANTS

    def take(self) -> dict[str, int]:
        """By `act reason`; counts anew from now on."""
        found = {f"{act} {reason}": count for (act, reason), count in sorted(self.counts.items())}
        self.counts.clear()
        return found
