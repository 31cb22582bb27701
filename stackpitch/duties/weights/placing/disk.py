"""The file system that `placing` uses, and the error class for each of its errors."""

import errno

from stackpitch.duties.weights.errors import DiskCorrupt, DiskFull, DiskReadOnly, DiskTrouble
from stackpitch.loop import FileSystem as Disk
from stackpitch.loop import RealFileSystem as RealDisk

__all__ = ["Disk", "RealDisk", "disk_error"]

# The queue of blocking calls: a disk that hangs must not delay the promises of a voting replica.
QUEUE = "weights"

ERROR_CLASSES: dict[int, type[DiskTrouble]] = {
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


def disk_error(error: OSError, path: str) -> DiskTrouble:
    """The exception for an OSError at `path`."""
    return ERROR_CLASSES.get(error.errno or 0, DiskTrouble)(path, error.strerror or str(error))
