"""People at a gateway's file: good and broken rewrites mixed, in all the ways in which files are written.

Broken lists name a trap: a stand-in engine that no good list has. A leg there is a breach. Each broken content that
stands is seen through until the gateway says that it has read and rejected it; each good one until it is in force.
"""

import os
from hashlib import sha256
from typing import Any

import msgspec

from stackpitch.loop import MS, SECOND, Coro, Random
from stackpitch.rehearse.director.calls import call
from stackpitch.rehearse.director.lists import Lists
from stackpitch.rehearse.director.places import HOST, TRAP, Post
from stackpitch.rehearse.director.stage import Stage

PATIENCE = 6 * SECOND  # for a gateway to have read what stands in its file
GLANCE = 15 * MS
BROKEN = ("half", "text", "empty", "twice", "kind", "old", "grows")
WRITES = ("in place", "rename", "link", "removed")


class Editor:
    """Edits one gateway's file. `done` counts edits by kind."""

    def __init__(self, stage: Stage, lists: Lists, post: Post, gap: int) -> None:
        self.stage, self.lists, self.post, self.gap, self.world = stage, lists, post, gap, stage.world
        self.random: Random = stage.world.rng(f"editor {post.name}")
        self.path = stage.folder / f"{post.name}.fleet"
        self.version = 1000
        self.draining: set[str] = set()
        self.left_out: set[str] = set()
        self.weights: dict[str, float] = {}
        self.done: dict[str, int] = {}

    def run(self, until: int) -> Coro[None]:
        while self.world.now() < until:
            begun = self.world.now()
            if self.random.random() < 0.5:
                yield from self.good()
            else:
                yield from self.broken()
            yield from self.world.sleep(max(0, begun + self.gap - self.world.now()))
        self.draining.clear()
        self.left_out.clear()
        yield from self.good(calm=True)

    # What is written.

    def listed(self) -> list[dict[str, Any]]:
        fleet = self.lists.fleet()["servers"]
        return [
            one
            | {
                "state": "draining" if one["name"] in self.draining else one["state"],
                "weight": self.weights.get(one["name"], 1.0),
            }
            for one in fleet
            if one["name"] not in self.left_out
        ]

    def text(self, servers: list[dict[str, Any]], version: int | None = None) -> bytes:
        return msgspec.json.encode(
            {"version": self.version if version is None else version, "servers": servers}
        )

    def write(self, data: bytes, how: str) -> Coro[None]:
        """`grows` writes in place, bit by bit; `link` swaps a symbolic link, as configuration folders are updated."""
        beside = self.path.with_name(f"{self.path.name}.{self.version}.{self.random.randrange(1 << 30)}")
        if how == "removed":
            self.path.unlink(missing_ok=True)
            yield from self.world.sleep(self.random.randrange(1, 60) * MS)
        if how in ("in place", "grows", "removed"):
            with open(self.path, "wb") as sink:
                step = max(1, len(data) // 6) if how == "grows" else len(data)
                for at in range(0, len(data), step):
                    sink.write(data[at : at + step])
                    sink.flush()
                    if how == "grows":
                        yield from self.world.sleep(20 * MS)
        else:
            beside.write_bytes(data)
            if how == "link":
                link = beside.with_name(beside.name + ".link")
                link.symlink_to(beside.name)
                os.replace(link, self.path)
            else:
                os.replace(beside, self.path)

    # Edits, each seen through.

    def good(self, calm: bool = False) -> Coro[None]:
        names = [one["name"] for one in self.lists.fleet()["servers"]]
        kind = (
            "same"
            if calm
            else self.random.choice(("weight", "weight", "drain", "ready", "out", "back", "same"))
        )
        name = self.random.choice(names)
        if kind == "weight":
            self.weights[name] = self.random.choice((0.5, 1.0, 2.0))
        elif kind == "drain" and len(self.draining | self.left_out) < 3:
            self.draining.add(name)
        elif kind == "ready":
            self.draining.clear()
        elif kind == "out" and len(self.draining | self.left_out) < 3:
            self.left_out.add(name)
        elif kind == "back":
            self.left_out.clear()
        if kind != "same" or calm:
            self.version += 1
        states = {
            name: "gone" if name in self.left_out else "draining" if name in self.draining else "ready"
            for name in names
        }
        self.post.listed = states
        self.lists.note_told(self.post, "ready")  # it may be read from now on
        yield from self.write(self.text(self.listed()), self.random.choice(WRITES))
        self.count(f"good: {kind}")
        if (yield from self.seen(lambda told: told["version"] >= self.version and not told["held"])):
            self.lists.note_told(self.post)

    def broken(self) -> Coro[None]:
        kind = self.random.choice(BROKEN)
        assert self.stage.trap is not None
        trap = {
            "name": TRAP,
            "host": HOST,
            "port": self.stage.trap.port,
            "kind": self.stage.trap.kind,
            "cell": 1,
        }
        servers, version = [*self.listed(), trap], self.version + 1
        if kind == "twice":
            servers.append(servers[0])
        elif kind == "kind":
            servers[0] = servers[0] | {"kind": "no such kind"}
        elif kind == "empty":
            servers = []
        elif kind == "old":
            version = 0
        data = self.text(servers, version)
        if kind == "half":
            data = data[: self.random.randrange(len(data) // 4, len(data) - 2)]
        elif kind in ("text", "grows"):
            data = data[:-2] + b", and so on]}"
        yield from self.write(data, "grows" if kind == "grows" else self.random.choice(WRITES))
        self.count(f"broken: {kind}")
        if self.random.random() < 0.8:  # the others are overwritten at once
            told_as = sha256(data).hexdigest()[:32]
            if (
                yield from self.seen(
                    lambda told: told["last"] == "rejected" and told["files"].get(str(self.path)) == told_as
                )
            ):
                self.count("broken and rejected")

    def count(self, what: str) -> None:
        self.done[what] = self.done.get(what, 0) + 1

    def seen(self, enough: Any) -> Coro[bool]:
        """Asks the gateway until it says so; False if it was killed meanwhile. Raises RuntimeError if it never does."""
        child, end = self.post.child, self.world.now() + PATIENCE
        told: dict[str, Any] = {}
        while self.world.now() < end:
            if child is None or child is not self.post.child or child.code() is not None:
                return False
            answer = yield from call(self.world, (HOST, self.post.admin), "/fleet", b"", "GET")
            if answer is not None and answer.status == 200:
                told = msgspec.json.decode(b"".join(answer.pieces))
                if enough(told):
                    return True
            yield from self.world.sleep(GLANCE)
        if child is None or child is not self.post.child or child.code() is not None:
            return False
        raise RuntimeError(
            f"{self.post.name} did not come to what stands in its file (version {self.version}); it says "
            f"{msgspec.json.encode(told).decode()[:600]}"
        )
