"""Breaks of how weights are granted, paced and checked. Imported by nothing but `broken`, and applied by name alone."""

from collections.abc import Iterator

from stackpitch.loop import Time


def unpaced() -> None:
    """A receiver takes all that it is granted at once: grants' rates count for nothing."""
    from stackpitch.duties.weights.grants.rate_limiter import RateLimiter

    def all_of_it(self: RateLimiter, now: Time, most: int) -> int:
        return most if now < self.ends else 0

    RateLimiter.take = all_of_it  # type: ignore[method-assign]


def classless() -> None:
    """The owner deals out links from the lowest class on."""
    from stackpitch.duties.weights.plan import planner
    from stackpitch.duties.weights.plan.needs import Need, needs

    def reversed_ones(*told: object) -> list[Need]:
        found = needs(*told)  # type: ignore[arg-type]
        return sorted(
            (need._replace(order=(99 - need.priority, *need.order[1:])) for need in found),
            key=lambda one: one.order,
        )

    planner.needs = reversed_ones  # type: ignore[assignment, attr-defined]


def hurried() -> None:
    """An owner puts a version in service whatever vocabulary it comes with."""
    from stackpitch.duties.vocabulary.work import VocabularyWork

    def any_of_them(self: VocabularyWork, vocabulary: str) -> bool:
        return True

    VocabularyWork.admits = any_of_them  # type: ignore[method-assign]


def unchecked() -> None:
    """A receiver puts in place whatever came."""
    from stackpitch.duties.weights.placing.copy import Copy
    from stackpitch.duties.weights.receiving.pieces import Pieces

    add_data = Pieces.add_data

    def any_of_it(self: Pieces, piece: int, data: bytes, source: str) -> bool | None:
        right = add_data(self, piece, data, source)
        if right is False:
            self.have |= 1 << piece
        return None if right is None else True

    def at_once(self: Copy) -> Iterator[None]:
        disk = self.folder.disk
        yield
        disk.sync(self._file())
        disk.rename(self.partial_path, self.placed_path)
        disk.sync_folder(self.placed_path.rpartition("/")[0])
        self.placed = True

    Pieces.add_data, Copy.finish = any_of_it, at_once  # type: ignore[method-assign]
