"""Troubles on servers: calls to their control ports, kills, drains, deploys."""

import signal

import msgspec

from stackpitch.loop import SECOND, Coro, Group, Time
from stackpitch.rehearse.day import Trouble
from stackpitch.rehearse.director.calls import call
from stackpitch.rehearse.director.lists import Lists
from stackpitch.rehearse.director.places import HOST, Seat
from stackpitch.rehearse.director.processes import Processes
from stackpitch.rehearse.director.stage import Stage


class Servers:
    """Brings one trouble, and takes it away after `lasts`."""

    def __init__(self, stage: Stage, lists: Lists, processes: Processes) -> None:
        self.stage, self.lists, self.processes = stage, lists, processes

    def bring(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        if trouble.kind in ("vanish", "fail-at-once", "silent"):
            yield from self.vanish(group, trouble, lasts)
        elif trouble.kind == "deploy":
            yield from self.deploy(group, trouble, lasts)
        else:
            yield from self.spell(group, trouble, lasts)

    def spell(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        """A time of illness, told to the stand-ins themselves."""
        seats = self.stage.struck(trouble)
        self.stage.say(f"{trouble.kind} x{trouble.strength:g} at {', '.join(one.name for one in seats)}")
        if trouble.kind == "drain":
            for seat in seats:
                seat.state = "draining"
            self.lists.tell(group)
        for seat in seats:
            yield from self.control(seat, trouble.kind, trouble.strength, True)
        yield from self.stage.world.sleep(lasts)
        for seat in seats:
            yield from self.control(seat, trouble.kind, trouble.strength, False)
            if trouble.kind == "drain":
                seat.state = "ready"
        if trouble.kind == "drain":
            self.lists.tell(group)
        self.stage.say(f"{trouble.kind} over")

    def control(self, seat: Seat, name: str, strength: float, on: bool) -> Coro[None]:
        body = msgspec.json.encode({"name": name, "strength": strength, "on": on})
        yield from call(self.stage.world, (HOST, seat.control), "/trouble", body)

    def vanish(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        """Killed with resets, or stopped without a sign; listed as gone late, back cold, listed late."""
        seats = self.stage.struck(trouble)
        self.stage.say(f"{trouble.kind} at {', '.join(one.name for one in seats)}")
        for seat in seats:
            if (
                trouble.kind == "silent"
            ):  # cut off as far as others can tell; the process goes on to record its legs
                self.stage.recorder.note("killed", name=seat.name, signal=0)
                yield from self.control(seat, "silent", 1.0, True)
            else:
                self.stage.kill(seat)
        yield from self.stage.world.sleep(lasts // 2)
        for seat in seats:
            seat.state = "gone"
        self.lists.tell(group)
        yield from self.stage.world.sleep(lasts // 2)
        for seat in seats:
            if trouble.kind == "silent":
                self.stage.kill(seat)
            yield from self.processes.back(seat)
        self.lists.tell(group)
        self.stage.say(f"{trouble.kind} over, back cold")

    def deploy(self, group: Group, trouble: Trouble, lasts: Time) -> Coro[None]:
        """Replaces servers in batches: listed as draining, drained, stopped, back cold. `strength`: a batch's size."""
        seats = self.stage.struck(trouble)
        size = max(1, int(trouble.strength))
        batches = [seats[at : at + size] for at in range(0, len(seats), size)]
        self.stage.say(f"deploy of {len(seats)} servers, {size} at a time")
        for batch in batches:
            began = self.stage.world.now()
            for seat in batch:
                seat.state = "draining"
            self.lists.tell(group)
            for seat in batch:
                yield from self.control(seat, "drain", 1.0, True)
            yield from self.stage.world.sleep(
                max(int(1.6 * self.stage.day.notice_s * SECOND), lasts // len(batches) // 2)
            )
            for seat in batch:
                self.stage.kill(seat, signal.SIGTERM)
                yield from self.processes.back(seat)
            self.lists.tell(group)
            yield from self.stage.world.sleep(began + lasts // len(batches) - self.stage.world.now())
        self.stage.say("deploy over")
