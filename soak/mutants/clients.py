"""Mutants of what clients are owed beside answers: no work for those that have gone, an end for those that stop halfway,
and deadlines that are theirs."""

from collections.abc import Callable
from typing import Any

from soak.mutants.acting import Mutant, acted, patch
from stackpitch.gateway.client_request import ClientRequest
from stackpitch.gateway.host.events import EventDispatcher
from stackpitch.gateway.request_receiving import RequestReceiver
from stackpitch.loop import MS, Time
from stackpitch.platform.leg import PlatformLeg

NOTICED_LATE = 500 * MS
STOPPED_FOR = 4200 * MS  # for each part of a request; an end is owed within three seconds
LONG, BY_A_HAIR = 3000 * MS, 400 * MS


def client_left() -> None:
    """Nobody looks whether the client has left, nor is told."""
    patch(ClientRequest, "client_left", lambda self: False)

    def unheard(self: Any, ask: Any) -> None:
        acted()

    patch(EventDispatcher, "client_departed", unheard)


def client_left_late() -> None:
    """That a client has left is noticed half a second late."""
    departed = EventDispatcher.client_departed
    patch(ClientRequest, "client_left", lambda self: False)

    def later(self: Any, ask: Any) -> None:
        acted()
        self.world.at(self.world.now() + NOTICED_LATE, lambda: departed(self, ask))

    patch(EventDispatcher, "client_departed", later)


def stopped_client() -> None:
    """A client that stops in the middle of a request is waited for for over four seconds."""
    begin = RequestReceiver.__init__

    def patient(self: Any, *args: Any, **named: Any) -> None:
        begin(self, *args, **named)
        acted()
        self.head = self.body = STOPPED_FOR

    patch(RequestReceiver, "__init__", patient)


def _told_more(more: Callable[[Any], Time]) -> None:
    request = PlatformLeg._build_request

    def longer(self: Any) -> bytes:
        said = more(self)
        if said:
            acted()
        self.deadline += said
        data = request(self)
        self.deadline -= said
        return data

    patch(PlatformLeg, "_build_request", longer)


def long_deadline() -> None:
    """Workers are told three seconds more than is left."""
    _told_more(lambda run: LONG)


def long_deadline_by_a_hair() -> None:
    """Workers are told 0.4 s more than is left."""
    _told_more(lambda run: BY_A_HAIR)


def long_deadline_of_repeats() -> None:
    """Workers are told 0.4 s more than is left, but only by attempts after one that failed."""
    _told_more(lambda run: BY_A_HAIR * any(one.outcome not in (None, "read") for one in run.leg.gen.legs))


MUTANTS = {
    "client-left": Mutant("client-left", client_left),
    "client-left-late": Mutant("client-left", client_left_late),
    "stopped-client": Mutant("stopped-clients", stopped_client),
    "long-deadline": Mutant("deadline", long_deadline),
    "long-deadline-by-a-hair": Mutant("deadline", long_deadline_by_a_hair),
    "long-deadline-of-repeats": Mutant("deadline", long_deadline_of_repeats),
}
