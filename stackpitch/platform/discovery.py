"""Follows discovery's list: one watch without a gap; what it says goes straight to the module."""

from typing import TYPE_CHECKING

from stackpitch.gateway.host import Host
from stackpitch.loop import MS, ConnectFailed, Coro, Lost, Scope, Stream, Time, World
from stackpitch.loop.world import Address
from stackpitch.membership.entries import Entry
from stackpitch.platform.config import BadConfig, address
from stackpitch.wire import http, platform

if TYPE_CHECKING:
    from stackpitch.gateway.logs import Log

MAX_LIST = 1 << 20  # bytes


class Discovery:
    """`wait`: how long a call may wait for news; `limit`: for the answer after that, and for a connection.

    `entries` is the list in force by name: emptied of what is removed or left out of a whole list.
    """

    def __init__(self, world: World, host: Host, log: "Log", target: Address, known: platform.Listed, wait: Time,
                 limit: Time, pause: Time) -> None:
        self.world, self.host, self.log, self.target = world, host, log, target
        self.wait, self.limit, self.pause = wait, limit, pause
        self.entries: dict[str, Entry] = {}
        self.revision: int | None = None  # None: the whole list is wanted
        self.fresh = False  # something has come since the start
        self.scope: Scope | None = None
        self.take(known)

    def aim(self, target: Address) -> None:
        """Another address from now on; a call under way ends."""
        if target != self.target:
            self.target = target
            if self.scope is not None:
                self.scope.cancel()

    def take(self, told: platform.Listed) -> None:
        """A member that can't be used is left out; one that is known keeps the entry it had, as nothing is told of it."""
        before = dict(self.entries)
        if told.complete:
            self.entries = {}
        for name, why in told.bad:
            self.log.warning("bad_member", server=name, why=why)
            if name in before:
                self.entries[name] = before[name]
        for one in told.members:
            if one.phase not in ("up", "draining"):
                self.entries.pop(one.id, None)
            elif (entry := self._entry(one, before)) is not None:
                self.entries[one.id] = entry
        if told.complete and before and not self.entries:
            self.log.warning("empty_list", revision=told.revision, before=len(before), bad=len(told.bad))
        if self.entries != before:
            self.host.take(told.revision, list(self.entries.values()))

    def _entry(self, one: platform.Member, before: dict[str, Entry]) -> Entry | None:
        try:
            host, port = address(one.host_port, one.id)
        except BadConfig as wrong:
            self.log.warning("bad_member", why=str(wrong))
            return before.get(one.id) if one.phase == "up" else None
        if one.flavor not in self.host.roster.kinds:
            self.log.warning("bad_member", server=one.id, flavor=one.flavor)
            return None
        return Entry(name=one.id, host=host, port=port, kind=one.flavor, zone=one.locality, cell=one.cell,
                     state="ready" if one.phase == "up" else "draining", weight=one.size,
                     started_unix_ms=one.up_since_ms or None)

    def run(self) -> Coro[None]:
        while True:
            with self.world.scope() as self.scope:
                try:
                    yield from self._follow()
                except (Lost, ConnectFailed, http.BadMessage, ValueError) as wrong:
                    self.log.info("discovery_lost", why=str(wrong))
                yield from self.world.sleep(self.pause)

    def _follow(self) -> Coro[None]:
        host, port = self.target
        stream = yield from self.world.connect(self.target, self.limit)
        try:
            while True:
                query = "" if self.revision is None else f"?since={self.revision}&timeout_ms={self.wait // MS}"
                told = yield from self._call(stream, f"{platform.LIST}{query}", f"{host}:{port}")
                if told.complete or self.revision is None or told.revision >= self.revision:
                    self.take(told)
                    self.revision, self.fresh = told.revision, True
                else:
                    self.revision = None  # a version that goes back: what changed since is not known
        finally:
            stream.close()

    def _call(self, stream: Stream, target: str, name: str) -> Coro[platform.Listed]:
        with self.world.limit(self.wait + self.limit):
            reader = http.ResponseReader(1 << 14, MAX_LIST)
            stream.write(http.request("GET", target, name, b""))
            pieces: list[bytes] = []
            while not reader.complete:
                data = yield from stream.recv()
                if not data:
                    raise Lost("closed by discovery")
                reader.feed(data)
                pieces += reader.pieces
            if reader.status != 200:
                raise Lost(f"status {reader.status}")
            return platform.listed(b"".join(pieces))
        raise Lost("no answer in time")
