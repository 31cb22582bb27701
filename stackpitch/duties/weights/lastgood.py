"""The last valid wanted file, persisted beside the weights, so that a start while the file is invalid goes on with it.

Calls block: run them off the loop. The log holds one value; a crash at any byte leaves the previous one or this one.
"""

import os

from stackpitch.durable.log import MAX_RECORD_BYTES, Log
from stackpitch.duties.weights.errors import WantedRejected
from stackpitch.duties.weights.placing.disk import Disk
from stackpitch.duties.weights.wanted import Wanted, checked_json
from stackpitch.loop import Files

MAGIC, FORMAT = b"stackpitch wanted\n", 1


class LastGood:
    """The persisted wanted file. `trouble`: why the newest is not on disk, empty if it is. `again`: a retry may help."""

    def __init__(self, files: Files, disk: Disk, path: str) -> None:
        self.disk, self.path, self.body, self.trouble = disk, path, b"", ""
        self.log = Log(
            files,
            path,
            MAGIC,
            FORMAT,
            "kept wanted file",
            lambda: [self.body] if self.body else [],
            max_bytes=0,
        )

    @property
    def again(self) -> bool:
        return bool(self.log.error)

    def load(self) -> Wanted | None:
        """Reads the persisted file; None if there is none or it can't be read."""
        self._folder()
        self.log.open(self._take)
        self.trouble = self.log.error
        try:
            return checked_json(self.body, self.path) if self.body else None
        except WantedRejected:  # written by a program version that allowed other fields
            return None

    def _take(self, body: bytes) -> bool:
        self.body = body
        return True

    def _folder(self) -> None:
        try:
            self.disk.make_folder(os.path.dirname(self.path))
        except OSError:
            pass  # opening the log reports the error

    def save(self, wanted: Wanted) -> None:
        """Writes the file unless it is on disk already; sets `trouble`."""
        body = wanted.model_dump_json().encode()
        if len(body) > MAX_RECORD_BYTES:
            self.trouble = f"{self.path}: {len(body)} bytes; allowed: at most {MAX_RECORD_BYTES}"
        elif body != self.body or self.trouble:
            if self.trouble:
                self._folder()
            if not self.log.loaded:  # what is on disk is read before it is replaced
                self.log.open(self._take)
            self.body = body
            self.trouble = "" if self.log.add(body) else self.log.error
