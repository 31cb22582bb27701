"""What the host of the decision module holds, and how it calls the module.

If the module raises, the error is logged and the generation terminated, so that no accepted request is lost by it.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from stackpitch.gateway.bounds import Bounds
from stackpitch.gateway.client_request import ClientRequest
from stackpitch.gateway.connections import EngineConnections
from stackpitch.gateway.counters import Counters
from stackpitch.gateway.host.backend import Backend
from stackpitch.gateway.outcomes import LegEnd
from stackpitch.gateway.permission import Denials
from stackpitch.gateway.pool import Budget, Pool
from stackpitch.gateway.recently_run import RecentlyRun
from stackpitch.gateway.roster import Roster
from stackpitch.gateway.trace import RequestLogLimiter, Step, format_steps
from stackpitch.interface import Generation, Report, Server, Time
from stackpitch.loop import Group, World
from stackpitch.plausible import PlausibilityFilter
from stackpitch.preferences import RuledBrain

if TYPE_CHECKING:
    from stackpitch.gateway.logs import Log
    from stackpitch.gateway.metrics import Metrics


@dataclass(frozen=True, slots=True)
class ArrivalSettings:
    """The module and the bounds in force when a generation arrived; it keeps both until it is over."""

    brain: RuledBrain
    bounds: Bounds


class HostBase:
    """The requests in progress with the module and bounds that apply to each, and what all of the host shares.

    All its tables are bounded by the requests in progress and by the roster.
    """

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
        backend: Backend,
        budget: Budget | None = None,
    ) -> None:
        self.world, self.group, self.logger, self.metrics, self.name = world, group, log, metrics, name
        self.roster, self.bounds, self.backend, self.budget = roster, bounds, backend, budget
        self.connections = EngineConnections(world, log, name, roster, bounds, budget)
        self.pool, self.call = self.connections.pool, self.connections.call
        self.exchange, self.tracked = self.connections.exchange, self.connections.tracked
        # Accepted requests; emptied of one that is over once its last leg has ended.
        self.requests: dict[Generation, ClientRequest] = {}
        # Of the requests that arrived before the last reload; emptied as `requests`.
        self.earlier_settings: dict[Generation, ArrivalSettings] = {}
        self.plausibility, self.counters, self.denials = PlausibilityFilter(), Counters(), Denials()
        self.trace_limiter = RequestLogLimiter()
        self.relayed_bytes = 0
        self.recently_run: RecentlyRun | None = None  # set where clients choose the ids of their requests
        self.on_empty: Callable[[], None] | None = None  # called when the last request is over

    @property
    def pools(self) -> Mapping[Server, Pool]:
        """The connection pools by server."""
        return self.connections.pools

    @property
    def pending_calls(self) -> int:
        """Calls in progress, legs not counted."""
        return self.connections.pending_calls

    def arrival_settings(self, gen: Generation) -> ArrivalSettings:
        """The module and bounds that apply to a generation."""
        return self.earlier_settings.get(gen) or ArrivalSettings(self.brain, self.bounds)

    def brain_for(self, gen: Generation) -> RuledBrain:
        """The module that a generation arrived at."""
        return self.earlier_settings[gen].brain if gen in self.earlier_settings else self.brain

    def brains(self) -> list[RuledBrain]:
        """The module in force, then earlier ones that still have requests in progress."""
        return list(
            dict.fromkeys([self.brain, *(earlier.brain for earlier in self.earlier_settings.values())])
        )

    def keep_arrival_settings(self) -> None:
        """Called before a reload: the requests in progress keep their present module and bounds."""
        for gen in self.requests:
            self.earlier_settings.setdefault(gen, ArrivalSettings(self.brain, self.bounds))

    def apply_bounds(self, bounds: Bounds) -> None:
        """Puts other bounds in force."""
        self.bounds = bounds
        self.connections.apply_bounds(bounds)

    def terminate(self, gen: Generation) -> None:
        """See `Host`."""
        raise NotImplementedError

    def begin(self) -> None:
        """Starts the module."""
        self.brain.begin(self.world.now())

    def trace_step(self, request: ClientRequest, step: Step, what: str = "") -> None:
        """Adds a step to the request's trace."""
        request.steps.append((self.world.now(), step, what))

    def _log_trace(self, request: ClientRequest) -> None:
        now = self.world.now()
        if not self.trace_limiter.allows(now, request.end):
            return
        request.steps.append((now, Step.ANSWERED, f"{request.end} {request.gen.refusal_reason or ''}"))
        self.logger.info(
            "request",
            id=request.gen.name,
            product=request.gen.product.name,
            session=request.gen.session,
            left_out=self.trace_limiter.take_suppressed(),
            steps=format_steps(request.gen, request.steps),
        )

    def _parse_report(self, end: LegEnd) -> Report | None:
        if end.report is None:
            return None
        try:
            return self.backend.parse_report(end.report)
        except ValueError as error:
            self.plausibility.count("load_unread")
            self.logger.debug("bad_report", why=str(error))
            return None

    def _notify(self, request: ClientRequest | None, call: Callable[[Time], None]) -> None:
        """Calls the module. What it raises is logged, and must not affect other generations."""
        try:
            call(self.world.now())
        except Exception as error:
            self.logger.exception(
                "module_raised", why=str(error), generation=request.gen.name if request else None
            )
            if request is not None and not request.gen.over and not request.gen.in_flight():
                self.terminate(request.gen)

    def _forget_if_over(self, request: ClientRequest) -> None:
        """Forgets a generation that is over with no running leg; as a safeguard, releases all it may hold."""
        if (
            request.gen.over
            and not request.gen.in_flight()
            and self.requests.pop(request.gen, None) is not None
        ):
            self.backend.release(request)
            self.earlier_settings.pop(request.gen, None)
            if self.recently_run is not None:
                self.recently_run.add(request.gen)
            if request.watchdog is not None:
                request.watchdog.cancel()
            self.metrics.generations.labels(request.gen.product.name, request.end).inc()
            self.counters.ended(request.gen, request.end, request.first_token)
            self.metrics.generations_held.set(len(self.requests))
            gen = request.gen
            self._log_trace(request)
            self.logger.log(
                self.bounds.request_level,
                "generation",
                id=gen.name,
                product=gen.product.name,
                end=request.end,
                took_ms=(self.world.now() - gen.arrived) / 10,
                prompt_tok=gen.prompt_tok,
                first_ms=None if request.first_token is None else (request.first_token - gen.arrived) / 10,
                legs=[
                    f"{leg.server.name} {leg.outcome} {request.leg_errors.get(leg.number, '')}".strip()
                    for leg in gen.legs
                ],
            )
            if not self.requests and self.on_empty is not None:
                self.on_empty()
