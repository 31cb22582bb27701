"""The processes of a day, started each with a file of settings beside its records."""

import msgspec

from stackpitch.loop import Child, Coro
from stackpitch.rehearse.director import settings
from stackpitch.rehearse.director.calls import reachable
from stackpitch.rehearse.director.lists import Lists
from stackpitch.rehearse.director.places import Net, Post, Seat, Source
from stackpitch.rehearse.director.stage import Stage


class Processes:
    """Starts what stands at the places, and brings it back."""

    def __init__(self, stage: Stage, lists: Lists) -> None:
        self.stage, self.lists = stage, lists

    def run(self, name: str, told: dict[str, object], *words: str) -> Child:
        path = self.stage.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(told))
        return self.stage.world.spawn_child(
            self.stage.command(*words, str(path)), output=str(self.stage.folder / f"{name}.log")
        )

    def start_engine(self, seat: Seat) -> None:
        seat.started_unix_ms = self.stage.world.wall_ms() if seat.cold else None
        seat.child = self.run(seat.name, settings.engine(self.stage, seat), "engine")
        self.stage.recorder.note("started", name=seat.name)

    def start_gateway(self, post: Post) -> None:
        """Starts with the list that it was last told; a first start is told the present one."""
        if not (self.stage.folder / f"{post.name}.fleet").exists():
            self.lists.write_list(post)
        self.lists.note_told(post, "ready")
        words = ["serve", "-c"] if self.stage.broken is None else ["broken", self.stage.broken, "-c"]
        post.child = self.run(post.name, settings.gateway(self.stage, post), *words)
        self.stage.recorder.note("started", name=post.name)

    def start_network(self, net: Net) -> None:
        net.child = self.run(net.name, settings.network(self.stage, net), "network")

    def start_origin(self, place: Source) -> None:
        place.child = self.run(place.name, settings.origin(self.stage, place), "origin")

    def up(self, post: Post) -> Coro[None]:
        yield from reachable(self.stage, post)
        self.stage.recorder.note("listens", name=post.name)

    def start_clients(self) -> Child:
        return self.run("clients", settings.clients(self.stage), "clients")

    def back(self, seat: Seat) -> Coro[None]:
        if seat.child is not None:
            yield from seat.child.wait()
        seat.cold, seat.state = self.stage.day.back_cold, "ready"
        if not self.stage.stopping:
            self.start_engine(seat)
            yield from reachable(self.stage, seat)
