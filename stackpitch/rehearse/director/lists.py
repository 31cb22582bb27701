"""The fleet's list as each gateway has it: written, told after a delay, noted for the checker."""

import os
from typing import Any

import msgspec

from stackpitch.loop import MS, SECOND, Coro, Group
from stackpitch.rehearse.director.calls import call
from stackpitch.rehearse.director.places import HOST, Post, Seat
from stackpitch.rehearse.director.stage import Stage

TELL_TRIES = 40


class Lists:
    """`version` rises with each change that gateways are told of."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.version = stage, 1

    def fleet(self) -> dict[str, Any]:
        return {
            "version": self.version,
            "servers": [
                {
                    "name": one.name,
                    "host": HOST,
                    "port": one.port,
                    "kind": one.kind,
                    "zone": one.zone,
                    "cell": one.cell,
                    "state": one.state,
                    "started_unix_ms": one.started_unix_ms,
                    **self.spoken(one),
                }
                for one in self.stage.seats.values()
                if one.state != "gone"
            ],
        }

    def spoken(self, seat: Seat) -> dict[str, str]:
        made = self.stage.vocabularies
        return {} if made is None else {"vocabulary": made.digests[seat.vocabulary]}

    def write_list(self, post: Post) -> None:
        """Whole or not at all, as a gateway that starts just now may read it."""
        beside = self.stage.folder / f"{post.name}.fleet.new"
        beside.write_bytes(msgspec.json.encode(self.fleet()))
        os.replace(beside, self.stage.folder / f"{post.name}.fleet")
        post.listed = {one.name: one.state for one in self.stage.seats.values()}

    def note_told(self, post: Post, only: str | None = None) -> None:
        states = {name: state for name, state in post.listed.items() if only in (None, state)}
        self.stage.recorder.note("told", gateway=post.name, version=self.version, states=states)

    def tell(self, group: Group) -> None:
        """The list has changed: each gateway is told after its own delay."""
        self.version += 1
        for post in self.stage.posts.values():
            group.spawn(self.tell_one(post), f"tell {post.name}")

    def tell_one(self, post: Post) -> Coro[None]:
        """A gateway that is down hears nothing, and is told anew some time after its restart.

        What is ready counts as told from before the call: the gateway may use it before its answer is here. What
        drains or is gone counts from the answer on. Calls to one gateway don't overlap: each stands for its own list.
        """
        yield from self.stage.world.sleep(
            int(self.stage.day.notice_s * self.stage.random.uniform(0.6, 1.4) * SECOND)
        )
        child = post.child
        post.news += 1
        news = post.news
        while post.telling:
            yield from self.stage.world.sleep(5 * MS)
        if post.news != news:  # a later call, which waited as well, tells all that this one would
            return
        post.telling = True
        try:
            for _ in range(TELL_TRIES):
                if child is None or child is not post.child or child.code() is not None:
                    return
                self.write_list(post)
                self.note_told(post, "ready")
                answer = yield from call(self.stage.world, (HOST, post.admin), "/roster/reload?force=1", b"")
                if answer is not None and answer.status == 200:
                    self.note_told(post)
                    return
                self.stage.recorder.note(
                    "untold", gateway=post.name, status=None if answer is None else answer.status
                )
                yield from self.stage.world.sleep(250 * MS)
            raise RuntimeError(f"{post.name} did not take list {self.version} in {TELL_TRIES} calls")
        finally:
            post.telling = False
