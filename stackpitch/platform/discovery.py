"""Follows discovery's list: one watch without a gap; what it says goes straight to the module.

After a failure the whole list is asked for, as that is answered without waiting, by tries that overlap. `watching` has
the times and their sum.
"""

from collections import deque
from collections.abc import Mapping
from typing import TYPE_CHECKING

from stackpitch.gateway.host import Host
from stackpitch.interface import Role
from stackpitch.loop import MS, ConnectFailed, ConnectionLost, Coro, Group, Scope, Stream, Task, Time, World
from stackpitch.loop.world import Address
from stackpitch.membership.entries import Entry
from stackpitch.platform.config import ConfigError, parse_address
from stackpitch.platform.watching import BOUND, TRIES, WatchTimes
from stackpitch.wire import http, platform

if TYPE_CHECKING:
    from stackpitch.gateway.logs import Log

MAX_LIST = (
    2 << 20
)  # bytes; 3,200 indented members take 1.3 MB. Against an answer without end, four tries of it at once
PART = "a part of the list where all of it was asked for"
MOST_SAID = 16  # causes that are told of one outage


class BadAnswer(Exception):
    """Discovery answered with what is no list; its text is what came. It costs the connection that it came on."""

    allowed = f"status 200 and a list as JSON, {MAX_LIST} bytes at most"
    remedy = "look at what answers at discovery's address; the list in force stays"


