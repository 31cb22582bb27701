"""Which lists come into force: scenes of the registrar; and what is left of them after a cut at any point."""

import errno
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from play import scenarios

from stackpitch.loop import MS, SECOND, RealFiles, RealWorld
from stackpitch.membership.entries import Entry, Proposal, diff, digest
from stackpitch.membership.registrar import Registrar, RegistrarConfig
from stackpitch.membership.store import FORMAT, AppliedList, Store, UnappliedList, frame, header

ROOT = Path(__file__).parent.parent
ROLES = {"r": "reader", "w": "writer", "m": "mixed"}
ALL = scenarios(Path(__file__).parent / "scenarios_membership")


def entry(word: str) -> Entry:
    """`w1`, `w1-` draining, `w1@2` in cell 2, `w1*0.5` of that weight, `w1:9` at port 9, `w1^7` started at 7."""
    fields = {
        "cell": 1,
        "weight": 1.0,
        "port": int(word[1:].rstrip("-").split("@")[0].split("*")[0].split(":")[0].split("^")[0])
        + (1000 if word[0] == "r" else 2000),
        "started_unix_ms": None,
    }
    name = word.rstrip("-")
    for mark, field, kind in (
        ("^", "started_unix_ms", int),
        (":", "port", int),
        ("*", "weight", float),
        ("@", "cell", int),
    ):
        name, found, value = name.partition(mark)
        if found:
            fields[field] = kind(value)
    return Entry(
        name=name, host="h", kind=word[0], state="draining" if word.endswith("-") else "ready", **fields
    )


