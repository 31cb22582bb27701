"""All decisions of a gateway, and every table and tuned value behind them.

A generation passes Home, Owner, Reader and Writer by `take`, and back up by `back`; only Guard sends."""

from typing import Any

from stackpitch.brain.admission import Admission
from stackpitch.brain.affinity import Home, Owner
from stackpitch.brain.fleet import Fleet
from stackpitch.brain.guard import Guard
from stackpitch.brain.holds import Holds
from stackpitch.brain.probing import Probing
from stackpitch.brain.reader import Reader
from stackpitch.brain.seats import Seat, mix
from stackpitch.brain.writer import Writer
from stackpitch.interface import (
    SECOND,
    Gateway,
    Generation,
    Leg,
    Module,
    ModuleSettings,
    Report,
    Server,
    Time,
)

__all__ = ["Brain", "Fleet", "Guard", "Holds", "Home", "Seat", "mix"]


class Brain(Module):
    ASK_AGAIN = 2 * SECOND  # after a failed call to a discovery that must be asked

    def __init__(self, gateway: Gateway, seed: int, **arguments: Any) -> None:
        """`arguments`: the fields of `interface.ModuleSettings`."""
        settings = ModuleSettings(**arguments)
        self.gateway, self.must_ask = gateway, settings.must_ask
        self.fleet = Fleet(gateway, seed, settings)
        self.probing = Probing(self.fleet, settings.probes)
        self.holds = Holds(gateway, settings.release)
        self.guard = Guard(self.fleet, settings.max_legs, settings.max_retry_after, self.holds)
        self.writer = Writer(self.guard)
        self.admission = Admission(self.guard)
        self.reader = Reader(self.admission, self.writer, settings.local_reads, settings.cancels)
        self.owner = Owner(self.reader)
        self.home = Home(self.owner)
        self.probed, self.heard = self.probing.answered, self.home.heard
        self.chain = self.home, self.owner, self.reader, self.writer

    def begin(self, now: Time) -> None:
        self.fleet.born = now
        if self.must_ask:
            self.gateway.subscribe()

    def roster(self, now: Time, servers: list[Server], complete: bool) -> None:
        self.fleet.update(now, servers, complete)

    def roster_failed(self, now: Time) -> None:
        if self.must_ask:
            self.gateway.wake(self.ASK_AGAIN, lambda _: self.gateway.subscribe())

    def arrived(self, now: Time, gen: Generation) -> None:
        self.probing.arrived(now)
        self.home.take(now, gen)

    def started(self, now: Time, leg: Leg) -> None:
        seat = self.fleet.seats[leg.server]
        seat.waiting.pop(leg, None)
        self.fleet.word(seat, now, leg)
        self.holds.started(leg.gen)
        self.owner.started(now, leg)

    def ended(self, now: Time, leg: Leg, kept_tok: int, no_state: bool, report: Report | None) -> None:
        seat, gen = self.fleet.seats[leg.server], leg.gen
        seat.waiting.pop(leg, None)
        seat.drop(gen)
        self.fleet.reported(seat, now, report)
        self.holds.ended(now, leg, no_state)
        if leg.outcome == "read":
            self.fleet.word(seat, now, leg)
            self.reader.overtaken(now, seat, leg)
        elif leg.outcome in ("error", "time-out", "unreachable", "reset", "full") and not no_state:
            self.fleet.strike(seat, now, leg)
        any(stage.back(now, leg, kept_tok, no_state) for stage in reversed(self.chain))  # until one keeps it
        if not gen.out():
            self.guard.answer(gen, "attempts")
            self.writer.plan.pop(gen, seat).drop(gen)

    def keeps(self, gen: Generation) -> bool:
        return self.home.asked.get(self.owner.key(gen)) is gen

    def departed(self, now: Time, gen: Generation) -> None:
        if not gen.out():
            self.holds.release(gen)
