"""The tasks that fetch: one for each lane with a grant. Each slice is asked for only when the grant's pace allows it."""

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from stackpitch.duties.weights import errors
from stackpitch.duties.weights.errors import DiskTrouble, Gone, SourceChanged, SourceFailed
from stackpitch.duties.weights.forms import Ran
from stackpitch.duties.weights.grants.grant import Held, Lane
from stackpitch.duties.weights.grants.rate_limiter import RateLimiter
from stackpitch.duties.weights.manifest import Manifest
from stackpitch.duties.weights.placing.copy import Copy
from stackpitch.duties.weights.placing.disk import QUEUE
from stackpitch.duties.weights.receiving.fetch import Source
from stackpitch.duties.weights.receiving.pieces import Pieces
from stackpitch.loop import MS, SECOND, Coro, Group, Task, Time

if TYPE_CHECKING:
    from stackpitch.duties.weights.receiving.receiver import Receiver

MOST_SLICE = 1 << 20  # bytes asked for at once, and held in memory by a lane
KEPT: Time = 2 * SECOND  # a lane's connection without a grant
TURN: Time = 20 * MS  # to look whether another lane has let a piece go


@dataclass(eq=False)
class Entry:
    """One version at this gateway. `ready`: its file is open and what was there is checked."""

    copy: Copy
    manifest: Manifest
    ready: bool = False
    used: Time = 0  # until when grants for it ran, or since when it is ready
    trouble: errors.WeightsError | None = None  # that this version alone has, for good
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
class Use:
    """How far the newest grant of a lane came."""

    serial: int
    begun: Time
    took: int = 0
    ended: Time | None = None
    done: bool = False


class Lanes:
    """`tasks` and `uses` have an entry for each lane that had a grant in the last seconds."""

    def __init__(self, owner: "Receiver") -> None:
        self.owner, self.world = owner, owner.world
        self.tasks: dict[Lane, Task] = {}
        self.uses: dict[Lane, Use] = {}
        self.waiting: dict[Lane, Task] = {}  # for a newer grant, or for the pace

    def run(self, group: Group, lane: Lane) -> None:
        """A newer grant of it has come."""
        if lane not in self.tasks:
            self.tasks[lane] = group.spawn(self._lane(lane), f"weights from {lane.source}")
        elif (task := self.waiting.get(lane)) is not None:
            task.wake()

    def ran(self, now: Time) -> tuple[Ran, ...]:
        return tuple(
            Ran(lane, one.serial, one.took, (now if one.ended is None else one.ended) - one.begun, one.done)
            for lane, one in self.uses.items()
        )

    def _wait(self, lane: Lane, delay: Time) -> Coro[None]:
        self.waiting[lane] = self.world.current
        try:
            yield from self.world.sleep(delay)
        finally:
            del self.waiting[lane]

    def _held(self, lane: Lane) -> Held | None:
        self.owner.grants.active(self.world.now())
        return self.owner.grants.held.get(lane)

    def _lane(self, lane: Lane) -> Coro[None]:
        source: Source | None = None
        try:
            while True:
                held = self._held(lane)
                if held is None:
                    yield from self._wait(lane, KEPT)
                    if (held := self._held(lane)) is None:
                        return
                if source is None or source.address != held.grant.address:
                    if source is not None:
                        source.close()
                    source = Source(self.world, lane.source, held.grant.address, lane.gateway)
                yield from self._use(held, source)
        finally:
            if source is not None:
                source.close()
            del self.tasks[lane]
            self.uses.pop(lane, None)

    def _use(self, held: Held, source: Source) -> Coro[None]:
        """One grant, to its end."""
        grant, owner, now = held.grant, self.owner, self.world.now()
        use = self.uses[grant.lane] = Use(grant.serial, now)
        entry = owner.entries.get((grant.model, grant.version))
        limiter = RateLimiter(grant.rate, now, held.ends)
        try:
            while entry is not None and self._held(grant.lane) is held:
                claimed = entry.pieces.claim(grant.pieces, grant.lane)
                if claimed is None and entry.pieces.done(grant.pieces):
                    use.done = True
                    break
                if claimed is None:
                    yield from self._wait(grant.lane, TURN)
                    continue
                piece, now = claimed[0], self.world.now()
                at, rest = entry.pieces.rest(piece)
                size = limiter.take(now, min(rest, MOST_SLICE))
                if not size:
                    when = limiter.available_at(now, min(rest, MOST_SLICE))
                    yield from self._wait(grant.lane, (held.ends if when is None else when) - now)
                    continue
                data = yield from source.fetch(grant.path, at, size, entry.manifest.size)
                use.took += len(data)
                if owner.entries.get(entry.version) is not entry:
                    break  # withdrawn or replaced meanwhile
                yield from self.world.run_blocking(partial(entry.copy.write, at, data), QUEUE)
                yield from self._came(entry, piece, data, source)
        except SourceFailed as wrong:
            self._failed(wrong, grant.model, grant.version)
        except DiskTrouble as wrong:
            owner.failed(wrong)
        except Gone:
            pass
        finally:
            use.ended = self.world.now()
            if entry is not None:
                entry.pieces.release(grant.lane)
            if self.owner.grants.held.get(grant.lane) is held:
                self.owner.grants.finish(grant.lane, grant.serial)
            owner.changed = True

    def _came(self, entry: Entry, piece: int, data: bytes, source: Source) -> Coro[None]:
        owner, givers = self.owner, entry.pieces.begun[piece].sources
        right = entry.pieces.came(piece, data, source.name)
        if right is None:
            return
        owner.changed = True
        if not right:
            owner.said(errors.BadPiece(*entry.version, piece, ", ".join(sorted(givers))))
            for name in sorted(givers) if len(givers) == 1 else ():  # of several, nobody knows which
                if owner.sources.bad_piece(name, *entry.version, self.world.now()):
                    owner.said(errors.SourceSpoilt(*entry.version, name))
                    owner.grants.held.clear()  # no more by what runs: the owner grants from another one
            return
        owner.sources.good_piece(source.name)
        if entry.pieces.have == entry.manifest.full and owner.group is not None:
            owner.group.spawn(owner.opening.finish(entry), f"weights {entry.model} whole")
        yield from ()

    def _failed(self, wrong: SourceFailed, model: str, version: str) -> None:
        now = self.world.now()
        if isinstance(wrong, SourceChanged):
            self.owner.sources.bad_piece(wrong.source, model, version, now)
            self.owner.sources.bad_piece(wrong.source, model, version, now)
        else:
            self.owner.sources.no_answer(wrong.source, now)
        self.owner.said(wrong)
