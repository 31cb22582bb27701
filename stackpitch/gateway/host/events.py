"""What a gateway tells the decision module: lists, clients and legs as they come and go.

Nothing is decided here. If the module raises, the generation is terminated and logged: nothing taken is lost by it.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from stackpitch.gateway.bounds import Bounds
from stackpitch.gateway.client_request import ClientRequest
from stackpitch.gateway.connections import EngineConnections
from stackpitch.gateway.counters import Counters
from stackpitch.gateway.host.backend import Backend
from stackpitch.gateway.outcomes import LegEnd
from stackpitch.gateway.permission import Act, AttemptState, Denials, Reason, start_denial
from stackpitch.gateway.pool import Budget, Pool
from stackpitch.gateway.roster import Roster
from stackpitch.gateway.trace import RequestLogLimiter, Step, format_steps
from stackpitch.interface import Generation, Leg, Report, Server, Time
from stackpitch.loop import Group, World
from stackpitch.membership.entries import Entry
from stackpitch.plausible import PlausibilityFilter
from stackpitch.preferences import RuledBrain

if TYPE_CHECKING:
    from stackpitch.gateway.logs import Log
    from stackpitch.gateway.metrics import Metrics


@dataclass(frozen=True, slots=True)
class ArrivalSettings:
    """The module that a generation arrived at and the bounds it arrived under, both its own until it is over."""

    brain: RuledBrain
    bounds: Bounds


class EventDispatcher:
    """The side of the host towards door, legs and lists. All tables are bounded by what is under way and by the roster."""

    brain: RuledBrain

    def __init__(
        self,
        world: World,
        group: Group,
        log: "Log",
        metrics: "Metrics",
        name: str,
        roster: Roster,
        bounds: Bounds,
        front: Backend,
        budget: Budget | None = None,
    ) -> None:
        self.world, self.group, self.logger, self.metrics, self.name = world, group, log, metrics, name
        self.roster, self.bounds, self.backend, self.budget = roster, bounds, front, budget
        self.connections = EngineConnections(world, log, name, roster, bounds, budget)
        self.pool, self.call = self.connections.pool, self.connections.call
        self.exchange, self.tracked = self.connections.exchange, self.connections.tracked
        self.requests: dict[
            Generation, ClientRequest
        ] = {}  # emptied once a generation is over and its last leg is back
        self.earlier_settings: dict[
            Generation, ArrivalSettings
        ] = {}  # of those from before a reload; emptied as `asks`
        self.plausibility, self.counters, self.denials = PlausibilityFilter(), Counters(), Denials()
        self.trace_limiter = RequestLogLimiter()
        self.relayed_bytes = 0
        self.on_empty: Callable[[], None] | None = None

    @property
    def pools(self) -> Mapping[Server, Pool]:
        return self.connections.pools

    @property
    def pending_calls(self) -> int:
        """Small calls under way."""
        return self.connections.pending_calls

    def arrival_settings(self, gen: Generation) -> ArrivalSettings:
        return self.earlier_settings.get(gen) or ArrivalSettings(self.brain, self.bounds)

    def brain_for(self, gen: Generation) -> RuledBrain:
        return self.earlier_settings[gen].brain if gen in self.earlier_settings else self.brain

    def brains(self) -> list[RuledBrain]:
        """The module in force, then earlier ones for which something is under way."""
        return list(dict.fromkeys([self.brain, *(one.brain for one in self.earlier_settings.values())]))

    def keep_arrival_settings(self) -> None:
        """What is under way keeps its present module and bounds, whatever comes into force next."""
        for gen in self.requests:
            self.earlier_settings.setdefault(gen, ArrivalSettings(self.brain, self.bounds))

    def apply_bounds(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.connections.apply_bounds(bounds)

    def terminate(self, gen: Generation) -> None:
        raise NotImplementedError

    def begin(self) -> None:
        self.brain.begin(self.world.now())

    def apply_roster(self, version: int, entries: Sequence[Entry], current: bool = True) -> None:
        """The complete list from now on. A server that is left out and has legs out stays until they have ended.
        `current`: not one that may be old, as the one known at the start."""
        before = {
            server: self.roster.addresses[server] for server in self.pools if server in self.roster.addresses
        }
        servers = self.roster.apply(version, entries, current)
        for server, address in before.items():
            if self.roster.addresses.get(server) != address:
                self.connections.close(server)
        # Those left out are marked as gone already: the module need not compare the whole list.
        for brain in self.brains():
            self._tell(None, partial(self._tell_list, brain, servers))
        self._forget_servers()
        self.metrics.roster_version.set(version)
        self.logger.info(
            "roster",
            version=version,
            servers=len(entries),
            draining=sum(one.state == "draining" for one in entries),
        )

    @staticmethod
    def _tell_list(brain: RuledBrain, servers: list[Server], now: Time) -> None:
        brain.roster(now, servers, False)

    def roster_load_failed(self) -> None:
        """A list could not be used; the one in force stays."""
        self._tell(None, lambda now: self.brain.roster_failed(now))

    def _forget_servers(self) -> None:
        busy = {leg.server for ask in self.requests.values() for leg in ask.gen.legs if leg.outcome is None}
        for server in [one for one in self.roster.addresses if one.state == "gone" and one not in busy]:
            self.connections.close(server)
            self.roster.forget(server)

    # What the door tells.

    def request_arrived(self, ask: ClientRequest) -> None:
        gen = ask.gen
        self.requests[gen] = ask
        self.trace_step(ask, Step.ARRIVED)
        self.metrics.generations_held.set(len(self.requests))
        ask.watchdog = self.world.at(gen.deadline + self.bounds.watchdog, lambda: self._watched(ask))
        brain = self.brain
        self._tell(ask, lambda now: brain.arrived(now, gen))
        if not gen.over and not gen.in_flight() and not brain.awaits_peer(gen):
            self.logger.error("module_kept_without_leg", generation=gen.name)
            self.terminate(gen)

    def client_departed(self, ask: ClientRequest) -> None:
        """The client has left. A stream that nobody reads ends, and so do legs that have not been handed over whole, which
        would begin for nobody; other legs go on to their outcome. One that may only have ended its sending is owed an
        answer."""
        if ask.gen.over:
            return
        if ask.fin_received and not ask.streaming:
            ask.refuse_half_closed()
        self.trace_step(ask, Step.CLIENT_LEFT)
        ask.gen.over = True
        ask.detach_client()
        for leg, task in list(ask.tasks.items()):
            if leg is ask.serving or leg in ask.unsent:
                task.cancel()
        brain = self.brain_for(ask.gen)
        self._tell(ask, lambda now: brain.departed(now, ask.gen))
        self._settle(ask)

    def _watched(self, ask: ClientRequest) -> None:
        """A process that did not run finds an attempt's time-out and this watch due in one turn: the time-out goes first,
        so that the module, which may be able to promise more, has its say."""
        ask.watchdog = self.world.at(self.world.now() + 1, lambda: self._overdue(ask))

    def _overdue(self, ask: ClientRequest) -> None:
        """Guards rule 1 against the module or the loop being late."""
        if not ask.gen.over and not ask.begun:
            self.logger.error("answered_by_host", generation=ask.gen.name, legs=len(ask.gen.legs))
            self.terminate(ask.gen)

    def stop(self) -> None:
        """What is still held is answered at once: terminated, which promises nothing."""
        for ask in list(self.requests.values()):
            if not ask.gen.over:
                ask.gen.over = True
                if ask.begun:
                    ask.fail_stream("stopping", "the gateway stops")
                else:
                    ask.refuse(503, "stopping", "the gateway stops", again=False)
            for task in list(ask.tasks.values()):
                task.cancel()
            self.backend.release(ask)

    # What the legs tell.

    def action_denied(self, act: Act, reason: Reason, leg: Leg) -> None:
        """An act was not permitted. Where the module must not have asked for it, that is told with the request's id."""
        if (ask := self.requests.get(leg.gen)) is not None:
            self.trace_step(ask, Step.FORBIDDEN, f"{act} {reason} {leg.server.name}")
        if self.denials.note(act, reason):
            self.logger.error(
                "invariant_broken", act=act, reason=reason, generation=leg.gen.name, server=leg.server.name
            )

    def leg_written(self, ask: ClientRequest, leg: Leg) -> None:
        ask.unsent.discard(leg)
        self.trace_step(ask, Step.WRITTEN, leg.server.name)

    def leg_started(self, ask: ClientRequest, leg: Leg, fetched: bool) -> bool:
        """The first token is here; False if nobody wants it. `fetched`: the writer took the state that it was sent to."""
        task = ask.tasks.get(leg)
        cancelled = (
            task is not None and task.cancelled_scope() is not None
        )  # in the very turn in which the token came
        now = AttemptState(self.world.now(), cancelled=cancelled, serving=ask.serving)
        if (reason := start_denial(leg, now)) is not None:
            self.action_denied(Act.START, reason, leg)
            return False
        leg.streaming, ask.serving = True, leg
        self.trace_step(ask, Step.STARTED, leg.server.name)
        ask.begin(self.world.now())
        self.backend.stream_started(ask, leg, fetched)
        self.counters.first_token_received(self.world.now(), leg)
        brain = self.brain_for(leg.gen)
        self._tell(ask, lambda now: brain.stream_started(now, leg))
        self.metrics.first_token.labels(ask.gen.product.name).observe(
            (self.world.now() - ask.gen.arrived) / 10_000
        )
        return True

    def leg_ended(self, ask: ClientRequest, leg: Leg, end: LegEnd) -> None:
        gen = ask.gen
        leg.outcome = end.outcome
        self.trace_step(ask, Step.ENDED, f"{leg.server.name} {end.outcome} {end.why}")
        ask.tasks.pop(leg, None)
        ask.unsent.discard(leg)
        self.metrics.legs.labels(leg.server.role, end.outcome).inc()
        if end.outcome not in ("read", "streamed"):
            ask.leg_errors[leg.number] = end.why
        if end.outcome == "error":
            self.logger.warning("bad_answer", server=leg.server.name, generation=gen.name, why=end.why)
        if leg is ask.serving and not gen.over:
            gen.over = True
            if end.outcome == "streamed":
                ask.finish()
            else:
                ask.fail_stream("stream_broken", f"the stream broke: {end.why or end.outcome}")
        self.plausibility.server = leg.server.name
        kept = self.plausibility.cached_tok(end.kept, gen.prompt_tok)
        self.counters.leg_ended(self.world.now(), leg, kept)
        brain = self.brain_for(gen)
        self._tell(ask, lambda now: brain.ended(now, leg, kept, end.no_state, self._report(end)))
        if (doubted := self.plausibility.due_log_fields(self.world.now())) is not None:
            self.logger.warning("implausible", **doubted)
        if not gen.over and not gen.in_flight():
            self.logger.error("module_kept_without_leg", generation=gen.name, outcome=end.outcome)
            self.terminate(gen)
        self._settle(ask)
        if leg.server.state == "gone":
            self._forget_servers()

    def trace_step(self, ask: ClientRequest, step: Step, what: str = "") -> None:
        ask.steps.append((self.world.now(), step, what))

    def _tell_steps(self, ask: ClientRequest) -> None:
        now = self.world.now()
        if not self.trace_limiter.allows(now, ask.end):
            return
        ask.steps.append((now, Step.ANSWERED, f"{ask.end} {ask.gen.refusal_reason or ''}"))
        self.logger.info(
            "request",
            id=ask.gen.name,
            product=ask.gen.product.name,
            session=ask.gen.session,
            left_out=self.trace_limiter.take_suppressed(),
            steps=format_steps(ask.gen, ask.steps),
        )

    def _report(self, end: LegEnd) -> Report | None:
        if end.report is None:
            return None
        try:
            return self.backend.parse_report(end.report)
        except ValueError as wrong:
            self.plausibility.count("load_unread")
            self.logger.debug("bad_report", why=str(wrong))
            return None

    def _tell(self, ask: ClientRequest | None, call: Callable[[Time], None]) -> None:
        try:
            call(self.world.now())
        except Exception as wrong:  # a fault in the module must not cost other generations anything
            self.logger.exception("module_raised", why=str(wrong), generation=ask.gen.name if ask else None)
            if ask is not None and not ask.gen.over and not ask.gen.in_flight():
                self.terminate(ask.gen)

    def _settle(self, ask: ClientRequest) -> None:
        """Forgets a generation that is over with no leg out. Rule 5's last net: what still waits is let go."""
        if ask.gen.over and not ask.gen.in_flight() and self.requests.pop(ask.gen, None) is not None:
            self.backend.release(ask)
            self.earlier_settings.pop(ask.gen, None)
            if ask.watchdog is not None:
                ask.watchdog.cancel()
            self.metrics.generations.labels(ask.gen.product.name, ask.end).inc()
            self.counters.ended(ask.gen, ask.end, ask.first_token)
            self.metrics.generations_held.set(len(self.requests))
            gen = ask.gen
            self._tell_steps(ask)
            self.logger.log(
                self.bounds.request_level,
                "generation",
                id=gen.name,
                product=gen.product.name,
                end=ask.end,
                took_ms=(self.world.now() - gen.arrived) / 10,
                prompt_tok=gen.prompt_tok,
                first_ms=None if ask.first_token is None else (ask.first_token - gen.arrived) / 10,
                legs=[
                    f"{leg.server.name} {leg.outcome} {ask.leg_errors.get(leg.number, '')}".strip()
                    for leg in gen.legs
                ],
            )
            if not self.requests and self.on_empty is not None:
                self.on_empty()
