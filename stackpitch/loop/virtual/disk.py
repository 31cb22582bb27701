"""Files in memory, of a made-up machine: what was not synced may be lost when the process that wrote it is killed.

A kill stands for the loss of the machine's power, which is harsher than a killed process is: of what was appended and not
synced a part stays, from the seed; of names that were made or moved and whose folder was not synced, the first few do.
A process that ends by itself loses nothing. Folders are all there.
"""

import os
from dataclasses import dataclass, field
from random import Random


@dataclass(eq=False, slots=True)
class Inode:
    """`safe`: what a kill can't take."""

    data: bytearray = field(default_factory=bytearray)
    safe: bytes = b""
    holder: "VirtualFiles | None" = None  # of its lock
    holding: int = 0  # by which of the holder's descriptors

    def lose(self, random: Random) -> None:
        """Appended bytes stay up to some byte; a change of another kind stays or doesn't."""
        if self.data[: len(self.safe)] == self.safe:
            del self.data[random.randint(len(self.safe), len(self.data)) :]
        elif random.random() < 0.5:
            self.data = bytearray(self.safe)
        self.safe = bytes(self.data)


@dataclass(slots=True)
class Disk:
    """One for all processes of a world. `names` is emptied by renames alone, as nothing is removed."""

    random: Random
    names: dict[str, Inode] = field(default_factory=dict)
    next_descriptor: int = 1000


class VirtualFiles:
    """One process's. Tables: open descriptors; what is not synced (emptied by syncing, closing doesn't)."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.opened: dict[int, Inode] = {}
        self.dirty: dict[Inode, None] = {}
        self.moves: list[
            dict[str, Inode | None]
        ] = []  # what names stood for before each change that is not synced

    def _inode(self, descriptor: int) -> Inode:
        if descriptor not in self.opened:
            raise OSError(9, "Bad file descriptor")
        return self.opened[descriptor]

    def open(self, path: str, create: bool = False, empty: bool = False) -> int:
        path = os.path.abspath(path)
        inode = self.disk.names.get(path)
        if inode is None:
            if not create:
                raise FileNotFoundError(2, "No such file or directory", path)
            self.moves.append({path: None})
            inode = self.disk.names[path] = Inode()
        if empty and inode.data:
            inode.data = bytearray()
            self.dirty[inode] = None
        self.disk.next_descriptor += 1
        self.opened[self.disk.next_descriptor] = inode
        return self.disk.next_descriptor

    def size(self, descriptor: int) -> int:
        return len(self._inode(descriptor).data)

    def read(self, descriptor: int, at: int, most: int) -> bytes:
        return bytes(self._inode(descriptor).data[at : at + most])

    def write(self, descriptor: int, data: bytes) -> int:
        inode = self._inode(descriptor)
        inode.data += data
        self.dirty[inode] = None
        return len(data)

    def sync(self, descriptor: int) -> None:
        inode = self._inode(descriptor)
        inode.safe = bytes(inode.data)
        self.dirty.pop(inode, None)

    def truncate(self, descriptor: int, size: int) -> None:
        inode = self._inode(descriptor)
        inode.data = inode.data[:size].ljust(size, b"\0")
        self.dirty[inode] = None

    def close(self, descriptor: int) -> None:
        inode = self._inode(descriptor)
        if inode.holder is self and inode.holding == descriptor:
            inode.holder = None
        del self.opened[descriptor]

    def rename(self, old: str, new: str) -> None:
        old, new = os.path.abspath(old), os.path.abspath(new)
        if old not in self.disk.names:
            raise FileNotFoundError(2, "No such file or directory", old)
        self.moves.append({name: self.disk.names.get(name) for name in (old, new)})
        self.disk.names[new] = self.disk.names.pop(old)

    def sync_folder(self, path: str) -> None:
        folder = os.path.abspath(path)
        self.moves = [one for one in self.moves if any(os.path.dirname(name) != folder for name in one)]

    def lock(self, descriptor: int) -> bool:
        inode = self._inode(descriptor)
        if inode.holder is not None and (inode.holder, inode.holding) != (self, descriptor):
            return False
        inode.holder, inode.holding = self, descriptor
        return True

    def end(self, killed: bool) -> None:
        """The process is no more."""
        for descriptor in list(self.opened):
            self.close(descriptor)
        if not killed:
            return
        random = self.disk.random
        for inode in self.dirty:
            inode.lose(random)
        for before in reversed(self.moves[random.randint(0, len(self.moves)) :]):
            for name, was in before.items():
                if was is None:
                    self.disk.names.pop(name, None)
                else:
                    self.disk.names[name] = was
        self.dirty.clear()
        self.moves.clear()
