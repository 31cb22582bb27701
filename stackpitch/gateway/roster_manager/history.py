"""The lists and verdicts that are persisted on disk and shown to operators."""

from typing import Any

from stackpitch.gateway.logs import Log
from stackpitch.gateway.metrics import Metrics
from stackpitch.loop import Coro, Group, RealFiles, World
from stackpitch.membership.entries import Entry
from stackpitch.membership.registrar import Verdict
from stackpitch.membership.store import AppliedList, Store, UnappliedList


class History:
    """Persists lists and verdicts to `file`; nothing if its name is empty."""

    def __init__(self, world: World, group: Group, log: Log, metrics: Metrics, file: str) -> None:
        self.world, self.group, self.log, self.metrics = world, group, log, metrics
        self.store = Store(RealFiles(), file) if file else None

    def open(self) -> AppliedList | None:
        """Reads the file and returns the list that was in force last."""
        if self.store is None:
            return None
        self.store.open()
        self._report_state()
        return self.store.last()

    @property
    def state(self) -> str | None:
        """`good` or what is wrong with the store; None without a store."""
        return None if self.store is None else self.store.error or "good"

    @property
    def lists(self) -> list[AppliedList]:
        """The lists that were in force, oldest first."""
        return self.store.applied if self.store is not None else []

    def keep(
        self, version: int, digest: str, entries: tuple[Entry, ...], verdict: Verdict, changed: str
    ) -> None:
        """Persists a list that is in force now. `changed`: how it differs from the one before."""
        self._add(
            AppliedList(
                self.world.wall_ms(), "file", version, digest, entries, "; ".join(verdict.reasons), changed
            )
        )

    def note(self, word: str, version: int, digest: str, reasons: tuple[str, ...]) -> None:
        """Persists the verdict on a list that did not come into force."""
        self._add(UnappliedList(self.world.wall_ms(), "file", version, digest, word, reasons[:20]))

    def rows(self) -> list[dict[str, Any]]:
        """All persisted lists and verdicts in the order of time."""
        if self.store is None:
            return []
        lists = [
            {
                "at_unix_ms": record.at_unix_ms,
                "word": "in force",
                "version": record.version,
                "digest": record.digest,
                "servers": len(record.entries),
                "changed": record.changed,
                "why": record.why,
            }
            for record in self.store.applied
        ]
        notes = [
            {
                "at_unix_ms": record.at_unix_ms,
                "word": record.word,
                "version": record.version,
                "digest": record.digest,
                "why": "; ".join(record.reasons),
            }
            for record in self.store.unapplied
        ]
        return sorted([*lists, *notes], key=lambda row: row["at_unix_ms"])

    def _add(self, record: AppliedList | UnappliedList) -> None:
        store = self.store
        if store is None:
            return

        def write() -> Coro[None]:
            trouble = store.error
            try:
                yield from self.world.run_blocking(lambda: store.add(record))
            except Exception as error:  # what is not persisted must cost its record alone, not the gateway
                self.metrics.store_failing.set(1)
                self.log.exception(
                    "store_trouble",
                    why=str(error),
                    meaning=f"version {record.version} is not persisted; serving continues",
                )
                return
            if store.error != trouble:
                self._report_state()

        self.group.spawn(write(), "keep")

    def _report_state(self) -> None:
        store = self.store
        assert store is not None
        if store.recovery_note:
            self.log.warning("store_found", what=store.recovery_note)
            store.recovery_note = ""
        self.metrics.store_failing.set(bool(store.error))
        if store.error:
            self.log.error(
                "store_trouble", why=store.error, meaning="lists are not persisted; serving continues"
            )
        else:
            self.log.info("store_good", file=store.path, lists=len(store.applied))
