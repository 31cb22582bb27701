"""What becomes of a message on a path. Pure: chance is from the seed and a count."""

from dataclasses import dataclass
from zlib import crc32

from stackpitch.loop import MS, Time
from stackpitch.rehearse.network.settings import Fault


@dataclass(frozen=True, slots=True)
class Fate:
    """`delay` before it arrives, `repeat` later once more (0: not), `half`: the path's writing side is shut early.
    `held`: it waits until no hold lies on the path. `suffered`: the kinds of faults that struck it."""

    lost: bool = False
    delay: Time = 0
    repeat: Time = 0
    half: bool = False
    held: bool = False
    suffered: tuple[str, ...] = ()


class Weather:
    """The faults that lie on paths now. One entry each, emptied as they are called off."""

    def __init__(self, seed: int, latency: Time = 0) -> None:
        self.seed, self.latency = seed, latency
        self.faults: dict[str, Fault] = {}
        self.count = 0

    def change(self, fault: Fault) -> None:
        if fault.on:
            self.faults[fault.name] = fault
        else:
            self.faults.pop(fault.name, None)

    def draw(self) -> float:
        self.count += 1
        # Checksums of consecutive counts follow a pattern; the product breaks it.
        return crc32(f"{self.seed} {self.count}".encode()) * 2654435761 % 2**32 / 2**32

    def lies(self, kind: str, path: tuple[int, int]) -> bool:
        return any(one.kind == kind and path in one.paths for one in self.faults.values())

    def fate(self, path: tuple[int, int]) -> Fate:
        lost = half = held = False
        delay, repeat, suffered = self.latency, 0, list[str]()
        for one in self.faults.values():
            if path not in one.paths or (one.part < 1 and self.draw() >= one.part):
                continue
            suffered.append(one.kind)
            if one.kind == "cut":
                lost = True
            elif one.kind == "slow":
                delay += int(one.strength * MS)
            elif one.kind == "reorder":
                delay += int(self.draw() * one.strength * MS)
            elif one.kind == "repeat":
                repeat = max(1, int(self.draw() * one.strength * MS))
            elif one.kind == "hold":
                held = True
            else:
                half = True
        return Fate(lost, delay, repeat, half, held, tuple(suffered))
