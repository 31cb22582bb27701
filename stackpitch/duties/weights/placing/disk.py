"""The world's disk as placing needs it, and what its errors mean."""

import errno

from stackpitch.duties.weights.errors import DiskCorrupt, DiskFull, DiskReadOnly, DiskTrouble
from stackpitch.loop import FileSystem as Disk
from stackpitch.loop import RealFileSystem as RealDisk

__all__ = ["Disk", "RealDisk", "trouble"]

QUEUE = "weights"  # of calls aside: a disk that hangs must not hold up a voter's promises

KINDS: dict[int, type[DiskTrouble]] = {
    errno.ENOSPC: DiskFull,
    errno.EDQUOT: DiskFull,
    errno.EFBIG: DiskFull,
    errno.EROFS: DiskReadOnly,
    errno.EACCES: DiskReadOnly,
    errno.EPERM: DiskReadOnly,
    errno.EIO: DiskCorrupt,
    errno.EBADMSG: DiskCorrupt,
    errno.EUCLEAN: DiskCorrupt,
}


def trouble(wrong: OSError, path: str) -> DiskTrouble:
    return KINDS.get(wrong.errno or 0, DiskTrouble)(path, wrong.strerror or str(wrong))
