"""Where a gateway's weights lie: a folder for each model, in it what is partial, what is placed, and which is released.

MODEL/partial/VERSION.NUMBER    being fetched by that gateway; several may share a disk, and none writes another's
MODEL/placed/VERSION            whole and checked
.wanted.NUMBER                  the last good wanted file, as that gateway saw it
MODEL/released                  the version in service and under which term; written beside itself and renamed
"""

import re
from dataclasses import dataclass

import msgspec

from stackpitch.duties.calls import Stamp
from stackpitch.duties.weights.errors import DiskCorrupt
from stackpitch.duties.weights.placing.disk import Disk, trouble


class Released(msgspec.Struct, frozen=True):
    """What was released last, by which owner; kept, so that a restart doesn't make room for an older owner's word."""

    version: str = ""
    stamp: Stamp = Stamp()
    serial: int = 0


LABEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
RELEASED = msgspec.json.Decoder(Released)


@dataclass(frozen=True)
class Folder:
    disk: Disk
    root: str
    number: int  # of the gateway

    def wanted(self) -> str:
        return f"{self.root}/.wanted.{self.number}"

    def model(self, model: str) -> str:
        return f"{self.root}/{model}"

    def partial(self, model: str, version: str) -> str:
        return f"{self.root}/{model}/partial/{version}.{self.number}"

    def placed(self, model: str, version: str) -> str:
        return f"{self.root}/{model}/placed/{version}"

    def others(self, model: str, version: str) -> list[str]:
        """What other gateways on the same disk have of it, to be copied from as far as it is right."""
        found = []
        for name in self.partials(model):
            label, _, number = name.rpartition(".")
            if label == version and number.isdecimal() and int(number) != self.number:
                found.append(f"{self.root}/{model}/partial/{name}")
        return found

    def models(self) -> list[str]:
        """Names that can be ours. Raises DiskTrouble."""
        return [name for name in self._names(self.root) if LABEL.fullmatch(name)]

    def versions(self, model: str) -> list[str]:
        """That are placed. Raises DiskTrouble."""
        return self._names(f"{self.root}/{model}/placed")

    def partials(self, model: str) -> list[str]:
        """Of all gateways. Raises DiskTrouble."""
        return self._names(f"{self.root}/{model}/partial")

    def _names(self, path: str) -> list[str]:
        try:
            return self.disk.list_folder(path)
        except OSError as wrong:
            raise trouble(wrong, path) from None

    def released(self, model: str) -> Released:
        """Raises DiskTrouble."""
        path = f"{self.root}/{model}/released"
        try:
            descriptor = self.disk.open(path)
            try:
                return RELEASED.decode(read_all(self.disk, descriptor, 0, 4096))
            finally:
                self.disk.close(descriptor)
        except FileNotFoundError:
            return Released()
        except msgspec.DecodeError:
            raise DiskCorrupt(path, "not what was written there") from None
        except OSError as wrong:
            raise trouble(wrong, path) from None

    def release(self, model: str, released: Released) -> None:
        """Durable once it returns. Raises DiskTrouble."""
        path = f"{self.root}/{model}/released"
        beside = f"{path}.{self.number}"
        try:
            self.disk.make_folder(self.model(model))
            descriptor = self.disk.open(beside, create=True)
            try:
                self.disk.truncate(descriptor, 0)
                write_all(self.disk, descriptor, 0, msgspec.json.encode(released))
                self.disk.sync(descriptor)
            finally:
                self.disk.close(descriptor)
            self.disk.rename(beside, path)
            self.disk.sync_folder(self.model(model))
        except OSError as wrong:
            raise trouble(wrong, path) from None

    def remove(self, path: str) -> None:
        """Also if it is not there. Raises DiskTrouble."""
        try:
            self.disk.remove(path)
        except FileNotFoundError:
            pass
        except OSError as wrong:
            raise trouble(wrong, path) from None


def read_all(disk: Disk, descriptor: int, at: int, size: int) -> bytes:
    """Less at the end of the file. Raises OSError."""
    parts, got = [], 0
    while got < size and (part := disk.read(descriptor, at + got, size - got)):
        parts.append(part)
        got += len(part)
    return b"".join(parts)


def write_all(disk: Disk, descriptor: int, at: int, data: bytes) -> None:
    """Raises OSError."""
    while data:
        count = disk.write(descriptor, at, data)
        at, data = at + count, data[count:]
