"""What a gateway finds on its disk of a version, before it fetches and after: all in small steps, aside."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from stackpitch.duties.weights.errors import DiskTrouble, Gone, WholeDiffers
from stackpitch.duties.weights.placing.disk import QUEUE
from stackpitch.duties.weights.placing.folder import Released
from stackpitch.duties.weights.receiving.fetch_tasks import Entry
from stackpitch.loop import SECOND, Coro, Time

if TYPE_CHECKING:
    from stackpitch.duties.weights.receiving.receiver import Receiver

WAIT: Time = 10 * SECOND  # after trouble with the disk


class Opening:
    """Keeps nothing of its own."""

    def __init__(self, receiver: "Receiver") -> None:
        self.receiver, self.world = receiver, receiver.world

    def steps(self, entry: Entry, steps: Iterator[None]) -> Coro[bool]:
        """Runs blocking steps aside one by one, so that others get their turns. False after trouble, which was said."""
        try:
            while (yield from self.world.run_blocking(lambda: next(steps, steps), QUEUE)) is not steps:
                pass
            return True
        except DiskTrouble as wrong:
            self.receiver.failed(wrong)
        except WholeDiffers as wrong:
            entry.trouble = wrong
            self.receiver.said(wrong)
        except Gone:
            pass
        return False

    def open(self, entry: Entry) -> Coro[None]:
        def opened() -> Iterator[None]:
            entry.copy.open()
            yield
            yield from entry.copy.recheck()

        while not (yield from self.steps(entry, opened())):
            yield from self.world.run_blocking(entry.copy.close, QUEUE)
            if self.receiver.entries.get(entry.version) is not entry:
                return
            yield from self.world.sleep(WAIT)
        if self.receiver.entries.get(entry.version) is not entry:
            yield from self.world.run_blocking(entry.copy.close, QUEUE)
            return
        yield from self.found(entry)

    def again(self, entry: Entry) -> Coro[None]:
        """After a time without grants, before the first new one: what the site's disk has of it by now."""
        entry.copy.have, before = entry.pieces.have, entry.copy.descriptor
        while not (
            yield from self.steps(entry, entry.copy.again(sum(1 << piece for piece in entry.pieces.begun)))
        ):
            if self.receiver.entries.get(entry.version) is not entry:
                return
            yield from self.world.sleep(WAIT)
        if self.receiver.entries.get(entry.version) is entry:
            if entry.copy.descriptor != before:  # another file, in which nothing of them lies
                entry.pieces.begun.clear()
            entry.pieces.adopted(entry.copy.have)
            yield from self.found(entry)

    def found(self, entry: Entry) -> Coro[None]:
        entry.pieces.have, entry.ready, self.receiver.changed, entry.used = (
            entry.copy.have,
            True,
            True,
            self.world.now(),
        )
        if (
            entry.copy.placed
            and self.receiver.disk.releases.get(entry.model, Released()).version == entry.version[1]
        ):
            self.receiver.disk.outdate(
                entry.model, self.receiver.wanted(entry.model)
            )  # by an earlier life of this gateway
        if entry.copy.have == entry.manifest.full and not entry.copy.placed:
            yield from self.finish(entry)

    def finish(self, entry: Entry) -> Coro[None]:
        """All pieces are here."""
        entry.copy.have = entry.pieces.have
        while (
            not entry.copy.placed
            and entry.trouble is None
            and self.receiver.entries.get(entry.version) is entry
        ):
            if not (yield from self.steps(entry, entry.copy.finish())) and entry.trouble is None:
                entry.pieces.have, self.receiver.changed = entry.copy.have, True
                if entry.pieces.have != entry.manifest.full:
                    return  # a piece went bad: it is fetched anew
                yield from self.world.sleep(WAIT)
        self.receiver.changed = True
        if entry.copy.placed:
            self.receiver.disk.lying.setdefault(entry.model, []).append(entry.version[1])
            self.receiver.log("weights_placed", model=entry.model, version=entry.version[1])
