"""The decision module: all decisions of a gateway, with the tables and tuned constants behind them.

A generation passes down the chain AffinityDirectory, SessionAffinity, Reader and Writer by `route`, and back
up it by `leg_ended` when a leg ends. Only the Dispatcher sends and refuses.
"""

from typing import Any

from stackpitch.brain.admission import Admission
from stackpitch.brain.affinity import AffinityDirectory, SessionAffinity
from stackpitch.brain.dispatcher import Dispatcher
from stackpitch.brain.fleet import Fleet
from stackpitch.brain.held_state import HeldState
from stackpitch.brain.probing import Probing
from stackpitch.brain.reader import Reader
from stackpitch.brain.server_state import ServerState, mix_hashes
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

__all__ = ["Brain", "Fleet", "Dispatcher", "HeldState", "AffinityDirectory", "ServerState", "mix_hashes"]


class Brain(Module):
    """The decision module of one gateway: receives its notifications and makes its decisions."""

    ROSTER_RETRY = 2 * SECOND  # pause after a failed subscription to the roster

    def __init__(self, gateway: Gateway, seed: int, **arguments: Any) -> None:
        """`arguments`: the fields of `interface.ModuleSettings`."""
        settings = ModuleSettings(**arguments)
        self.gateway, self.must_ask = gateway, settings.must_ask
        self.fleet = Fleet(gateway, seed, settings)
        self.probing = Probing(self.fleet, settings.probes)
        self.held_state = HeldState(gateway, settings.release)
        self.dispatcher = Dispatcher(self.fleet, settings.max_legs, settings.max_retry_after, self.held_state)
        self.writer = Writer(self.dispatcher)
        self.admission = Admission(self.dispatcher)
        self.reader = Reader(self.admission, self.writer, settings.local_reads, settings.cancels)
        self.affinity = SessionAffinity(self.reader)
        self.affinity_directory = AffinityDirectory(self.affinity)
        self.probe_answered, self.peer_message = (
            self.probing.probe_answered,
            self.affinity_directory.peer_message,
        )
        self.chain = self.affinity_directory, self.affinity, self.reader, self.writer

    def begin(self, now: Time) -> None:
        """Starts the module. Called once, before any other notification."""
        self.fleet.created_at = now
        if self.must_ask:
            self.gateway.subscribe()

    def roster(self, now: Time, servers: list[Server], complete: bool) -> None:
        self.fleet.update(now, servers, complete)

    def roster_failed(self, now: Time) -> None:
        if self.must_ask:
            self.gateway.call_later(self.ROSTER_RETRY, lambda _: self.gateway.subscribe())

    def arrived(self, now: Time, gen: Generation) -> None:
        self.probing.arrived(now)
        self.affinity_directory.route(now, gen)

    def stream_started(self, now: Time, leg: Leg) -> None:
        state = self.fleet.server_states[leg.server]
        state.waiting.pop(leg, None)
        self.fleet.record_success(state, now, leg)
        self.held_state.stream_started(leg.gen)
        self.affinity.stream_started(now, leg)

    def ended(self, now: Time, leg: Leg, cached_tok: int, no_state: bool, report: Report | None) -> None:
        state, gen = self.fleet.server_states[leg.server], leg.gen
        state.waiting.pop(leg, None)
        state.remove(gen)
        self.fleet.report_received(state, now, report)
        self.held_state.leg_ended(now, leg, no_state)
        if leg.outcome == "read":
            self.fleet.record_success(state, now, leg)
            self.reader.cancel_overtaken(now, state, leg)
        elif leg.outcome in ("error", "time-out", "unreachable", "reset", "full") and not no_state:
            self.fleet.record_failure(state, now, leg)
        # Up the chain until a stage has sent the generation on.
        any(stage.leg_ended(now, leg, cached_tok, no_state) for stage in reversed(self.chain))
        if not gen.in_flight():
            self.dispatcher.refuse(gen, "attempts")
            self.writer.planned_writers.pop(gen, state).remove(gen)

    def awaits_peer(self, gen: Generation) -> bool:
        return self.affinity_directory.lookups.get(self.affinity.session_key(gen)) is gen

    def departed(self, now: Time, gen: Generation) -> None:
        if not gen.in_flight():
            self.held_state.release(gen)
