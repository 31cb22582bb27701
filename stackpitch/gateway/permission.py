"""Decides whether an action on a request, attempt or client connection is permitted now. Pure.

Checked when the action is due, with the facts of that moment: the decision module's facts may be out of
date by then, as a connection may have been opened meanwhile, or this process not have been scheduled.
Callers do not repeat these conditions. Each `*_denial` function returns why the action is not permitted,
or None if it is. Denials are counted by action and reason (`Denials`). Some reasons can only arise from a
fault in the module (`INVARIANTS`): these are logged as errors with the request's id.
"""

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

from stackpitch.gateway.resend_window import resend_deadline
from stackpitch.interface import MS, SECOND, Leg, Time

# After SIGTERM, requests that arrive within this time may be accepted. The protocol excuses only these if
# SIGKILL, which follows the signal by the longest deadline, finds them unanswered. A request that arrives
# later on an open connection would be lost if it were still running then, so it is refused.
ACCEPT_WINDOW: Time = 7 * SECOND // 10
RETRY_ELSEWHERE: Time = 100 * MS  # retry-after of those refusals: the load balancer picks another gateway


class Act(StrEnum):
    """An action that needs permission."""

    ACCEPT = "take"  # accept a client's request
    SEND = "send"  # write the first byte of an attempt
    START = "start"  # forward an attempt's stream to the client
    CANCEL = "cancel"  # cancel an attempt
    HOLD = "hold"  # reserve a slot for the request's next attempt
    RELEASE = "release"  # release what workers hold for the request
    END = "end"  # end the client's connection


class Reason(StrEnum):
    """Why an action is not permitted."""

    STOPPING = "stopping"  # the process stops, and may be killed before the request could be answered
    CLIENT_LEFT = "client-left"
    ANSWERED = "answered"  # the request has its final response
    SERVER_DRAINING = "server-draining"
    SERVER_GONE = "server-gone"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    WINDOW = "window"  # servers may have forgotten an earlier attempt with this key
    ANOTHER_OUT = "another-out"  # an earlier attempt has no outcome yet
    MAY_HAVE_RUN = "may-have-run"  # an earlier attempt may have had its effect, which must not happen twice
    ANOTHER_SERVES = "another-serves"  # the client receives another attempt's stream
    SERVES = "serves"  # the client receives this attempt's stream
    ENDED = "ended"  # the attempt has its outcome
    NOTHING_HELD = "nothing-held"
    REQUEST_CAME = "request-came"  # a request has arrived on the connection and is unread
    UNANSWERED = "unanswered"  # the connection's request was accepted and has no final response


INVARIANTS = frozenset({Reason.ANOTHER_OUT, Reason.MAY_HAVE_RUN, Reason.UNANSWERED})


@dataclass(frozen=True, slots=True)
class AttemptState:
    """What is known of an attempt when an action is due, besides the fields of the leg itself."""

    time: Time
    client_left: bool = False
    cancelled: bool = False
    deadline: Time | None = None  # of the attempt
    serving: Leg | None = None  # the attempt whose stream the client receives


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """What is known of a client connection when it is about to end."""

    unread: bool = False  # bytes have arrived and are unread
    accepted: bool = False  # its last request was accepted
    answered: bool = False  # and has its final response
    client_left: bool = False


def accepts_until(stop_signalled: Time) -> Time:
    """`stop_signalled`: the earliest time at which the signal may have been sent."""
    return stop_signalled + ACCEPT_WINDOW


def accept_denial(now: Time, until: Time | None) -> Reason | None:
    """Whether a request that is complete now may be accepted.

    `until`: None while the gateway is not stopping.
    """
    return Reason.STOPPING if until is not None and now >= until else None


def retry_elsewhere_after(max_retry_after: Time) -> Time:
    """The retry-after of refusals while the gateway stops.

    `max_retry_after`: the settings' bound, 0 for none sent.
    """
    return min(RETRY_ELSEWHERE, max_retry_after)


def send_denial(leg: Leg, now: AttemptState) -> Reason | None:
    """Whether the attempt's first byte may be written."""
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
    earlier = [other for other in request.legs if other is not leg]
    if any(other.outcome is None for other in earlier):
        return Reason.ANOTHER_OUT
    if request.product.effect == "side-effecting" and any(
        other is not leg for other in request.may_have_run()
    ):
        return Reason.MAY_HAVE_RUN
    until = resend_deadline(leg)
    if until is not None and now.time >= until:
        return Reason.WINDOW
    return None


def start_denial(leg: Leg, now: AttemptState) -> Reason | None:
    """Whether the client may receive this attempt's stream."""
    if leg.gen.over:
        return Reason.ANSWERED
    if now.serving is not None:
        return Reason.ANOTHER_SERVES
    return Reason.CANCELLED if now.cancelled else None


def cancel_denial(leg: Leg, now: AttemptState) -> Reason | None:
    """Whether the attempt's task may be cancelled."""
    if leg is now.serving:
        return Reason.SERVES
    return Reason.ENDED if leg.outcome is not None else None


def hold_denial(leg: Leg) -> Reason | None:
    """Whether a slot may be reserved."""
    return Reason.ANSWERED if leg.gen.over else None


def release_denial(held: bool) -> Reason | None:
    """Whether workers may be told to release what they hold for a request.

    `held`: they may hold something.
    """
    return None if held else Reason.NOTHING_HELD


def end_denial(connection: ConnectionState) -> Reason | None:
    """Whether the gateway may end the connection."""
    if connection.unread:
        return Reason.REQUEST_CAME
    owed = connection.accepted and not connection.answered and not connection.client_left
    return Reason.UNANSWERED if owed else None


class Denials:
    """Counts of denied actions since the last `take`; one entry per action and reason."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[Act, Reason]] = Counter()

    def record(self, act: Act, reason: Reason) -> bool:
        """Counts a denial; True if it shows a broken invariant, a decision that the module must not make."""
        self.counts[act, reason] += 1
        return reason in INVARIANTS

    def take(self) -> dict[str, int]:
        """The counts by `act reason`, which then start from zero."""
        counts = {f"{act} {reason}": count for (act, reason), count in sorted(self.counts.items())}
        self.counts.clear()
        return counts
