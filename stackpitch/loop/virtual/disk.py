"""Simulated files in memory that may lose unsynced data when the process that wrote them is killed.

A kill simulates a power failure, which is harsher than killing a process: of appended data that was not
synced a random part (from the seed) survives; of created or renamed files whose folder was not synced, the
first few survive. A process that ends by itself loses nothing. All folders exist.
"""

import os
from dataclasses import dataclass, field
from random import Random


@dataclass(eq=False, slots=True)
class Inode:
    """A file's contents. `synced` is what survives a kill."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""
    lock_owner: "VirtualFiles | None" = None
    lock_descriptor: int = 0  # of the lock owner

    def lose_unsynced(self, random: Random) -> None:
        """Keeps a random prefix of the appended bytes; another change survives as a whole or not at all."""
        if self.data[: len(self.synced)] == self.synced:
            del self.data[random.randint(len(self.synced), len(self.data)) :]
        elif random.random() < 0.5:
            self.data = bytearray(self.synced)
        self.synced = bytes(self.data)


@dataclass(slots=True)
class Disk:
    """The disk shared by all processes of a world. `names` loses entries only by renaming."""

    random: Random
    names: dict[str, Inode] = field(default_factory=dict)
    next_descriptor: int = 1000


class VirtualFiles:
    """The files of one process: its open descriptors and its unsynced changes. Syncing empties `dirty` and
    `moves`; closing a file does not."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.opened: dict[int, Inode] = {}
        self.dirty: dict[Inode, None] = {}
        # What the affected names referred to before each unsynced creation or rename.
        self.moves: list[dict[str, Inode | None]] = []

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
        inode.synced = bytes(inode.data)
        self.dirty.pop(inode, None)

    def truncate(self, descriptor: int, size: int) -> None:
        inode = self._inode(descriptor)
        inode.data = inode.data[:size].ljust(size, b"\0")
        self.dirty[inode] = None

    def close(self, descriptor: int) -> None:
        inode = self._inode(descriptor)
        if inode.lock_owner is self and inode.lock_descriptor == descriptor:
            inode.lock_owner = None
        del self.opened[descriptor]

    def rename(self, old: str, new: str) -> None:
        old, new = os.path.abspath(old), os.path.abspath(new)
        if old not in self.disk.names:
            raise FileNotFoundError(2, "No such file or directory", old)
        self.moves.append({name: self.disk.names.get(name) for name in (old, new)})
        self.disk.names[new] = self.disk.names.pop(old)

    def sync_folder(self, path: str) -> None:
        folder = os.path.abspath(path)
        self.moves = [
            before for before in self.moves if any(os.path.dirname(name) != folder for name in before)
        ]

    def lock(self, descriptor: int) -> bool:
        inode = self._inode(descriptor)
        if inode.lock_owner is not None and (inode.lock_owner, inode.lock_descriptor) != (self, descriptor):
            return False
        inode.lock_owner, inode.lock_descriptor = self, descriptor
        return True

    def end(self, killed: bool) -> None:
        """Closes everything as the process ends; a killed one loses unsynced changes."""
        for descriptor in list(self.opened):
            self.close(descriptor)
        if not killed:
            return
        random = self.disk.random
        for inode in self.dirty:
            inode.lose_unsynced(random)
        for before in reversed(self.moves[random.randint(0, len(self.moves)) :]):
            for name, inode_before in before.items():
                if inode_before is None:
                    self.disk.names.pop(name, None)
                else:
                    self.disk.names[name] = inode_before
        self.dirty.clear()
        self.moves.clear()
