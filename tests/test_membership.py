"""Which server lists take effect, by scenarios, and how the store survives a crash at any point."""

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
    """`w1`, `w1-` draining, `w1@2` cell 2, `w1*0.5` weight 0.5, `w1:9` port 9, `w1^7` started at 7."""
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
        name, separator, value = name.partition(mark)
        if separator:
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
    force 3 r1 w1 | confirm 3                   by an operator; the held list of that version
    > accepted WORDS                            outcome of the last step, with words of its reasons
    > fleet r1 w1 w2-                           what is in force
    > due 1500 | > due never
    """

    def __init__(self):
        self.config = {
            "step": "1",
            "step_ms": "1000",
            "persist": "5000",
            "flaps": "4",
            "window": "10000",
            "calm": "3000",
        }
        self.now, self.created, self.verdict, self.digests = 0, None, None, {}

    @property
    def registrar(self):
        if self.created is None:
            config = self.config
            self.created = Registrar(
                RegistrarConfig(
                    float(config["step"]),
                    int(config["step_ms"]) * MS,
                    int(config["persist"]) * MS,
                    int(config["flaps"]),
                    int(config["window"]) * MS,
                    int(config["calm"]) * MS,
                ),
                ROLES,
                ("file", "other"),
            )
        return self.created

    def line(self, text):
        words = text.split()
        if words[0] == "with":
            self.config |= dict(word.split("=") for word in words[1:])
        elif words[0] == "at":
            self.now = int(words[1]) * MS
            while (due := self.registrar.due()) is not None and due <= self.now:
                self.verdict = self.registrar.tick(due) or self.verdict
                assert self.registrar.due() != due, "tick makes no progress"
        elif words[0] in ("list", "other", "force"):
            entries = tuple(map(entry, words[2:]))
            list_digest = self.digests[words[1]] = digest(entries)
            source = "other" if words[0] == "other" else "file"
            self.verdict = self.registrar.propose(
                self.now, Proposal(source, int(words[1]), list_digest, entries), words[0] == "force"
            )
        elif words[0] == "confirm":
            self.verdict = self.registrar.confirm(self.now, self.digests.get(words[1], words[1]))
        elif words[1] == "fleet":
            in_force = {
                f"{server.name}{'-' if server.state == 'draining' else ''}"
                for server in self.registrar.in_force.values()
            }
            assert in_force == set(words[2:]), sorted(in_force)
        elif words[1] == "weight":
            assert self.registrar.in_force[words[2]].weight == float(words[3])
        elif words[1] == "due":
            due = self.registrar.due()
            assert ("never" if due is None else str(due // MS)) == words[2], due
        else:
            result = f"{self.verdict.outcome} {'; '.join(self.verdict.reasons)}"
            assert text[2:] in result or (
                result.startswith(words[1]) and all(word in result for word in words[1:])
            ), result


@pytest.mark.parametrize("lines", [lines for _, lines in ALL], ids=[title for title, _ in ALL])
def test_registrar(lines):
    scene = Scene()
    for number, line in enumerate(lines, 1):
        try:
            scene.line(line)
        except AssertionError as error:
            raise AssertionError(f"line {number}, {line!r}: {error}") from None


def test_invariants_hold_for_random_lists():
    """A server drained by the last accepted list is not ready; only servers named by a list are in force."""
    for seed in range(300):
        rng, named = random.Random(seed), set()
        registrar = Registrar(RegistrarConfig(0.34, SECOND, 5 * SECOND, 4, 10 * SECOND, 3 * SECOND), ROLES)
        now = version = 0
        for _ in range(40):
            now += rng.randrange(1, 20_000)
            if rng.random() < 0.6:
                words = [
                    f"{kind}{number}{rng.choice(['', '', '-'])}"
                    for kind in "rw"
                    for number in range(1, 6)
                    if rng.random() < 0.8
                ]
                entries = tuple(map(entry, words))
                version += rng.choice((0, 1, 1, 1, -1))
                before = dict(registrar.in_force)
                verdict = registrar.propose(now, Proposal("file", version, digest(entries), entries))
                if verdict.outcome in ("accepted", "in steps"):
                    named |= {server.name for server in entries}
                    drained = {server.name for server in entries if server.state == "draining"}
                    assert not any(registrar.in_force[name].state == "ready" for name in drained)
                elif verdict.outcome in ("rejected", "repeated"):
                    assert registrar.in_force == before
            else:
                registrar.tick(now)
            assert set(registrar.in_force) <= named | {
                server.name for server in registrar.sources["file"].entries.values()
            }
            assert any(server.kind == "w" for server in registrar.in_force.values()) or not registrar.in_force
            assert (due := registrar.due()) is None or due > 0
        now = 10**9
        while (due := registrar.due()) is not None:
            registrar.tick(max(due, now))
            now += 1
        target = registrar.sources["file"].entries
        assert registrar.in_force == target, "without flapping, the target is in force in the end"


def test_difference_between_lists():
    changes = diff({"a": entry("w1"), "b": entry("w2")}, {"b": entry("w2*0.5"), "c": entry("w3")})
    assert (changes.added, changes.removed, changes.changed) == (
        ("c",),
        ("a",),
        (("b", "weight 1.0 -> 0.5"),),
    )
    assert (
        digest([entry("w1"), entry("w2")])
        == digest([entry("w2"), entry("w1")])
        != digest([entry("w1"), entry("w2-")])
    )


# The store.


def applied_list(version, size=3):
    return AppliedList(
        0, "file", version, str(version), tuple(entry(f"w{number}") for number in range(1, size + 1))
    )


class Cut(BaseException):
    """Simulates the end of the process."""


class CutFiles(RealFiles):
    """Ends the process at call number `cut`, a write in the middle; or fails calls with an error."""

    def __init__(self, cut=None, part=0.0, fail=None):
        self.cut, self.part, self.fail, self.calls, self.failing = cut, part, fail, 0, False
        self.opened = []

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
        descriptor = self._call("open", *args, *named.values())
        self.opened.append(descriptor)
        return descriptor

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


def add_lists(files, path):
    """Adds lists until the store is rewritten; yields the stored version and the one being added."""
    store = Store(files, str(path), lists=2, most_bytes=700)
    store.open()
    for version in range(2, 12):
        before = store.last()
        yield before.version if before else 0, version
        assert store.add(applied_list(version))
    yield 11, 11


def test_a_crash_at_every_system_call_leaves_the_old_or_the_new_list(tmp_path):
    """Also in the middle of every write, at eleven places of it. The store already holds one list."""

    cuts, renames = 0, 0
    for part in [0.0, 0.01, 0.1, 0.2, 0.3, 0.5, 0.7, 0.8, 0.9, 0.99, 1.0]:
        for cut in range(1, 500):
            path = tmp_path / f"{cut}-{part}"
            first = Store(RealFiles(), str(path))
            first.open()
            first.add(applied_list(1))
            first.close()
            files, old, new = CutFiles(cut, part), 1, 1
            try:
                for before, after in add_lists(files, path):
                    old, new = max(before, 1), after
            except Cut:
                pass
            for descriptor in files.opened:
                try:
                    os.close(descriptor)
                except OSError:
                    pass
            reopened = Store(RealFiles(), str(path))
            reopened.open()
            assert reopened.last() is not None and reopened.last().version in (old, new), (cut, part)
            assert reopened.last() == applied_list(reopened.last().version) and not reopened.error
            assert reopened.add(applied_list(99)) and reopened.last().version == 99  # it can still be written
            reopened.close()
            cuts += 1
            renames += path.with_name(path.name + ".new").exists()
            if files.calls < cut:
                break
    assert cuts > 300 and renames > 20, "too few crashes in the middle of a rewrite"


def test_a_damaged_byte_loses_only_the_records_from_there_on(tmp_path):
    path = tmp_path / "store"
    raw = header() + frame(applied_list(1)) + frame(applied_list(2)) + frame(applied_list(3))
    ends = [
        len(header()),
        len(header() + frame(applied_list(1))),
        len(header() + frame(applied_list(1)) + frame(applied_list(2))),
    ]
    for at in range(len(raw)):
        path.write_bytes(raw[:at] + bytes([raw[at] ^ 0x55]) + raw[at + 1 :])
        store = Store(RealFiles(), str(path))
        store.open()
        left = sum(end <= at for end in ends) - 1
        assert [record.version for record in store.applied] == list(
            range(1, left + 1)
        ) and store.recovery_note, at
        store.close()
        (tmp_path / "store.unread").unlink(missing_ok=True)


@pytest.mark.parametrize(
    "content,note",
    [
        (
            header()[:17] + (FORMAT + 1).to_bytes(2, "little") + b"1234newer things",
            f"of format {FORMAT + 1}, not {FORMAT}",
        ),
        (b"PNG\r\n not ours at all", "no store"),
        (b"\0" * 4096, "no store"),
    ],
)
def test_a_file_of_another_kind_is_renamed(tmp_path, content, note):
    path = tmp_path / "store"
    path.write_bytes(content)
    store = Store(RealFiles(), str(path))
    store.open()
    assert (
        note in store.recovery_note
        and store.last() is None
        and (tmp_path / "store.unread").read_bytes() == content
    )
    assert store.add(applied_list(1))


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EROFS, errno.EIO])
def test_a_disk_error_is_reported_and_recovered_from(tmp_path, code):
    path, files = tmp_path / "store", CutFiles(fail=code)
    store = Store(files, str(path))
    store.open()
    assert store.add(applied_list(1)) and not store.error
    files.failing = True
    assert not store.add(applied_list(2)) and os.strerror(code) in store.error
    assert not store.add(UnappliedList(0, "file", 3, "3", "rejected", ("why",)))
    reopened = Store(RealFiles(), str(path))
    reopened.open()
    assert reopened.last() == applied_list(1)
    reopened.close()
    files.failing = False
    assert store.add(applied_list(4)) and not store.error
    reopened = Store(RealFiles(), str(path))
    reopened.open()
    assert [record.version for record in reopened.applied] == [1, 2, 4] and len(reopened.unapplied) == 1


def test_a_missing_folder(tmp_path):
    store = Store(RealFiles(), str(tmp_path / "none" / "store"))
    store.open()
    assert (
        "No such file" in store.error and not store.add(applied_list(1)) and store.last() == applied_list(1)
    )


WRITER = r"""
import os, sys
sys.path.insert(0, sys.argv[2])
from test_membership import applied_list
from stackpitch.loop import RealFiles
from stackpitch.membership.store import Store
store = Store(RealFiles(), sys.argv[1], lists=3, most_bytes=30_000)
store.open()
version = store.last().version if store.last() else 0
os.write(1, b"begun %d\n" % version)  # complete lines: print may write them in two parts
while True:
    version += 1
    store.add(applied_list(version, 40))
    os.write(1, b"%d\n" % version)
