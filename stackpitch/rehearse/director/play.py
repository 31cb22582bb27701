"""A day from its first process to its last record."""

import shutil
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path

from stackpitch.loop import SECOND, Coro, Group, World
from stackpitch.rehearse.day import (
    GATEWAY_TROUBLES,
    NETWORK_TROUBLES,
    TRAFFIC_TROUBLES,
    VOCABULARY_TROUBLES,
    VOTER_TROUBLES,
    WEIGHTS_TROUBLES,
    Day,
    Trouble,
)
from stackpitch.rehearse.director.calls import reachable
from stackpitch.rehearse.director.check import check
from stackpitch.rehearse.director.lists import Lists
from stackpitch.rehearse.director.outcome import Outcome, judge, modes
from stackpitch.rehearse.director.processes import Processes
from stackpitch.rehearse.director.stage import Stage
from stackpitch.rehearse.director.troubles.change import Change
from stackpitch.rehearse.director.troubles.edits import Edits
from stackpitch.rehearse.director.troubles.gateways import Gateways
from stackpitch.rehearse.director.troubles.network import Network
from stackpitch.rehearse.director.troubles.servers import Servers
from stackpitch.rehearse.director.troubles.supply import Supply
from stackpitch.rehearse.director.troubles.voters import Voters
from stackpitch.rehearse.director.weights import Weights
from stackpitch.rehearse.records import read_all


class Director:
    """Runs one day."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.lists = Lists(stage)
        self.processes = Processes(stage, self.lists)
        self.servers = Servers(stage, self.lists, self.processes)
        self.gateways = Gateways(stage, self.lists, self.processes)
        self.edits = Edits(stage, self.lists)
        self.voters = Voters(stage, self.gateways)
        self.network = Network(stage)
        self.change = Change(stage, self.lists, self.processes, self.servers)
        self.weights = Weights(stage)
        self.supply = Supply(stage)

    def trouble(self, group: Group, trouble: Trouble) -> Coro[None]:
        stage = self.stage
        yield from stage.world.sleep(stage.start + int(trouble.at_s * SECOND) - stage.world.now())
        lasts = int(trouble.for_s * SECOND)
        if trouble.kind == "edits":
            yield from self.edits.bring(group, trouble, lasts)
        elif trouble.kind in GATEWAY_TROUBLES:
            yield from self.gateways.bring(group, trouble, lasts)
        elif trouble.kind in VOTER_TROUBLES:
            yield from self.voters.bring(group, trouble, lasts)
        elif trouble.kind in NETWORK_TROUBLES:
            yield from self.network.bring(trouble, lasts)
        elif trouble.kind in VOCABULARY_TROUBLES:
            yield from self.change.bring(group, trouble, lasts)
        elif trouble.kind in WEIGHTS_TROUBLES:
            yield from self.supply.bring(trouble, lasts)
        elif trouble.kind in TRAFFIC_TROUBLES:
            stage.say(f"{trouble.kind} x{trouble.strength:g} for {trouble.for_s:g} s")  # the clients play it
        else:
            yield from self.servers.bring(group, trouble, lasts)

    def play(self) -> Coro[bool]:
        """The whole day; whether all was answered before its end."""
        stage = self.stage
        stage.lay_out()
        finished = False
        try:
            seats = [*stage.seats.values(), *([stage.trap] if stage.trap is not None else [])]
            for seat in seats:
                self.processes.start_engine(seat)
            for seat in seats:
                yield from reachable(stage, seat)
            if stage.net is not None:
                self.processes.start_network(stage.net)
                yield from reachable(stage, stage.net)
            if stage.origin is not None:
                self.weights.lay_out()
                self.processes.start_origin(stage.origin)
                yield from reachable(stage, stage.origin)
            for post in stage.posts.values():
                self.processes.start_gateway(post)
            for post in stage.posts.values():
                yield from self.processes.up(post)
            stage.start = stage.world.now() + SECOND
            finished = bool((yield from stage.world.group(self._body)))
        finally:
            stage.stopping = True
            children = [one.child for one in stage.posts.values()] + [
                one.child for one in stage.seats.values()
            ]
            children += [stage.trap.child] if stage.trap is not None else []
            children += [stage.origin.child] if stage.origin is not None else []
            children += [stage.net.child] if stage.net is not None else []
            left = [one for one in children if one is not None]
            for child in left:
                child.signal(signal.SIGKILL)
            with stage.world.shield():
                for child in left:
                    yield from child.wait()
        return finished

    def _body(self, group: Group) -> Coro[bool]:
        stage, clients = self.stage, self.processes.start_clients()
        for trouble in stage.day.troubles:
            group.spawn(self.trouble(group, trouble), f"trouble {trouble.kind}")
        group.spawn(self.progress(), "progress")
        if stage.origin is not None:
            group.spawn(self.weights.edit(), "wanted")
            group.spawn(self.weights.watch(), "places")
        finished = False
        with stage.world.limit(
            stage.start - stage.world.now() + int((stage.day.length_s + stage.day.tail_s) * SECOND)
        ):
            finished = (yield from clients.wait()) == 0
        if not finished:
            clients.signal(signal.SIGKILL)
            yield from clients.wait()
        yield from stage.world.sleep(SECOND)  # the last releases
        if stage.origin is not None:
            yield from self.weights.at_the_end()
        stage.stopping = True
        group.cancel()
        return finished

    def progress(self) -> Coro[None]:
        while True:
            yield from self.stage.world.sleep(5 * SECOND)
            at = (self.stage.world.now() - self.stage.start) / SECOND
            self.stage.say(f"{at:.0f} of {self.stage.day.length_s:g} s")


def play(
    world: World, day: Day, keep: Path | None, broken: str | None, say: Callable[[str], None]
) -> Outcome:
    """Plays a day and judges it. Records stay in `keep`, else they go."""
    check(day)
    with tempfile.TemporaryDirectory(prefix="stackpitch-") as temporary:
        folder = keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        for old in [
            *folder.glob("*.jsonl"),
            *folder.glob("*.fleet"),
            *folder.glob("*.kept"),
            *folder.glob("*.log"),
            *folder.glob("*.votes*"),
            *folder.glob("*.bytes"),
        ]:
            old.unlink()
        for old in folder.glob("site-*"):
            shutil.rmtree(old)
        stage = Stage(world, day, folder, broken, say)
        finished = world.run(Director(stage).play())
        places = {one.name: (one.zone, one.cell) for one in stage.seats.values()}
        outcome = judge(day, read_all(folder), places, finished)
        outcome.modes = modes(folder)
        outcome.edits = next((one["done"] for one in read_all(folder) if one["what"] == "edits"), {})
        return outcome
