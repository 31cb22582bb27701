"""What of lists is kept on disk, and told to operators."""

from typing import Any

from stackpitch.gateway.logs import Log
from stackpitch.gateway.metrics import Metrics
from stackpitch.loop import Coro, Group, RealFiles, World
from stackpitch.membership.entries import Entry
from stackpitch.membership.registrar import Verdict
from stackpitch.membership.store import AppliedList, Store, UnappliedList


class History:
    """`file` empty: nothing is kept."""

    def __init__(self, world: World, group: Group, log: Log, metrics: Metrics, file: str) -> None:
        self.world, self.group, self.log, self.metrics = world, group, log, metrics
        self.store = Store(RealFiles(), file) if file else None

    def open(self) -> AppliedList | None:
        """Gives the list that was in force last."""
        if self.store is None:
            return None
        self.store.open()
        self._say()
        return self.store.last()

    @property
    def state(self) -> str | None:
        return None if self.store is None else self.store.error or "good"

    @property
    def lists(self) -> list[AppliedList]:
        return self.store.applied if self.store is not None else []

    def keep(
        self, version: int, told: str, entries: tuple[Entry, ...], verdict: Verdict, changed: str
    ) -> None:
        self._add(
            AppliedList(
                self.world.wall_ms(), "file", version, told, entries, "; ".join(verdict.reasons), changed
            )
        )

    def note(self, word: str, version: int, told: str, reasons: tuple[str, ...]) -> None:
        self._add(UnappliedList(self.world.wall_ms(), "file", version, told, word, reasons[:20]))

    def rows(self) -> list[dict[str, Any]]:
        if self.store is None:
            return []
        lists = [
            {
                "at_unix_ms": one.at_unix_ms,
                "word": "in force",
                "version": one.version,
                "digest": one.digest,
                "servers": len(one.entries),
                "changed": one.changed,
                "why": one.why,
            }
            for one in self.store.applied
        ]
        notes = [
            {
                "at_unix_ms": one.at_unix_ms,
                "word": one.word,
                "version": one.version,
                "digest": one.digest,
                "why": "; ".join(one.reasons),
            }
            for one in self.store.unapplied
        ]
        return sorted([*lists, *notes], key=lambda one: one["at_unix_ms"])

    def _add(self, record: AppliedList | UnappliedList) -> None:
        store = self.store
        if store is None:
            return

        def write() -> Coro[None]:
            trouble = store.error
            yield from self.world.run_blocking(lambda: store.add(record))
            if store.error != trouble:
                self._say()

        self.group.spawn(write(), "keep")

    def _say(self) -> None:
        store = self.store
        assert store is not None
        if store.recovery_note:
            self.log.warning("store_found", what=store.recovery_note)
            store.recovery_note = ""
        self.metrics.store_failing.set(bool(store.error))
        if store.error:
            self.log.error("store_trouble", why=store.error, meaning="lists are not kept; serving goes on")
        else:
            self.log.info("store_good", file=store.path, lists=len(store.applied))