"""


def test_kill_in_the_middle_of_updates_200_times(tmp_path):
    """Processes killed at random moments: the next finds the last reported version, or the one after it."""
    path, rng, reported = tmp_path / "store", random.Random(4), 0
    script = tmp_path / "writer.py"
    script.write_text(WRITER)
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    for _ in range(10):  # twenty forks from each process save the start-up time
        child = subprocess.Popen(
            [sys.executable, "-c", FORKS, str(script), str(path), str(ROOT / "tests"), str(rng.random())],
            stdout=subprocess.PIPE,
            env=environment,
            text=True,
        )
        for line in child.stdout:
            word, _, number = line.strip().partition(" ")
            if word == "begun":
                assert int(number) in (reported, reported + 1), (number, reported)
                reported = int(number)
            elif word.isdigit():
                reported = int(word)
        assert child.wait() == 0
    store = Store(RealFiles(), str(path))
    store.open()
    assert (
        store.last().version in (reported, reported + 1)
        and store.last() == applied_list(store.last().version, 40)
        and reported > 400
    )


FORKS = """
import os, random, signal, sys, time
rng = random.Random(float(sys.argv[4]))
source = open(sys.argv[1]).read()
sys.argv = [sys.argv[1], *sys.argv[2:]]
code = compile(source, "writer", "exec")
sys.path.insert(0, sys.argv[2])
import test_membership
for _ in range(20):
    child = os.fork()
    if not child:
        exec(code)
    time.sleep(0.004 + 0.03 * rng.random())
    os.kill(child, signal.SIGKILL)
    os.waitpid(child, 0)
