"""Checks what the disk has of a version before and after fetching, in small steps that run off the event loop."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from stackpitch.duties.weights.errors import DiskTrouble, Gone, WholeDiffers
from stackpitch.duties.weights.placing.disk import QUEUE
from stackpitch.duties.weights.placing.folder import Released
from stackpitch.duties.weights.receiving.fetch_tasks import Entry
from stackpitch.loop import SECOND, Coro, Time

if TYPE_CHECKING:
    from stackpitch.duties.weights.receiving.receiver import Receiver

DISK_RETRY_TIME: Time = 10 * SECOND  # after a disk error


class Opener:
    """Opens, checks and places versions. Holds no state of its own."""

    def __init__(self, receiver: "Receiver") -> None:
        self.receiver, self.world = receiver, receiver.world

    def run_steps(self, entry: Entry, steps: Iterator[None]) -> Coro[bool]:
        """Runs blocking steps off the loop one by one, so that others get turns. False after an error, which is logged."""
        try:
            while (yield from self.world.run_blocking(lambda: next(steps, steps), QUEUE)) is not steps:
                pass
            return True
        except DiskTrouble as error:
            self.receiver.pause_for_disk(error)
        except WholeDiffers as error:
            entry.trouble = error
            self.receiver.log_error(error)
        except Gone:
            pass
        return False

    def open(self, entry: Entry) -> Coro[None]:
        """Opens the file of a new entry and checks what is in it; retries after disk errors."""

        def open_and_check() -> Iterator[None]:
            entry.copy.open()
            yield
            yield from entry.copy.recheck()

        while not (yield from self.run_steps(entry, open_and_check())):
            yield from self.world.run_blocking(entry.copy.close, QUEUE)
            if self.receiver.entries.get(entry.version) is not entry:
                return
            yield from self.world.sleep(DISK_RETRY_TIME)
        if self.receiver.entries.get(entry.version) is not entry:
            yield from self.world.run_blocking(entry.copy.close, QUEUE)
            return
        yield from self.set_ready(entry)

    def recheck(self, entry: Entry) -> Coro[None]:
        """Checks the site's disk again after a time without grants, before the first new grant."""
        entry.copy.have, before = entry.pieces.have, entry.copy.descriptor
        while not (
            yield from self.run_steps(
                entry, entry.copy.rescan(sum(1 << piece for piece in entry.pieces.partial))
            )
        ):
            if self.receiver.entries.get(entry.version) is not entry:
                return
            yield from self.world.sleep(DISK_RETRY_TIME)
        if self.receiver.entries.get(entry.version) is entry:
            if entry.copy.descriptor != before:  # another file, which has none of the partial pieces
                entry.pieces.partial.clear()
            entry.pieces.set_present(entry.copy.have)
            yield from self.set_ready(entry)

    def set_ready(self, entry: Entry) -> Coro[None]:
        """Takes over what the check of the disk has found."""
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
            # It was released before this gateway restarted.
            self.receiver.disk.mark_outdated(entry.model, self.receiver.wanted_versions(entry.model))
        if entry.copy.have == entry.manifest.full and not entry.copy.placed:
            yield from self.finish(entry)

    def finish(self, entry: Entry) -> Coro[None]:
        """Checks and places a version of which all pieces are here."""
        entry.copy.have = entry.pieces.have
        while (
            not entry.copy.placed
            and entry.trouble is None
            and self.receiver.entries.get(entry.version) is entry
        ):
            if not (yield from self.run_steps(entry, entry.copy.finish())) and entry.trouble is None:
                entry.pieces.have, self.receiver.changed = entry.copy.have, True
                if entry.pieces.have != entry.manifest.full:
                    return  # the disk corrupted a piece: it is fetched again
                yield from self.world.sleep(DISK_RETRY_TIME)
        self.receiver.changed = True
        if entry.copy.placed:
            self.receiver.disk.placed.setdefault(entry.model, []).append(entry.version[1])
            self.receiver.log("weights_placed", model=entry.model, version=entry.version[1])
