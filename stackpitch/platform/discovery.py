"""Follows discovery's list of servers by watches (long polling) and applies each update.

After a failure the complete list is requested, as that is answered without waiting. `call_schedule` decides
when calls are made and which are given up on; calls may overlap, so their answers may arrive in any order.
"""

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from stackpitch.exchange import read_body
from stackpitch.gateway.host import Host
from stackpitch.interface import Role
from stackpitch.loop import MS, ConnectFailed, ConnectionLost, Coro, Group, Scope, Stream, Task, Time, World
from stackpitch.loop.world import Address
from stackpitch.membership.entries import Entry
from stackpitch.platform.call_schedule import MAX_PATIENCE, Call, CallSchedule
from stackpitch.platform.config import ConfigError, parse_address
from stackpitch.platform.watching import WatchTimes
from stackpitch.wire import http, platform

if TYPE_CHECKING:
    from stackpitch.gateway.logs import Log

# Bytes. 3,200 members in indented JSON take 1.3 MB. Bounds the memory of an endless answer, of which
# MAX_CONNECTIONS may be read at once.
MAX_LIST = 2 << 20
INCOMPLETE = "discovery sent a partial list where the complete list was requested"
MAX_LOGGED_CAUSES = 16  # of one outage


class BadAnswer(Exception):
    """Discovery's answer is not a valid list; the message says what came.

    The connection that it came on is closed.
    """

    allowed = f"status 200 and a list as JSON of at most {MAX_LIST} bytes"
    remedy = "check which service answers at discovery's address; the current list stays in force"