class Scene:
    """
    with step=0.5 step_ms=1000 persist=5000     figures, before anything else
    at 1200                                     the clock, in ms; what is due happens
    list 3 r1 w1 w2-                            a list of version 3 from the file
    other 3 w1                                  the same from a second source
    force 3 r1 w1 | confirm 3                   asked for by somebody; the held list of that version
    > accepted WORDS                            what became of the last one, with words of its reasons
    > fleet r1 w1 w2-                           what is in force
    > due 1500 | > due never
    """

    def __init__(self):
        self.figures = {
            "step": "1",
            "step_ms": "1000",
            "persist": "5000",
            "flaps": "4",
            "window": "10000",
            "calm": "3000",
        }
        self.now, self.made, self.verdict, self.digests = 0, None, None, {}

    @property
    def registrar(self):
        if self.made is None:
            one = self.figures
            self.made = Registrar(
                RegistrarConfig(
                    float(one["step"]),
                    int(one["step_ms"]) * MS,
                    int(one["persist"]) * MS,
                    int(one["flaps"]),
                    int(one["window"]) * MS,
                    int(one["calm"]) * MS,
                ),
                ROLES,
                ("file", "other"),
            )
        return self.made

    def line(self, text):
        words = text.split()
        if words[0] == "with":
            self.figures |= dict(word.split("=") for word in words[1:])
        elif words[0] == "at":
            self.now = int(words[1]) * MS
            while (due := self.registrar.due()) is not None and due <= self.now:
                self.verdict = self.registrar.tick(due) or self.verdict
                assert self.registrar.due() != due, "it stands still"
        elif words[0] in ("list", "other", "force"):
            entries = tuple(map(entry, words[2:]))
            told = self.digests[words[1]] = digest(entries)
            source = "other" if words[0] == "other" else "file"
            self.verdict = self.registrar.propose(
                self.now, Proposal(source, int(words[1]), told, entries), words[0] == "force"
            )
        elif words[0] == "confirm":
            self.verdict = self.registrar.confirm(self.now, self.digests.get(words[1], words[1]))
        elif words[1] == "fleet":
            found = {
                f"{one.name}{'-' if one.state == 'draining' else ''}"
                for one in self.registrar.in_force.values()
            }
            assert found == set(words[2:]), sorted(found)
        elif words[1] == "weight":
            assert self.registrar.in_force[words[2]].weight == float(words[3])
        elif words[1] == "due":
            due = self.registrar.due()
            assert ("never" if due is None else str(due // MS)) == words[2], due
        else:
            said = f"{self.verdict.outcome} {'; '.join(self.verdict.reasons)}"
            assert text[2:] in said or (
                said.startswith(words[1]) and all(word in said for word in words[1:])
            ), said


@pytest.mark.parametrize("lines", [lines for _, lines in ALL], ids=[title for title, _ in ALL])
def test_registrar(lines):
    scene = Scene()
    for number, line in enumerate(lines, 1):
        try:
            scene.line(line)
        except AssertionError as wrong:
            raise AssertionError(f"line {number}, {line!r}: {wrong}") from None


def test_a_random_life_keeps_what_must_hold():
    """Whatever comes: a server that the last accepted list drains is not ready; none is in force that no list named."""
    for seed in range(300):
        chance, named = random.Random(seed), set()
        registrar = Registrar(RegistrarConfig(0.34, SECOND, 5 * SECOND, 4, 10 * SECOND, 3 * SECOND), ROLES)
        now = version = 0
        for _ in range(40):
            now += chance.randrange(1, 20_000)
            if chance.random() < 0.6:
                words = [
                    f"{kind}{number}{chance.choice(['', '', '-'])}"
                    for kind in "rw"
                    for number in range(1, 6)
                    if chance.random() < 0.8
                ]
                entries = tuple(map(entry, words))
                version += chance.choice((0, 1, 1, 1, -1))
                before = dict(registrar.in_force)
                verdict = registrar.propose(now, Proposal("file", version, digest(entries), entries))
                if verdict.outcome in ("accepted", "in steps"):
                    named |= {one.name for one in entries}
                    drained = {one.name for one in entries if one.state == "draining"}
                    assert not any(registrar.in_force[name].state == "ready" for name in drained)
                elif verdict.outcome in ("rejected", "repeated"):
                    assert registrar.in_force == before
            else:
                registrar.tick(now)
            assert set(registrar.in_force) <= named | {
                one.name for one in registrar.sources["file"].entries.values()
            }
            assert any(one.kind == "w" for one in registrar.in_force.values()) or not registrar.in_force
            assert (due := registrar.due()) is None or due > 0
        now = 10**9
        while (due := registrar.due()) is not None:
            registrar.tick(max(due, now))
            now += 1
        target = registrar.sources["file"].entries
        assert registrar.in_force == target, "once all is calm, what is wanted is in force"


def test_what_changed_between_lists():
    found = diff({"a": entry("w1"), "b": entry("w2")}, {"b": entry("w2*0.5"), "c": entry("w3")})
    assert (found.added, found.removed, found.changed) == (("c",), ("a",), (("b", "weight 1.0 -> 0.5"),))
    assert (
        digest([entry("w1"), entry("w2")])
        == digest([entry("w2"), entry("w1")])
        != digest([entry("w1"), entry("w2-")])
    )


# The store.


def kept(version, size=3):
    return AppliedList(
        0, "file", version, str(version), tuple(entry(f"w{number}") for number in range(1, size + 1))
    )


class Cut(BaseException):
    """The process is gone."""


class CutFiles(RealFiles):
    """Ends the process at the nth call, or in the middle of it if that is a write; or fails calls with an error."""

    def __init__(self, cut=None, part=0.0, fail=None):
        self.cut, self.part, self.fail, self.calls, self.failing = cut, part, fail, 0, False
        self.open_ones = []

    def _call(self, name, *args):
        self.calls += 1
        if self.cut is not None and self.calls >= self.cut:
            if name == "write" and self.calls == self.cut:
                super().write(args[0], args[1][: int(self.part * len(args[1]))])
            raise Cut
        if self.failing and name in ("write", "sync", "rename", "open"):
            if name == "write":
                super().write(args[0], args[1][: len(args[1]) // 2])  # a full disk takes some of it
            raise OSError(self.fail, os.strerror(self.fail))
        return getattr(RealFiles, name)(self, *args)

    def open(self, *args, **named):
        found = self._call("open", *args, *named.values())
        self.open_ones.append(found)
        return found

    def write(self, *args):
        return self._call("write", *args)

    def sync(self, *args):
        return self._call("sync", *args)

    def truncate(self, *args):
        return self._call("truncate", *args)

    def close(self, *args):
        return self._call("close", *args)

    def rename(self, *args):
        return self._call("rename", *args)

    def sync_folder(self, *args):
        return self._call("sync_folder", *args)

    def read(self, *args):
        return self._call("read", *args)

    def size(self, *args):
        return self._call("size", *args)


def life(files, path):
    """Opening, three lists, then a rewriting; yields what is surely kept after each step."""
    store = Store(files, str(path), lists=2, most_bytes=700)
    store.open()
    for version in range(2, 12):
        before = store.last()
        yield before.version if before else 0, version
        assert store.add(kept(version))
    yield 11, 11


def test_a_cut_at_every_system_call_leaves_the_old_or_the_new(tmp_path):
    """And in the middle of every write, at eleven places of it. The store had one list from an earlier life."""

    cuts, renames = 0, 0
    for part in [0.0, 0.01, 0.1, 0.2, 0.3, 0.5, 0.7, 0.8, 0.9, 0.99, 1.0]:
        for cut in range(1, 500):
            path = tmp_path / f"{cut}-{part}"
            first = Store(RealFiles(), str(path))
            first.open()
            first.add(kept(1))
            first.close()
            files, old, new = CutFiles(cut, part), 1, 1
            try:
                for before, after in life(files, path):
                    old, new = max(before, 1), after
            except Cut:
                pass
            for one in files.open_ones:
                try:
                    os.close(one)
                except OSError:
                    pass
            again = Store(RealFiles(), str(path))
            again.open()
            assert again.last() is not None and again.last().version in (old, new), (cut, part)
            assert again.last() == kept(again.last().version) and not again.error
            assert again.add(kept(99)) and again.last().version == 99  # it goes on from there
            again.close()
            cuts += 1
            renames += path.with_name(path.name + ".new").exists()
            if files.calls < cut:
                break
    assert cuts > 300 and renames > 20, "too few of them in the middle of a rewriting"


def test_a_damaged_byte_anywhere_loses_no_more_than_what_follows(tmp_path):
    path = tmp_path / "store"
    raw = header() + frame(kept(1)) + frame(kept(2)) + frame(kept(3))
    ends = [len(header()), len(header() + frame(kept(1))), len(header() + frame(kept(1)) + frame(kept(2)))]
    for at in range(len(raw)):
        path.write_bytes(raw[:at] + bytes([raw[at] ^ 0x55]) + raw[at + 1 :])
        store = Store(RealFiles(), str(path))
        store.open()
        left = sum(end <= at for end in ends) - 1
        assert [one.version for one in store.applied] == list(range(1, left + 1)) and store.recovery_note, at
        store.close()
        (tmp_path / "store.unread").unlink(missing_ok=True)


@pytest.mark.parametrize(
    "content,said",
    [
        (
            header()[:17] + (FORMAT + 1).to_bytes(2, "little") + b"1234newer things",
            f"of format {FORMAT + 1}, not {FORMAT}",
        ),
        (b"PNG\r\n not ours at all", "no store"),
        (b"\0" * 4096, "no store"),
    ],
)
def test_what_is_not_ours_is_set_aside(tmp_path, content, said):
    path = tmp_path / "store"
    path.write_bytes(content)
    store = Store(RealFiles(), str(path))
    store.open()
    assert (
        said in store.recovery_note
        and store.last() is None
        and (tmp_path / "store.unread").read_bytes() == content
    )
    assert store.add(kept(1))


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_full_or_failing_disk_is_said_and_mended(tmp_path, code):
    path, files = tmp_path / "store", CutFiles(fail=code)
    store = Store(files, str(path))
    store.open()
    assert store.add(kept(1)) and not store.error
    files.failing = True
    assert not store.add(kept(2)) and os.strerror(code) in store.error
    assert not store.add(UnappliedList(0, "file", 3, "3", "rejected", ("why",)))
    again = Store(RealFiles(), str(path))
    again.open()
    assert again.last() == kept(1)
    again.close()
    files.failing = False
    assert store.add(kept(4)) and not store.error
    again = Store(RealFiles(), str(path))
    again.open()
    assert [one.version for one in again.applied] == [1, 2, 4] and len(again.unapplied) == 1


def test_a_folder_that_is_not_there(tmp_path):
    store = Store(RealFiles(), str(tmp_path / "none" / "store"))
    store.open()
    assert "No such file" in store.error and not store.add(kept(1)) and store.last() == kept(1)


WRITER = r"""
import os, sys
sys.path.insert(0, sys.argv[2])
from test_membership import kept
from stackpitch.loop import RealFiles
from stackpitch.membership.store import Store
store = Store(RealFiles(), sys.argv[1], lists=3, most_bytes=30_000)
store.open()
version = store.last().version if store.last() else 0
os.write(1, b"begun %d\n" % version)  # whole lines: a print may be cut in two
while True:
    version += 1
    store.add(kept(version, 40))
    os.write(1, b"%d\n" % version)
"""


def test_kill_in_the_middle_of_updates_200_times(tmp_path):
    """Real processes, killed at any moment: the next one goes on from what was last said to be kept, or one further."""
    path, chance, said = tmp_path / "store", random.Random(4), 0
    script = tmp_path / "writer.py"
    script.write_text(WRITER)
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    for _ in range(10):  # twenty lives in a row from each process, which spares their starts
        child = subprocess.Popen(
            [sys.executable, "-c", FORKS, str(script), str(path), str(ROOT / "tests"), str(chance.random())],
            stdout=subprocess.PIPE,
            env=environment,
            text=True,
        )
        for line in child.stdout:
            word, _, number = line.strip().partition(" ")
            if word == "begun":
                assert int(number) in (said, said + 1), (number, said)
                said = int(number)
            elif word.isdigit():
                said = int(word)
        assert child.wait() == 0
    store = Store(RealFiles(), str(path))
    store.open()
    assert (
        store.last().version in (said, said + 1)
        and store.last() == kept(store.last().version, 40)
        and said > 400
    )


FORKS = """
import os, random, signal, sys, time
chance = random.Random(float(sys.argv[4]))
source = open(sys.argv[1]).read()
sys.argv = [sys.argv[1], *sys.argv[2:]]
code = compile(source, "writer", "exec")
sys.path.insert(0, sys.argv[2])
import test_membership
for _ in range(20):
    child = os.fork()
    if not child:
        exec(code)
    time.sleep(0.004 + 0.03 * chance.random())
    os.kill(child, signal.SIGKILL)
    os.waitpid(child, 0)
"""


# Watching, in this process: the keeper with real files.


def test_aside_and_watch(tmp_path):
    world = RealWorld()

    def main():
        def slow():
            time.sleep(0.05)
            return 7

        begun = world.now()
        with world.limit(20 * MS) as scope:
            yield from world.run_blocking(slow)
        assert scope.expired and world.now() - begun < 45 * MS, "waiting for it can be given up"
        assert (yield from world.run_blocking(slow)) == 7
        with pytest.raises(ValueError, match="no"):
            yield from world.run_blocking(lambda: int("no"))
        begun = world.now()
        with world.limit(20 * MS):
            yield from world.run_blocking(slow)
        assert (yield from world.run_blocking(lambda: 8, "votes")) == 8 and world.now() - begun < 45 * MS, (
            "another lane doesn't wait"
        )
        watch = world.watch()
        watch.set_folders([str(tmp_path), str(tmp_path / "none")])
        (tmp_path / "one").write_text("x")
        with world.limit(SECOND) as scope:
            yield from watch.wait()
        assert not scope.expired
        with world.limit(30 * MS) as scope:
            yield from watch.wait()
        assert scope.expired, "a hint counts once"
        os.rename(tmp_path / "one", tmp_path / "two")
        yield from watch.wait()
        watch.close()

    world.run(main())
    assert signal.SIGKILL == 9
