"""The day's own copy of a voter's file, while the disk fails as it is made to for the voters."""

from pathlib import Path

import pytest

from stackpitch.loop.files import RealFiles
from stackpitch.rehearse.director.troubles.voters import COPY_TRIES, copy


class FailingSync(RealFiles):
    """The first `failing` calls fail."""

    def __init__(self, failing: int) -> None:
        self.failing = failing

    def sync(self, descriptor: int) -> None:
        self.failing -= 1
        if self.failing >= 0:
            raise OSError(5, "made to fail")
        super().sync(descriptor)


def test_a_copy_that_fails_is_made_again(tmp_path: Path) -> None:
    (tmp_path / "votes").write_bytes(b"promised")
    copy(FailingSync(3), str(tmp_path / "votes"), str(tmp_path / "older"))
    assert (tmp_path / "older").read_bytes() == b"promised"
    with pytest.raises(OSError, match="made to fail"):
        copy(FailingSync(COPY_TRIES), str(tmp_path / "votes"), str(tmp_path / "older"))
