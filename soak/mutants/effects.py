"""Mutants of rule 2: attempts that must not be made, and refusals of what may have run."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from soak.mutants.acting import Mutant, acted, every, patch
from stackpitch.benchlink import settings as reading
from stackpitch.brain import dispatcher
from stackpitch.gateway import leg as attempts
from stackpitch.gateway import permission, resend_window
from stackpitch.gateway.outcomes import Phase
from stackpitch.gateway.recently_run import RecentlyRun
from stackpitch.interface import Product, Scope
from stackpitch.loop import SECOND
from stackpitch.platform.leg import PlatformLeg
from stackpitch.wire import http
from stackpitch.wire.platform_events import PlatformEvents

COPY_LIVES = 3000  # tenths of a millisecond that a second copy stays out
CONNECT = 2500
WINDOW_MORE = 5 * SECOND
ATTEMPTS_MORE = 2


def _copy(due: Callable[[Any], bool]) -> None:
    exchange = PlatformLeg._exchange

    def twice(self: Any, stream: Any, scope: Any) -> Any:
        address = self.host.roster.addresses[self.leg.server]

        def copy() -> Any:
            other = yield from self.host.world.connect(address, CONNECT)
            other.write(self._build_request())
            yield from self.host.world.sleep(COPY_LIVES)
            other.close()

        if due(self):
            acted()
            self.host.group.spawn(self.host.tracked(copy()), "copy")
        return (yield from exchange(self, stream, scope))

    patch(PlatformLeg, "_exchange", twice)


def second_copy() -> None:
    """Each attempt at a decode worker is written once more, on a connection of its own."""
    _copy(lambda run: run.leg.server.role == "writer")


def second_copy_of_reads() -> None:
    """One read in four is written once more."""
    due = every(4)
    _copy(lambda run: run.leg.server.role == "reader" and due())


def _again(after: Callable[[Any, Any], bool]) -> None:
    run = attempts.LegRunner._run

    def again(self: Any) -> Any:
        end = yield from run(self)
        if after(self, end):
            acted()
            bounds = self.host.bounds
            self.reader = http.ResponseParser(bounds.max_head, bounds.max_answer, bounds.max_stated)
            self.phase, self.events = [Phase.QUEUED], PlatformEvents()
            end = yield from run(self)
        return end

    patch(attempts.LegRunner, "_run", again)


def repeated_effect() -> None:
    """What may have run is sent again, whatever its effect."""
    _again(lambda run, end: end.outcome in ("reset", "error", "time-out"))


def repeated_effect_after_reset() -> None:
    """What has an effect is sent again, but only after a reset."""
    _again(lambda run, end: end.outcome == "reset" and run.leg.gen.product.effect == "side-effecting")


def _note_sends(notes: Callable[[Any, Any], bool]) -> None:
    send_denial = permission.send_denial

    def look(leg: Any, now: Any) -> Any:
        reason = send_denial(leg, now)
        if reason is None and notes(leg, now):
            acted()
        return reason

    patch(attempts, "send_denial", look)


def late_repeats() -> None:
    """Keyed work is repeated for five seconds more than its window."""
    until = dispatcher.remembered_until

    def later(sent: Any, product: Any) -> Any:
        return until(sent, product) + WINDOW_MORE

    patch(dispatcher, "remembered_until", later)
    patch(resend_window, "remembered_until", later)

    def beyond(leg: Any, now: Any) -> bool:
        latest = resend_window.resend_deadline(leg)
        return latest is not None and now.time >= latest - WINDOW_MORE

    _note_sends(beyond)


def repeats_out_of_scope() -> None:
    """Keyed work is repeated at any worker, whatever group of them drops repeats."""
    products = reading.products
    scopes: dict[str, Scope] = {}

    def all_over(config: Any) -> dict[str, Product]:
        found = products(config)
        scopes.update({name: one.scope for name, one in found.items()})
        return {name: replace(one, scope="all") for name, one in found.items()}

    patch(reading, "products", all_over)

    def outside(leg: Any, now: Any) -> bool:
        scope = scopes[leg.gen.product.name]
        others = [one.server for one in leg.gen.may_have_run() if one is not leg]
        if leg.gen.product.effect != "deduplicated" or scope == "all":
            return False
        return any(
            one.zone != leg.server.zone or (scope == "cell" and one.cell != leg.server.cell) for one in others
        )

    _note_sends(outside)
    answer = dispatcher.Dispatcher.refuse

    def note(self: Any, gen: Any, why: Any) -> None:
        if (
            self.may_have_run(gen)
            and gen.product.effect == "deduplicated"
            and scopes[gen.product.name] != "all"
        ):
            acted()  # it may be refused, as if any worker dropped its repeat
        answer(self, gen, why)

    patch(dispatcher.Dispatcher, "refuse", note)


def refused_though_run() -> None:
    """What has an effect and may have run is answered with 429."""
    answer = dispatcher.Dispatcher.refuse

    def refuse(self: Any, gen: Any, why: Any) -> None:
        if gen.over or gen.product.effect != "side-effecting" or not self.may_have_run(gen):
            answer(self, gen, why)
            return
        acted()
        gen.refusal_reason = why
        self.gateway.throttle(gen, 0)
        self.held_state.release(gen)

    patch(dispatcher.Dispatcher, "refuse", refuse)


def too_many_attempts() -> None:
    """A request gets two attempts more than the settings allow."""
    begin = dispatcher.Dispatcher.__init__
    most: list[int] = []

    def more(self: Any, fleet: Any, max_legs: int, *others: Any) -> None:
        if not most:  # a guard is made anew from the one before
            most.append(max_legs)
        begin(self, fleet, most[0] + ATTEMPTS_MORE, *others)

    patch(dispatcher.Dispatcher, "__init__", more)
    _note_sends(lambda leg, now: leg.number >= most[0])


def forgotten_ids() -> None:
    """An id whose request is over may run again."""
    contains = RecentlyRun.__contains__

    def forget(self: Any, name: str) -> bool:
        if contains(self, name):
            acted()
        return False

    patch(RecentlyRun, "__contains__", forget)


MUTANTS = {
    "forgotten-ids": Mutant("effects", forgotten_ids),
    "second-copy": Mutant("second-copies", second_copy),
    "second-copy-of-reads": Mutant("second-copies", second_copy_of_reads),
    "repeated-effect": Mutant("effects", repeated_effect),
    "repeated-effect-after-reset": Mutant("effects", repeated_effect_after_reset),
    "late-repeats": Mutant("window", late_repeats),
    "repeats-out-of-scope": Mutant("scope", repeats_out_of_scope),
    "refused-though-run": Mutant("refusals", refused_though_run),
    "too-many-attempts": Mutant("attempts", too_many_attempts),
}
