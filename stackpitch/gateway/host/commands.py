"""Carries out what the decision module asks for: legs, calls, responses, gossip messages and timers."""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from stackpitch.gateway.bounds import Bounds
from stackpitch.gateway.host.backend import Backend
from stackpitch.gateway.host.events import EventDispatcher
from stackpitch.gateway.host.gossip import NO_PEERS, GossipChannel, GossipSettings
from stackpitch.gateway.outcomes import LegEnd, Phase
from stackpitch.gateway.permission import Act, AttemptState, cancel_denial
from stackpitch.gateway.pool import Budget
from stackpitch.gateway.roster import Roster
from stackpitch.gateway.trace import Step
from stackpitch.interface import Generation, Leg, ReleaseReason, Server, Time
from stackpitch.loop import Coro, Group, World
from stackpitch.preferences import Preferences, RuledBrain

if TYPE_CHECKING:
    from stackpitch.gateway.logs import Log
    from stackpitch.gateway.metrics import Metrics


class Host(EventDispatcher):
    """Implements `interface.Gateway` for the module, and `leg_host.LegHost` for its backend's legs."""

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
        seed: int,
        preferences: Preferences,
        arguments: Mapping[str, Any],
        gossip: GossipSettings = NO_PEERS,
        budget: Budget | None = None,
    ) -> None:
        super().__init__(world, group, log, metrics, name, roster, bounds, backend, budget)
        backend.host = self
        self.gossip = GossipChannel(
            world,
            group,
            metrics,
            self.connections,
            gossip,
            lambda peer, octets: self._notify(None, lambda now: self.brain.peer_message(now, peer, octets)),
        )
        self.send_to_peer, self.receive_gossip = self.gossip.send, self.gossip.receive
        self.extra_rule: Callable[[Generation, Server], bool] | None = None
        self.on_subscribe: Callable[[], None] | None = None  # called when the module asks for the server list
        self.brain = RuledBrain(self, seed, preferences, **arguments)  # type: ignore[abstract]

    def set_extra_rule(self, allows: Callable[[Generation, Server], bool]) -> None:
        """Restricts every leg, in addition to the operators' rules and whatever rules replace them later."""
        self.extra_rule = allows
        self.set_preferences(self.brain.preferences)

    def set_preferences(self, preferences: Preferences) -> None:
        """Puts other operators' rules in force."""
        preferences.server_filter = self.extra_rule
        self.brain.set_preferences(preferences)

    def replace_brain(self, seed: int, preferences: Preferences, arguments: Mapping[str, Any]) -> RuledBrain:
        """Puts a new module in force, which knows no server yet.

        Returns the previous one, which goes on with the requests that arrived at it. `preferences`: a
        separate object, as each module keeps its own state in it.
        """
        preferences.server_filter = self.extra_rule
        before, brain = self.brain, RuledBrain(self, seed, preferences, **arguments)  # type: ignore[abstract]
        self.keep_arrival_settings()
        self.brain = brain
        self.begin()
        return before

    def send(self, gen: Generation, server: Server, limit: Time) -> Leg:
        """Starts a leg."""
        request = self.requests[gen]
        leg = Leg(gen, len(gen.legs), server, self.world.now())
        gen.legs.append(leg)
        request.unsent.add(leg)
        self.trace_step(request, Step.SEND, server.name)
        request.tasks[leg] = self.group.spawn(
            self.backend.run_leg(request, leg, limit), f"leg {gen.name}#{leg.number}"
        )
        return leg

    def hold(self, gen: Generation, server: Server) -> None:
        """Reserves a slot at a server for the generation's next leg, and tells the module the answer."""
        request, brain = self.requests[gen], self.brain_for(gen)

        def call() -> Coro[None]:
            granted = yield from self.backend.reserve(request, gen.legs[-1], server)
            self._notify(request, lambda now: brain.hold_answered(now, gen, server, granted))

        self.group.spawn(self.tracked(call()), f"hold {gen.name}")

    def release(self, gen: Generation, why: ReleaseReason) -> None:
        """Releases what is held for a generation, except for what a running leg uses."""
        request = self.requests.get(gen)
        if request is None:
            return
        self.trace_step(request, Step.RELEASING, why)
        self.metrics.releases_asked.labels(why).inc()
        if gen.in_flight():
            self.backend.release_unused(request)
        else:
            self.backend.release(request)

    def throttle(self, gen: Generation, retry_after: Time) -> None:
        """Refuses a generation whose client may safely retry."""
        gen.over = True
        request = self.requests[gen]
        request.refuse(
            429, "throttled", "too much to do; another try does no harm", again=True, retry_after=retry_after
        )
        self._forget_if_over(request)

    def terminate(self, gen: Generation) -> None:
        """Ends a generation that may have run, so that a retry may not be safe."""
        gen.over = True
        request = self.requests[gen]
        if request.begun:
            request.fail_stream("terminated", "given up; it may have run")
        else:
            request.refuse(502, "terminated", "given up; it may have run", again=False)
        self._forget_if_over(request)

    def cancel(self, leg: Leg) -> None:
        """Cancels a running leg, unless the client receives its stream."""
        request = self.requests.get(leg.gen)
        if request is None or (task := request.tasks.get(leg)) is None:
            return
        if (
            reason := cancel_denial(leg, AttemptState(self.world.now(), serving=request.serving))
        ) is not None:
            self.action_denied(Act.CANCEL, reason, leg)
        else:
            task.cancel()

    def probe(self, server: Server) -> None:
        """Checks a server's health for the module in force, the only one that probes."""
        brain = self.brain

        def call() -> Coro[None]:
            healthy, report = yield from self.backend.probe(server)
            self.plausibility.server = server.name
            self._notify(
                None,
                lambda now: brain.probe_answered(
                    now, server, healthy, self._parse_report(LegEnd("streamed", Phase.HEAD, report=report))
                ),
            )

        self.group.spawn(self.tracked(call()), f"probe {server.name}")

    def move(self, gen: Generation) -> None:
        """Ends a generation's stream so that its client resumes it at another server."""
        request = self.requests[gen]
        if request.serving is not None and not gen.over:
            gen.over = True
            request.fail_stream("moved", "the stream goes on elsewhere: ask again")
            if (task := request.tasks.get(request.serving)) is not None:
                task.cancel()

    def call_later(self, delay: Time, call: Callable[[Time], None]) -> None:
        """Calls the module back after `delay`."""
        self.world.at(self.world.now() + delay, lambda: self._notify(None, call))

    def subscribe(self) -> None:
        """The module asks for the server list, which comes in a later turn of the loop."""
        if self.on_subscribe is not None:
            self.world.at(self.world.now(), self.on_subscribe)

    def log(self, text: str) -> None:
        """Logs a change of the module's mode. The first word names the mode."""
        mode, _, rest = text.partition(" ")
        self.metrics.mode_changes.labels(mode).inc()
        self.logger.info("mode", mode=mode, text=rest)
