"""What the decision module asks for, done: legs, calls, answers, words and timers."""

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
    """`interface.Gateway` in full, and the `leg_host.LegHost` of its front's legs."""

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
        seed: int,
        preferences: Preferences,
        arguments: Mapping[str, Any],
        peers: GossipSettings = NO_PEERS,
        budget: Budget | None = None,
    ) -> None:
        super().__init__(world, group, log, metrics, name, roster, bounds, front, budget)
        front.host = self
        self.gossip = GossipChannel(
            world,
            group,
            metrics,
            self.connections,
            peers,
            lambda peer, octets: self._tell(None, lambda now: self.brain.peer_message(now, peer, octets)),
        )
        self.send_to_peer, self.receive_gossip = self.gossip.send, self.gossip.receive
        self.extra_rule: Callable[[Generation, Server], bool] | None = None
        self.on_subscribe: Callable[[], None] | None = None  # the module asks to hear the list
        self.brain = RuledBrain(self, seed, preferences, **arguments)  # type: ignore[abstract]

    def set_extra_rule(self, may: Callable[[Generation, Server], bool]) -> None:
        """Beside operators' rules: binds every leg, whatever rules are taken over later."""
        self.extra_rule = may
        self.set_preferences(self.brain.preferences)

    def set_preferences(self, preferences: Preferences) -> None:
        preferences.server_filter = self.extra_rule
        self.brain.set_preferences(preferences)

    def replace_brain(self, seed: int, preferences: Preferences, arguments: Mapping[str, Any]) -> RuledBrain:
        """Another module in force, that knows no server yet. Gives the one before, which goes on with what arrived at it.

        `preferences`: an object of its own, as each module keeps in it what it was told.
        """
        preferences.server_filter = self.extra_rule
        before, brain = self.brain, RuledBrain(self, seed, preferences, **arguments)  # type: ignore[abstract]
        self.keep_arrival_settings()
        self.brain = brain
        self.begin()
        return before

    def send(self, gen: Generation, server: Server, limit: Time) -> Leg:
        ask = self.requests[gen]
        leg = Leg(gen, len(gen.legs), server, self.world.now())
        gen.legs.append(leg)
        ask.unsent.add(leg)
        self.trace_step(ask, Step.SEND, server.name)
        ask.tasks[leg] = self.group.spawn(
            self.backend.run_leg(ask, leg, limit), f"leg {gen.name}#{leg.number}"
        )
        return leg

    def hold(self, gen: Generation, server: Server) -> None:
        ask, brain = self.requests[gen], self.brain_for(gen)

        def call() -> Coro[None]:
            granted = yield from self.backend.reserve(ask, gen.legs[-1], server)
            self._tell(ask, lambda now: brain.hold_answered(now, gen, server, granted))

        self.group.spawn(self.tracked(call()), f"hold {gen.name}")

    def release(self, gen: Generation, why: ReleaseReason) -> None:
        ask = self.requests.get(gen)
        if ask is None:
            return
        self.trace_step(ask, Step.RELEASING, why)
        self.metrics.releases_asked.labels(why).inc()
        if gen.in_flight():
            self.backend.release_unused(ask)
        else:
            self.backend.release(ask)

    def throttle(self, gen: Generation, retry_after: Time) -> None:
        gen.over = True
        ask = self.requests[gen]
        ask.refuse(
            429, "throttled", "too much to do; another try does no harm", again=True, retry_after=retry_after
        )
        self._settle(ask)

    def terminate(self, gen: Generation) -> None:
        gen.over = True
        ask = self.requests[gen]
        if ask.begun:
            ask.fail_stream("terminated", "given up; it may have run")
        else:
            ask.refuse(502, "terminated", "given up; it may have run", again=False)
        self._settle(ask)

    def cancel(self, leg: Leg) -> None:
        ask = self.requests.get(leg.gen)
        if ask is None or (task := ask.tasks.get(leg)) is None:
            return
        if (reason := cancel_denial(leg, AttemptState(self.world.now(), serving=ask.serving))) is not None:
            self.action_denied(Act.CANCEL, reason, leg)
        else:
            task.cancel()

    def probe(self, server: Server) -> None:
        brain = self.brain  # none but the one in force probes

        def call() -> Coro[None]:
            well, report = yield from self.backend.probe(server)
            self.plausibility.server = server.name
            self._tell(
                None,
                lambda now: brain.probe_answered(
                    now, server, well, self._report(LegEnd("streamed", Phase.HEAD, report=report))
                ),
            )

        self.group.spawn(self.tracked(call()), f"probe {server.name}")

    def move(self, gen: Generation) -> None:
        ask = self.requests[gen]
        if ask.serving is not None and not gen.over:
            gen.over = True
            ask.fail_stream("moved", "the stream goes on elsewhere: ask again")
            if (task := ask.tasks.get(ask.serving)) is not None:
                task.cancel()

    def call_later(self, delay: Time, call: Callable[[Time], None]) -> None:
        self.world.at(self.world.now() + delay, lambda: self._tell(None, call))

    def subscribe(self) -> None:
        if self.on_subscribe is not None:
            self.world.at(self.world.now(), self.on_subscribe)

    def log(self, text: str) -> None:
        mode, _, rest = text.partition(" ")
        self.metrics.mode_changes.labels(mode).inc()
        self.logger.info("mode", mode=mode, text=rest)
