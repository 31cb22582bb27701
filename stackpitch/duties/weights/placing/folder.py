"""The layout of a gateway's weights folder: one folder for each model, with partial and placed versions and the release.

MODEL/partial/VERSION.NUMBER    being fetched by gateway NUMBER; several may share a disk, and each writes only its own
MODEL/placed/VERSION            complete and checked
.wanted.NUMBER                  the last valid wanted file as gateway NUMBER saw it
MODEL/released                  the version in service and its term; written to a temporary file and renamed
"""

import re
from dataclasses import dataclass

import msgspec

from stackpitch.duties.calls import Stamp
from stackpitch.duties.weights.errors import DiskCorrupt
from stackpitch.duties.weights.placing.disk import Disk, disk_error


class Released(msgspec.Struct, frozen=True):
    """The last release and its owner. Persisted, so that an older owner's release is refused after a restart too."""

    version: str = ""
    stamp: Stamp = Stamp()
    serial: int = 0


LABEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
RELEASED = msgspec.json.Decoder(Released)


@dataclass(frozen=True)
class Folder:
    """The paths in the folder of one gateway, and the calls on them."""

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

    def other_partials(self, model: str, version: str) -> list[str]:
        """The partial files of this version by other gateways on the same disk."""
        paths = []
        for name in self.partials(model):
            label, _, number = name.rpartition(".")
            if label == version and number.isdecimal() and int(number) != self.number:
                paths.append(f"{self.root}/{model}/partial/{name}")
        return paths

    def models(self) -> list[str]:
        """Names in the folder that can be models. Raises DiskTrouble."""
        return [name for name in self._list(self.root) if LABEL.fullmatch(name)]

    def versions(self, model: str) -> list[str]:
        """The placed versions of a model. Raises DiskTrouble."""
        return self._list(f"{self.root}/{model}/placed")

    def partials(self, model: str) -> list[str]:
        """The partial files of a model, of all gateways. Raises DiskTrouble."""
        return self._list(f"{self.root}/{model}/partial")

    def _list(self, path: str) -> list[str]:
        try:
            return self.disk.list_folder(path)
        except OSError as error:
            raise disk_error(error, path) from None

    def released(self, model: str) -> Released:
        """Reads the release of a model; an empty one if there is none. Raises DiskTrouble."""
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
            raise DiskCorrupt(path, "the content is not a valid release") from None
        except OSError as error:
            raise disk_error(error, path) from None

    def release(self, model: str, released: Released) -> None:
        """Writes the release of a model; durable once it returns. Raises DiskTrouble."""
        path = f"{self.root}/{model}/released"
        temporary = f"{path}.{self.number}"
        try:
            self.disk.make_folder(self.model(model))
            descriptor = self.disk.open(temporary, create=True)
            try:
                self.disk.truncate(descriptor, 0)
                write_all(self.disk, descriptor, 0, msgspec.json.encode(released))
                self.disk.sync(descriptor)
            finally:
                self.disk.close(descriptor)
            self.disk.rename(temporary, path)
            self.disk.sync_folder(self.model(model))
        except OSError as error:
            raise disk_error(error, path) from None

    def remove(self, path: str) -> None:
        """Removes a file; no error if it does not exist. Raises DiskTrouble."""
        try:
            self.disk.remove(path)
        except FileNotFoundError:
            pass
        except OSError as error:
            raise disk_error(error, path) from None


def read_all(disk: Disk, descriptor: int, at: int, size: int) -> bytes:
    """Reads `size` bytes from `at`; fewer at the end of the file. Raises OSError."""
    parts, received = [], 0
    while received < size and (part := disk.read(descriptor, at + received, size - received)):
        parts.append(part)
        received += len(part)
    return b"".join(parts)


def write_all(disk: Disk, descriptor: int, at: int, data: bytes) -> None:
    """Writes all of `data` at `at`. Raises OSError."""
    while data:
        count = disk.write(descriptor, at, data)
        at, data = at + count, data[count:]
