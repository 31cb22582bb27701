"""What the decision module asks for, done: legs, calls, answers, words and timers."""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from stackpitch.gateway.bounds import Bounds
from stackpitch.gateway.host.front import Front
from stackpitch.gateway.host.told import Told
from stackpitch.gateway.host.words import NOBODY, Peers, Words
from stackpitch.gateway.outcomes import End, Phase
from stackpitch.gateway.permission import Act, Now, may_cancel
from stackpitch.gateway.pool import Budget
from stackpitch.gateway.roster import Roster
from stackpitch.gateway.trace import Step
from stackpitch.interface import Generation, Leg, ReleaseReason, Server, Time
from stackpitch.loop import Coro, Group, World
from stackpitch.preferences import Preferences, RuledBrain

if TYPE_CHECKING:
    from stackpitch.gateway.logs import Log
    from stackpitch.gateway.metrics import Metrics


class Host(Told):
    """`interface.Gateway` in full, and the `carrier.Carrier` of its front's legs."""

    def __init__(
        self,
        world: World,
        group: Group,
        log: "Log",
        metrics: "Metrics",
        name: str,
        roster: Roster,
        bounds: Bounds,
        front: Front,
        seed: int,
        preferences: Preferences,
        arguments: Mapping[str, Any],
        peers: Peers = NOBODY,
        budget: Budget | None = None,
    ) -> None:
        super().__init__(world, group, log, metrics, name, roster, bounds, front, budget)
        front.host = self
        self.words = Words(
            world,
            group,
            metrics,
            self.connections,
            peers,
            lambda peer, octets: self._tell(None, lambda now: self.brain.peer_message(now, peer, octets)),
        )
        self.send_to_peer, self.heard = self.words.tell, self.words.heard
        self.preferences_also: Callable[[Generation, Server], bool] | None = None
        self.list_wanted: Callable[[], None] | None = None  # the module asks to hear the list
        self.brain = RuledBrain(self, seed, preferences, **arguments)  # type: ignore[abstract]

    def narrow(self, may: Callable[[Generation, Server], bool]) -> None:
        """Beside operators' rules: binds every leg, whatever rules are taken over later."""
        self.preferences_also = may
        self.prefer(self.brain.preferences)

    def prefer(self, preferences: Preferences) -> None:
        preferences.server_filter = self.preferences_also
        self.brain.set_preferences(preferences)

    def replace_brain(self, seed: int, preferences: Preferences, arguments: Mapping[str, Any]) -> RuledBrain:
        """Another module in force, that knows no server yet. Gives the one before, which goes on with what arrived at it.

        `preferences`: an object of its own, as each module keeps in it what it was told.
        """
        preferences.server_filter = self.preferences_also
        before, brain = self.brain, RuledBrain(self, seed, preferences, **arguments)  # type: ignore[abstract]
        self.keep_arrival_settings()
        self.brain = brain
        self.begin()
        return before

    def send(self, gen: Generation, server: Server, limit: Time) -> Leg:
        ask = self.asks[gen]
        leg = Leg(gen, len(gen.legs), server, self.world.now())
        gen.legs.append(leg)
        ask.unsent.add(leg)
        self.note(ask, Step.SEND, server.name)
        ask.tasks[leg] = self.group.spawn(self.front.leg(ask, leg, limit), f"leg {gen.name}#{leg.number}")
        return leg

    def hold(self, gen: Generation, server: Server) -> None:
        ask, brain = self.asks[gen], self.brain_of(gen)

        def call() -> Coro[None]:
            granted = yield from self.front.hold(ask, gen.legs[-1], server)
            self._tell(ask, lambda now: brain.hold_answered(now, gen, server, granted))

        self.group.spawn(self.counted(call()), f"hold {gen.name}")

    def release(self, gen: Generation, why: ReleaseReason) -> None:
        ask = self.asks.get(gen)
        if ask is None:
            return
        self.note(ask, Step.RELEASING, why)
        self.metrics.releases_asked.labels(why).inc()
        if gen.in_flight():
            self.front.release_unused(ask)
        else:
            self.front.release(ask)

    def throttle(self, gen: Generation, retry_after: Time) -> None:
        gen.over = True
        ask = self.asks[gen]
        ask.refuse(
            429, "throttled", "too much to do; another try does no harm", again=True, retry_after=retry_after
        )
        self._settle(ask)

    def terminate(self, gen: Generation) -> None:
        gen.over = True
        ask = self.asks[gen]
        if ask.begun:
            ask.break_off("terminated", "given up; it may have run")
        else:
            ask.refuse(502, "terminated", "given up; it may have run", again=False)
        self._settle(ask)

    def cancel(self, leg: Leg) -> None:
        ask = self.asks.get(leg.gen)
        if ask is None or (task := ask.tasks.get(leg)) is None:
            return
        if (reason := may_cancel(leg, Now(self.world.now(), serving=ask.serving))) is not None:
            self.forbidden(Act.CANCEL, reason, leg)
        else:
            task.cancel()

    def probe(self, server: Server) -> None:
        brain = self.brain  # none but the one in force probes

        def call() -> Coro[None]:
            well, report = yield from self.front.probe(server)
            self.plausibility.server = server.name
            self._tell(
                None,
                lambda now: brain.probe_answered(
                    now, server, well, self._report(End("streamed", Phase.HEAD, report=report))
                ),
            )

        self.group.spawn(self.counted(call()), f"probe {server.name}")

    def move(self, gen: Generation) -> None:
        ask = self.asks[gen]
        if ask.serving is not None and not gen.over:
            gen.over = True
            ask.break_off("moved", "the stream goes on elsewhere: ask again")
            if (task := ask.tasks.get(ask.serving)) is not None:
                task.cancel()

    def call_later(self, delay: Time, call: Callable[[Time], None]) -> None:
        self.world.at(self.world.now() + delay, lambda: self._tell(None, call))

    def subscribe(self) -> None:
        if self.list_wanted is not None:
            self.world.at(self.world.now(), self.list_wanted)

    def log(self, text: str) -> None:
        mode, _, rest = text.partition(" ")
        self.metrics.mode_changes.labels(mode).inc()
        self.logger.info("mode", mode=mode, text=rest)