class Discovery:
    """`entries` is the list in force by name: emptied of what is removed or left out of a whole list.

    `said`: causes that were logged since the last list; emptied by the next.
    """

    def __init__(
        self,
        world: World,
        host: Host,
        log: "Log",
        target: Address,
        known: platform.ServerList,
        times: WatchTimes,
    ) -> None:
        self.world, self.host, self.log, self.target, self.times = world, host, log, target, times
        self.entries: dict[str, Entry] = {}
        self.unknown: dict[
            str, Entry
        ] = {}  # members of kinds that the settings don't know; emptied as `entries`
        self.revision: int | None = None  # None: the whole list is wanted
        self.fresh = False  # something has come since the start
        self.tried: Time | None = None  # when the last try began
        self.said: set[str] = set()
        self.scope: Scope | None = None
        self.take(known)

    def aim(self, target: Address) -> None:
        """Another address from now on; a call under way ends."""
        if target != self.target:
            self.target = target
            if self.scope is not None:
                self.scope.cancel()

    def take(self, told: platform.ServerList, current: bool = False) -> None:
        """A member that can't be used is left out; one that is known keeps the entry it had, as nothing is told of it.
        `current`: as discovery has it now."""
        before = dict(self.entries)
        if told.complete:
            self.entries, self.unknown = {}, {}
        for name, why in told.bad:
            self.log.warning("bad_member", server=name, why=why)
            if name in before:
                self.entries[name] = before[name]
        for one in told.members:
            self.unknown.pop(one.id, None)
            if one.phase not in ("up", "draining"):
                self.entries.pop(one.id, None)
            elif (entry := self._entry(one, before)) is not None:
                self.entries[one.id] = entry
        if told.complete and before and not self.entries:
            self.log.warning("empty_list", revision=told.revision, before=len(before), bad=len(told.bad))
        if self.entries != before:
            self.host.apply_roster(told.revision, list(self.entries.values()), current)

    def _entry(self, one: platform.Member, before: dict[str, Entry]) -> Entry | None:
        try:
            host, port = parse_address(one.host_port, one.id)
        except ConfigError as wrong:
            self.log.warning("bad_member", why=str(wrong))
            return before.get(one.id) if one.phase == "up" else None
        entry = Entry(
            name=one.id,
            host=host,
            port=port,
            kind=one.flavor,
            zone=one.locality,
            cell=one.cell,
            state="ready" if one.phase == "up" else "draining",
            weight=one.size,
            started_unix_ms=one.up_since_ms or None,
        )
        if self._known(entry):
            return entry
        self.unknown[one.id] = entry
        return None

    def _known(self, entry: Entry) -> bool:
        if entry.kind in self.host.roster.kinds:
            return True
        self.log.warning("bad_member", server=entry.name, flavor=entry.kind)
        return False

    def take_kinds(self, kinds: Mapping[str, tuple[Role, int]]) -> None:
        """Other kinds of servers: the whole list is told anew, with the members that these kinds make known."""
        self.host.roster.set_kinds(kinds)
        listed = [*self.entries.values(), *self.unknown.values()]
        self.entries = {one.name: one for one in listed if self._known(one)}
        self.unknown = {one.name: one for one in listed if one.kind not in kinds}
        self.host.apply_roster(self.host.roster.version, list(self.entries.values()), current=self.fresh)

    def run(self) -> Coro[None]:
        while True:
            with self.world.scope() as self.scope:
                stream = yield from self._take_up()
                try:
                    yield from self._follow(stream)
                except (ConnectionLost, ConnectFailed, BadAnswer) as wrong:
                    self._failed(wrong)
                except (
                    Exception
                ) as wrong:  # guards the gateway against a list that nobody thought of: it costs its call
                    self.log.exception("discovery_raised", why=str(wrong))

    def _failed(self, wrong: Exception) -> None:
        """One line for each cause until the next list: a discovery that is down must not fill the log."""
        why = str(wrong)
        if why in self.said:
            return
        if len(self.said) < MOST_SAID:
            self.said.add(why)
            if isinstance(wrong, BadAnswer):
                self.log.warning(
                    "discovery_bad_answer", found=why, allowed=BadAnswer.allowed, remedy=BadAnswer.remedy
                )
            else:
                self.log.info("discovery_lost", why=why)

    def _take_up(self) -> Coro[Stream]:
        """Asks for the whole list until it comes, and takes it; the connection it came on. A try that is silent is not
        waited for: the next one begins beside it, and the first whole answer ends the others. A part of a list tells its
        members, but not what else there is."""
        found: list[tuple[Stream, platform.ServerList]] = []

        def one(group: Group) -> Coro[None]:
            try:
                stream, told = yield from self._whole()
                if not told.complete:
                    stream.close()
                    self.take(told)
                    raise BadAnswer(PART)
                found.append((stream, told))
            except (ConnectionLost, ConnectFailed, BadAnswer) as wrong:
                self._failed(wrong)
            except Exception as wrong:  # as in `run`
                self.log.exception("discovery_raised", why=str(wrong))
            else:
                group.scope.cancel()

        def tries(group: Group) -> Coro[None]:
            under_way: deque[Task] = deque()
            place = 0
            if self.tried is not None:
                yield from self.world.sleep(
                    max(self.times.pause, self.tried + self.times.gap(0) - self.world.now())
                )
            while True:
                under_way = deque(task for task in under_way if not task.ended)
                if len(under_way) >= TRIES:
                    under_way.popleft().cancel()
                    self._failed(ConnectionLost("no answer to the whole list"))
                self.tried = self.world.now()
                under_way.append(group.spawn(one(group), "ask discovery"))
                yield from self.world.sleep(self.times.gap(place))
                place += 1

        kept: Stream | None = None
        try:
            yield from self.world.group(tries)
            kept, told = found[0]
            self._told(told)
        finally:
            for stream, _ in found:
                if stream is not kept:
                    stream.close()
        return kept

    def _whole(self) -> Coro[tuple[Stream, platform.ServerList]]:
        stream = yield from self.world.connect(self.target, BOUND)
        try:
            told, keeps = yield from self._call(stream, platform.TARGETS_PATH)
        except BaseException:
            stream.close()
            raise
        if not keeps:
            stream.close()
        return stream, told

    def _told(self, told: platform.ServerList) -> None:
        if self.said:
            self.said.clear()
            self.log.info("discovery_back", revision=told.revision)
        self.take(told, current=True)
        self.host.roster.starts.confirm_current()  # also where it says what was known
        self.revision, self.fresh = told.revision, True

    def _follow(self, stream: Stream) -> Coro[None]:
        """The watch. Each next call goes out with the answer, on a new connection if discovery closes the old one."""
        told: platform.ServerList | None
        try:
            while True:
                since, told, keeps, asked = self.revision, None, True, self.world.now()
                query = "" if since is None else f"?since={since}&timeout_ms={self.times.wait // MS}"
                with self.world.limit(self.times.wait + self.times.grace):
                    if stream.closed:
                        stream = yield from self.world.connect(self.target, self.times.grace)
                    told, keeps = yield from self._call(stream, f"{platform.TARGETS_PATH}{query}")
                if told is None:
                    raise ConnectionLost(f"no answer within {(self.times.wait + self.times.grace) // MS} ms")
                if since is None and not told.complete:
                    raise BadAnswer(PART)
                if told.complete or since is None or told.revision >= since:
                    self._told(told)
                else:
                    self.revision = None  # a version that goes back: what changed since is not known
                if not keeps:
                    stream.close()
                if (
                    since is not None
                    and told.revision <= since
                    and self.world.now() - asked < self.times.rest
                ):
                    yield from self.world.sleep(
                        self.times.rest
                    )  # guards against answers that come at once for ever
        finally:
            stream.close()

    def _call(self, stream: Stream, target: str) -> Coro[tuple[platform.ServerList, bool]]:
        """What was answered, and whether the connection serves another call."""
        host, port = self.target
        reader = http.ResponseParser(1 << 14, MAX_LIST)
        stream.write(http.request("GET", target, f"{host}:{port}", b""))
        pieces: list[bytes] = []
        try:
            while not reader.complete:
                data = yield from stream.recv()
                if not data:
                    raise ConnectionLost("closed by discovery")
                reader.feed(data)
                pieces += reader.pieces
            if reader.status != 200:
                raise BadAnswer(f"status {reader.status}")
            return platform.parse_server_list(b"".join(pieces)), reader.keep_alive and not reader.extra_bytes
        except (http.BadMessage, ValueError) as wrong:
            raise BadAnswer(str(wrong)) from None