class Discovery:
    """Keeps the list of servers in step with discovery.

    `entries` is the list in force by name: members that are removed, or missing from a complete list, are
    dropped.

    `logged_causes`: causes logged since the last list; emptied by the next.
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
        self.world, self.host, self.log, self.target = world, host, log, target
        self.schedule = CallSchedule(times, world.now())
        self.entries: dict[str, Entry] = {}
        self.unknown: dict[str, Entry] = {}  # members of kinds that the settings lack; emptied like `entries`
        self.revision: int | None = None  # None: the complete list has to be requested
        self.list_received = False  # from discovery, since the start
        self.applied_at: Time = 0  # when the last update arrived that was applied
        self.logged_causes: set[str] = set()
        self.scope: Scope | None = None  # of all calls to the present address
        self.sleeping: Scope | None = None  # until the next call is due
        self.tasks: dict[Call, Task] = {}  # of the calls under way; emptied as they end
        self.idle: Stream | None = None  # a connection for the next call
        self.apply(known)

    def set_times(self, times: WatchTimes) -> None:
        """Changes the times of further calls."""
        self.schedule.times = times

    def set_target(self, target: Address) -> None:
        """Changes discovery's address; calls in progress are cancelled."""
        if target != self.target:
            self.target = target
            if self.scope is not None:
                self.scope.cancel()

    def apply(self, update: platform.ServerList, current: bool = False) -> None:
        """Applies an update.

        An invalid member is left out; if it was listed before it keeps its previous entry. `current`: the
        update is discovery's present state.
        """
        before = dict(self.entries)
        if update.complete:
            self.entries, self.unknown = {}, {}
        for name, reason in update.bad:
            self.log.warning("bad_member", server=name, why=reason)
            if name in before:
                self.entries[name] = before[name]
        for member in update.members:
            self.unknown.pop(member.id, None)
            if member.phase not in ("up", "draining"):
                self.entries.pop(member.id, None)
            elif (entry := self._entry(member, before)) is not None:
                self.entries[member.id] = entry
        if update.complete and before and not self.entries:
            self.log.warning("empty_list", revision=update.revision, before=len(before), bad=len(update.bad))
        if self.entries != before:
            self.host.apply_roster(update.revision, list(self.entries.values()), current)

    def _entry(self, member: platform.Member, before: dict[str, Entry]) -> Entry | None:
        try:
            host, port = parse_address(member.host_port, member.id)
        except ConfigError as error:
            self.log.warning("bad_member", why=str(error))
            return before.get(member.id) if member.phase == "up" else None
        entry = Entry(
            name=member.id,
            host=host,
            port=port,
            kind=member.flavor,
            zone=member.locality,
            cell=member.cell,
            state="ready" if member.phase == "up" else "draining",
            weight=member.size,
            started_unix_ms=member.up_since_ms or None,
        )
        if self._kind_known(entry):
            return entry
        self.unknown[member.id] = entry
        return None

    def _kind_known(self, entry: Entry) -> bool:
        if entry.kind in self.host.roster.kinds:
            return True
        self.log.warning("bad_member", server=entry.name, flavor=entry.kind)
        return False

    def set_kinds(self, kinds: Mapping[str, tuple[Role, int]]) -> None:
        """Applies new kinds of servers.

        The complete list is applied again, with the members whose kind is known now.
        """
        self.host.roster.set_kinds(kinds)
        listed = [*self.entries.values(), *self.unknown.values()]
        self.entries = {entry.name: entry for entry in listed if self._kind_known(entry)}
        self.unknown = {entry.name: entry for entry in listed if entry.kind not in kinds}
        self.host.apply_roster(
            self.host.roster.version, list(self.entries.values()), current=self.list_received
        )

    def run(self) -> Coro[None]:
        """Follows discovery until it is cancelled."""
        try:
            while True:
                with self.world.scope() as self.scope:
                    yield from self.world.group(self._follow)
                self._keep(None)
                self.tasks.clear()
                self.schedule.reset(self.world.now())
        finally:
            self._keep(None)

    def _follow(self, group: Group) -> Coro[None]:
        """Makes each call when it is due."""
        while True:
            now = self.world.now()
            if self.schedule.check_silence(now):
                self._log_failure(ConnectionLost("no answer within the usual time"))
            if (due := self.schedule.next_start()) <= now:
                self._start_call(group, now)
                continue
            with self.world.scope() as self.sleeping:
                yield from self.world.sleep(due - now)

    def _start_call(self, group: Group, now: Time) -> None:
        schedule = self.schedule
        if (unanswered := schedule.to_give_up(now)) is not None:
            self._give_up([unanswered])
            self._log_failure(ConnectionLost("no answer to the request for the complete list"))
        call = schedule.start(now, None if schedule.recovering else self.revision)
        self.tasks[call] = group.spawn(self._perform(call), "ask discovery")

    def _give_up(self, calls: Iterable[Call]) -> None:
        for call in calls:
            self.schedule.given_up(call)
            if (task := self.tasks.pop(call, None)) is not None:
                task.cancel()

    def _perform(self, call: Call) -> Coro[None]:
        """Makes one call and passes its end on to the schedule."""
        try:
            stream = yield from self._connection(call)
            try:
                update, reusable = yield from self._request(stream, call)
                self._accept(call, update, stream.arrived_at)
            except BaseException:
                stream.close()
                raise
            if reusable:
                self._keep(stream)
            else:
                stream.close()
        except (ConnectionLost, ConnectFailed, BadAnswer) as error:
            self._log_failure(error)
            self.schedule.failed(call, self.world.now(), connection_ended=not isinstance(error, BadAnswer))
        except Exception as error:  # an unforeseen answer costs only its call, not the gateway
            self.log.exception("discovery_raised", why=str(error))
            self.schedule.failed(call, self.world.now(), connection_ended=False)
        self.tasks.pop(call, None)
        if self.sleeping is not None:
            self.sleeping.cancel()

    def _connection(self, call: Call) -> Coro[Stream]:
        """The connection that the last call left, or a new one. Raises ConnectFailed."""
        stream, self.idle = self.idle, None
        if stream is not None and not _is_quiet(stream):
            stream.close()
            stream = None
        if stream is None:
            stream = yield from self.world.connect(self.target, MAX_PATIENCE)
        self._give_up(self.schedule.sent(call))
        return stream

    def _keep(self, stream: Stream | None) -> None:
        """Keeps this connection for the next call."""
        if self.idle is not None:
            self.idle.close()
        self.idle = stream

    def _accept(self, call: Call, update: platform.ServerList, arrived: Time) -> None:
        """Applies an answer, whichever call it is for. Raises BadAnswer."""
        if call.since is None and not update.complete:
            self.apply(update)  # for the members that it has; the complete list is still to be requested
            raise BadAnswer(INCOMPLETE)
        if self.logged_causes:
            self.logged_causes.clear()
            self.log.info("discovery_back", revision=update.revision)
        now = self.world.now()
        if not self._is_outdated(call, update):
            if update.complete or (call.since is not None and update.revision >= call.since):
                self.applied_at = now
                self._update(update)
            else:
                self.revision = None  # the revision went back: what changed since is unknown
        news = update.revision != call.since
        self._give_up(self.schedule.answered(call, now, arrived, news))

    def _is_outdated(self, call: Call, update: platform.ServerList) -> bool:
        """Whether the answer tells nothing new, as that of another call under way at the time came first."""
        if self.revision is None:
            return not update.complete
        return call.started < self.applied_at and update.revision <= self.revision

    def _log_failure(self, error: Exception) -> None:
        """Logs each cause once until the next list, so that an outage of discovery can't fill the log."""
        cause = str(error)
        if cause in self.logged_causes:
            return
        if len(self.logged_causes) < MAX_LOGGED_CAUSES:
            self.logged_causes.add(cause)
            if isinstance(error, BadAnswer):
                self.log.warning(
                    "discovery_bad_answer", found=cause, allowed=BadAnswer.allowed, remedy=BadAnswer.remedy
                )
            else:
                self.log.info("discovery_lost", why=cause)

    def _update(self, update: platform.ServerList) -> None:
        self.apply(update, current=True)
        self.host.roster.starts.confirm_current()  # also if the update changes nothing
        self.revision, self.list_received = update.revision, True

    def _request(self, stream: Stream, call: Call) -> Coro[tuple[platform.ServerList, bool]]:
        """Returns the answer and whether the connection can be used for another call.

        Raises ConnectionLost, BadAnswer.
        """
        host, port = self.target
        target = platform.TARGETS_PATH
        if call.since is not None:
            target += f"?since={call.since}&timeout_ms={self.schedule.times.wait // MS}"
        reader = http.ResponseParser(1 << 14, MAX_LIST)
        stream.write(http.request("GET", target, f"{host}:{port}", b""))
        try:
            body = yield from read_body(stream, reader)
            if body is None:
                raise ConnectionLost("closed by discovery")
            if reader.status != 200:
                raise BadAnswer(f"status {reader.status}")
            return platform.parse_server_list(body), reader.keep_alive and not reader.extra_bytes
        except (http.BadMessage, ValueError) as error:
            raise BadAnswer(str(error)) from None


def _is_quiet(stream: Stream) -> bool:
    """Whether the connection is open and nothing came on it since its last answer."""
    try:
        return not stream.closed and stream.recv_now(force=True) is None
    except ConnectionLost:
        return False