"""


# Blocking calls and folder watches in the real world.


def test_run_blocking_and_watch(tmp_path):
    world = RealWorld()

    def main():
        def slow():
            time.sleep(0.05)
            return 7

        begun = world.now()
        with world.limit(20 * MS) as scope:
            yield from world.run_blocking(slow)
        assert scope.expired and world.now() - begun < 45 * MS, "the wait can be cancelled"
        assert (yield from world.run_blocking(slow)) == 7
        with pytest.raises(ValueError, match="no"):
            yield from world.run_blocking(lambda: int("no"))
        begun = world.now()
        with world.limit(20 * MS):
            yield from world.run_blocking(slow)
        assert (yield from world.run_blocking(lambda: 8, "votes")) == 8 and world.now() - begun < 45 * MS, (
            "another queue does not wait"
        )
        watch = world.watch()
        watch.set_folders([str(tmp_path), str(tmp_path / "none")])
        (tmp_path / "one").write_text("x")
        with world.limit(SECOND) as scope:
            yield from watch.wait()
        assert not scope.expired
        with world.limit(30 * MS) as scope:
            yield from watch.wait()
        assert scope.expired, "a hint is returned once"
        os.rename(tmp_path / "one", tmp_path / "two")
        yield from watch.wait()
        watch.close()

    world.run(main())
    assert signal.SIGKILL == 9
