"""The tasks that fetch: one for each lane with a grant. Each slice is requested only when the grant's rate allows it."""

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from stackpitch.duties.weights import errors
from stackpitch.duties.weights.errors import DiskTrouble, Gone, SourceChanged, SourceFailed, SourceSilent
from stackpitch.duties.weights.forms import Ran
from stackpitch.duties.weights.grants.grant import Held, Lane
from stackpitch.duties.weights.grants.rate_limiter import RateLimiter
from stackpitch.duties.weights.manifest import Manifest
from stackpitch.duties.weights.placing.copy import Copy
from stackpitch.duties.weights.placing.disk import QUEUE
from stackpitch.duties.weights.receiving.fetch import SourceConnection
from stackpitch.duties.weights.receiving.pieces import Pieces
from stackpitch.loop import MS, SECOND, Coro, Group, Task, Time

if TYPE_CHECKING:
    from stackpitch.duties.weights.receiving.receiver import Receiver

MAX_SLICE = 1 << 20  # bytes requested at once, and held in memory by a lane
KEEP_ALIVE_TIME: Time = 2 * SECOND  # of a lane's task and connection without a grant
CLAIM_POLL_TIME: Time = 20 * MS  # between checks whether another lane has released a piece


@dataclass(eq=False)
class Entry:
    """One version at this gateway. `ready`: its file is open and what was in it is checked."""

    copy: Copy
    manifest: Manifest
    ready: bool = False
    used: Time = 0  # the end of its last grant, or when it became ready
    trouble: errors.WeightsError | None = None  # a permanent error of this version alone
    pieces: Pieces = field(init=False)

    def __post_init__(self) -> None:
        self.pieces = Pieces(self.manifest)

    @property
    def model(self) -> str:
        return self.copy.model

    @property
    def version(self) -> tuple[str, str]:
        return self.copy.model, self.copy.version


@dataclass
class GrantProgress:
    """How far the newest grant of a lane has come. `took` in bytes."""

    serial: int
    begun: Time
    took: int = 0
    ended: Time | None = None
    done: bool = False


class FetchTasks:
    """Runs one task for each lane. `tasks` and `progress` have an entry for each lane with a grant in the last seconds."""

    def __init__(self, receiver: "Receiver") -> None:
        self.receiver, self.world = receiver, receiver.world
        self.tasks: dict[Lane, Task] = {}
        self.progress: dict[Lane, GrantProgress] = {}
        self.waiting: dict[Lane, Task] = {}  # for a newer grant, or for the rate limiter

    def run(self, group: Group, lane: Lane) -> None:
        """A newer grant for the lane was accepted: starts its task, or wakes it."""
        if lane not in self.tasks:
            self.tasks[lane] = group.spawn(self._run_lane(lane), f"weights from {lane.source}")
        elif (task := self.waiting.get(lane)) is not None:
            task.wake()

    def ran(self, now: Time) -> tuple[Ran, ...]:
        """The progress of each lane's newest grant, for reports."""
        return tuple(
            Ran(
                lane,
                entry.serial,
                entry.took,
                (now if entry.ended is None else entry.ended) - entry.begun,
                entry.done,
            )
            for lane, entry in self.progress.items()
        )

    def _wait(self, lane: Lane, delay: Time) -> Coro[None]:
        self.waiting[lane] = self.world.current
        try:
            yield from self.world.sleep(delay)
        finally:
            del self.waiting[lane]

    def _held(self, lane: Lane) -> Held | None:
        self.receiver.grants.active(self.world.now())
        return self.receiver.grants.held.get(lane)

    def _run_lane(self, lane: Lane) -> Coro[None]:
        source: SourceConnection | None = None
        try:
            while True:
                held = self._held(lane)
                if held is None:
                    yield from self._wait(lane, KEEP_ALIVE_TIME)
                    if (held := self._held(lane)) is None:
                        return
                if source is None or source.address != held.grant.address:
                    if source is not None:
                        source.close()
                    source = SourceConnection(self.world, lane.source, held.grant.address, lane.gateway)
                yield from self._run_grant(held, source)
        finally:
            if source is not None:
                source.close()
            del self.tasks[lane]
            self.progress.pop(lane, None)

    def _run_grant(self, held: Held, source: SourceConnection) -> Coro[None]:
        """Fetches under one grant until it ends."""
        grant, receiver, now = held.grant, self.receiver, self.world.now()
        progress = self.progress[grant.lane] = GrantProgress(grant.serial, now)
        entry = receiver.entries.get((grant.model, grant.version))
        limiter = RateLimiter(grant.rate, now, held.ends)
        try:
            while entry is not None and self._held(grant.lane) is held:
                claimed = entry.pieces.claim(grant.pieces, grant.lane)
                if claimed is None and entry.pieces.done(grant.pieces):
                    progress.done = True
                    break
                if claimed is None:
                    yield from self._wait(grant.lane, CLAIM_POLL_TIME)
                    continue
                piece, now = claimed[0], self.world.now()
                at, remaining = entry.pieces.remaining_range(piece)
                size = limiter.take(now, min(remaining, MAX_SLICE))
                if not size:
                    when = limiter.available_at(now, min(remaining, MAX_SLICE))
                    yield from self._wait(grant.lane, (held.ends if when is None else when) - now)
                    continue
                read_timeout = receiver.sources.read_timeout(source.name)
                data = yield from source.fetch(grant.path, at, size, entry.manifest.size, read_timeout)
                progress.took += len(data)
                if receiver.entries.get(entry.version) is not entry:
                    break  # the version was withdrawn or replaced meanwhile
                yield from self.world.run_blocking(partial(entry.copy.write, at, data), QUEUE)
                yield from self._add_data(entry, piece, data, source)
        except SourceFailed as error:
            self._source_failed(error, grant.model, grant.version)
        except DiskTrouble as error:
            receiver.pause_for_disk(error)
        except Gone:
            pass
        finally:
            progress.ended = self.world.now()
            if entry is not None:
                entry.pieces.release(grant.lane)
            if self.receiver.grants.held.get(grant.lane) is held:
                self.receiver.grants.finish(grant.lane, grant.serial)
            receiver.changed = True

    def _add_data(self, entry: Entry, piece: int, data: bytes, source: SourceConnection) -> Coro[None]:
        receiver, senders = self.receiver, entry.pieces.partial[piece].sources
        is_right = entry.pieces.add_data(piece, data, source.name)
        if is_right is None:
            return
        receiver.changed = True
        if not is_right:
            receiver.log_error(errors.BadPiece(*entry.version, piece, ", ".join(sorted(senders))))
            # Of several senders it is unknown which one is at fault.
            for name in sorted(senders) if len(senders) == 1 else ():
                if receiver.sources.bad_piece(name, *entry.version, self.world.now()):
                    receiver.log_error(errors.SourceSpoilt(*entry.version, name))
                    receiver.grants.held.clear()  # ends the active grants; the owner then grants other sources
            return
        receiver.sources.good_piece(source.name)
        if entry.pieces.have == entry.manifest.full and receiver.group is not None:
            receiver.group.spawn(receiver.opener.finish(entry), f"weights {entry.model} whole")
        yield from ()

    def _source_failed(self, error: SourceFailed, model: str, version: str) -> None:
        now = self.world.now()
        if isinstance(error, SourceChanged):
            self.receiver.sources.bad_piece(error.source, model, version, now)
            self.receiver.sources.bad_piece(error.source, model, version, now)
        else:
            self.receiver.sources.no_answer(error.source, now, silent=isinstance(error, SourceSilent))
        self.receiver.log_error(error)
