"""A change of the list counts as told 6 s after discovery had it and could be reached, whatever failed
before.

Each case is a gateway of its own with a discovery of its own that fails in another way; all run side by side
among the same workers. A thread for each asks one request after another, and the worker that drains or
vanishes notes when attempts begin.
"""

import json
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from crossing_discovery import Call, ListDiscovery
from crossing_gateway import RunningGateway
from crossing_sockets import PATIENCE, reset, wait_for
from crossing_workers import Worker, fleet

from stackpitch.wire import http

BOUND = 6.0  # seconds after which nothing new goes to a worker that drains or is gone
OUTAGE = 8.0  # seconds for which discovery refuses connections
SLOW = 3.5  # seconds, longer than a gateway once had for an answer
EVERY = 0.1  # seconds between two requests


class Faulty(ListDiscovery):
    """Fails in one way once `arm` was called, by when each call came; `changed_at`: when it had the change
    and could be reached."""

    def __init__(self, workers: list[Worker]) -> None:
        super().__init__(workers)
        self.armed = False
        self.bad = 0  # calls that were spoilt
        self.changed_at = 0.0
        self.watched: set[int] = set()  # connections that stay silent
        self.behave = lambda discovery, call: self.armed and self.fail(call)

    def fail(self, call: Call) -> bool:
        raise NotImplementedError

    def spoil(self, call: Call, how: str) -> bool:
        self.bad += 1
        if how == "hang":
            with suppress(OSError):
                held_open(call.stream)
            return True
        good = self.answer(call)
        half = len(good) // 2
        with suppress(OSError):
            if how == "reset":
                reset(call.stream)
            elif how == "cut off":
                call.stream.sendall(good[:half])
                call.stream.shutdown(socket.SHUT_RDWR)
            elif how == "half a list":
                body = good.partition(b"\r\n\r\n")[2]
                part = body[: len(body) // 2]
                call.stream.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(part) + part)
            elif how == "pieces of a byte":
                for at in range(len(good)):
                    call.stream.sendall(good[at : at + 1])
                    time.sleep(0.1)
        return True

    def watch(self) -> Call:
        """The first watch that goes out after it was armed, so that this one fails."""
        count = len(self.calls)
        self.armed = True
        with self.changed:
            assert self.changed.wait_for(
                lambda: len(self.calls) > count and self.calls[-1].since == self.revision, PATIENCE
            )
            return self.calls[-1]

    def change(self) -> None:
        """The worker drains as a watch has just gone out."""
        self.watched = {self.watch().connection}
        self.changed_at = self.tell("w1", phase="draining")


def held_open(stream: socket.socket) -> None:
    """Until the other side ends it."""
    stream.settimeout(4 * PATIENCE)
    while stream.recv(4096):
        pass


class SilentFromTheFirst(Faulty):
    """Nothing is answered any more on the watch's connection; the next connections are good."""

    def fail(self, call: Call) -> bool:
        return ((call.since >= 0 and self.bad == 0) or call.connection in self.watched) and self.spoil(
            call, "hang"
        )


class SilentLate(SilentFromTheFirst):
    """Its change comes at the end of the watch's time."""

    def change(self) -> None:
        call = self.watch()
        self.watched = {call.connection}
        wait_for(lambda: time.monotonic() - call.at > call.wait * 0.95, "time does not pass")
        self.changed_at = self.tell("w1", phase="draining")


class SilentThrice(SilentFromTheFirst):
    """Nor do the three next connections."""

    def fail(self, call: Call) -> bool:
        if call.since < 0 and self.bad < 4:
            return self.spoil(call, "hang")
        return super().fail(call)


class Spoilt(Faulty):
    """The watch and the three next answers are spoilt in this way."""

    how = ""

    def fail(self, call: Call) -> bool:
        return self.bad < 4 and self.spoil(call, self.how)


def spoilt(how: str) -> Callable[[list[Worker]], Faulty]:
    return type(how, (Spoilt,), {"how": how})


class LacksMembers(Faulty):
    """The watch breaks off, and the whole list that is asked for next does not name the worker."""

    def change(self) -> None:
        self.watch()
        with self.changed:
            self.members = [one for one in self.members if one["id"] != "w1"]
            self.revision += 1
            self.changed_at = time.monotonic()
            self.changed.notify_all()

    def fail(self, call: Call) -> bool:
        return call.since >= 0 and self.bad == 0 and self.spoil(call, "reset")


class Slow(Faulty):
    """Takes up every call 3.5 s late, for good; all are answered well."""

    def change(self) -> None:
        self.watch()
        self.changed_at = self.tell("w1", phase="draining")

    def fail(self, call: Call) -> bool:
        self.bad += 1
        time.sleep(SLOW)
        return False


class BackAfterAnOutage(Faulty):
    """Refuses for 8 s, in which the change comes; then one connection hangs, one breaks off, and all others
    are well."""

    def change(self) -> None:
        self.armed = True
        self.down()
        down_at = time.monotonic()
        self.tell("w1", phase="draining")
        wait_for(lambda: time.monotonic() - down_at > OUTAGE, "time does not pass", OUTAGE + 1)
        self.bad = 0
        self.up()
        self.changed_at = time.monotonic()

    def fail(self, call: Call) -> bool:
        if self.bad >= 2:
            return False
        return self.spoil(call, ("hang", "cut off")[self.bad])


CASES: dict[str, Callable[[list[Worker]], Faulty]] = {
    "silent from its first moment": SilentFromTheFirst,
    "silent late": SilentLate,
    "silent, and three more": SilentThrice,
    "reset": spoilt("reset"),
    "cut off": spoilt("cut off"),
    "half a list": spoilt("half a list"),
    "pieces of a byte": spoilt("pieces of a byte"),
    "lacks members": LacksMembers,
    "slow": Slow,
    "back after an outage": BackAfterAnOutage,
}


class Case:
    """One gateway and its discovery, and a thread that asks; `found` holds what is wrong."""

    def __init__(self, folder: Path, name: str, workers: list[Worker]) -> None:
        self.name, self.workers = name, workers
        self.discovery = CASES[name](workers)
        self.gateway = RunningGateway(folder, workers, discovery=self.discovery, wait=False)
        self.asked: set[str] = set()
        self.found: list[str] = []

    def ask(self) -> None:
        client = self.gateway.ask("chat", 3000)
        self.asked.add(client.name)
        answer = client.answer()
        client.close()
        if (answer.status, answer.whole) != (200, True):
            self.found.append(f"{self.name}: a request got {answer.status}")

    def begun(self, worker: Worker) -> list[float]:
        return [one.began for one in list(worker.begun) if one.name in self.asked]

    def run(self) -> None:
        drained, other = self.workers[1], self.workers[2]
        try:
            self.discovery.taken()
            for _ in range(200):
                self.ask()
                if self.begun(drained) and self.begun(other):
                    break
            else:
                self.found.append(f"{self.name}: one of the workers is never sent to")
            changing = threading.Thread(target=self.discovery.change, daemon=True)
            changing.start()
            taken_at = 0.0
            while True:
                self.ask()
                now, changed_at = time.monotonic(), self.discovery.changed_at
                if (
                    changed_at
                    and not taken_at
                    and any(one.since == self.discovery.revision for one in self.discovery.calls)
                ):
                    taken_at = now
                if changed_at and (now > changed_at + BOUND + 1 or (taken_at and now > taken_at + 1)):
                    break
                time.sleep(EVERY)
            changing.join(PATIENCE)
            late = max(self.begun(drained)) - self.discovery.changed_at
            if not taken_at or late > BOUND:
                self.found.append(
                    f"{self.name}: taken up: {bool(taken_at)}, an attempt began {late:.2f} s after the change"
                )
            print(
                f"{self.name}: {self.discovery.bad} calls spoilt, the last attempt began after {late:.2f} s"
            )
            if not max(self.begun(other)) > self.discovery.changed_at:
                self.found.append(f"{self.name}: nothing was served after it")
        except (AssertionError, OSError) as wrong:
            self.found.append(f"{self.name}: {wrong!r}")


def test_a_change_is_told_within_6_s(tmp_path: Path) -> None:
    workers = [Worker("r1"), Worker("w1"), Worker("w2")]
    cases = [Case(tmp_path / str(number), name, workers) for number, name in enumerate(CASES)]
    try:
        threads = [threading.Thread(target=one.run, daemon=True) for one in cases]
        for one in threads:
            one.start()
        for one in threads:
            one.join(OUTAGE + BOUND + 2 * PATIENCE)
            assert not one.is_alive(), "a case does not end"
    finally:
        for case in cases:
            case.gateway.__exit__()
    assert not any(case.found for case in cases), [line for case in cases for line in case.found]


class Indented(ListDiscovery):
    """Its whole lists are large, and written for people to read."""

    def answer(self, call: Call) -> bytes:
        whole = http.ResponseParser(1 << 14, 1 << 30)
        whole.feed(super().answer(call))
        told = json.loads(b"".join(whole.pieces))
        return http.response(200, json.dumps(told, indent=8).encode())


def test_an_indented_list_of_3200_workers_is_taken(tmp_path: Path) -> None:
    """More than a megabyte: the list that the process starts with, then the change that comes with it."""
    workers = fleet("r1", "w1")
    discovery = Indented(workers)
    for number in range(3198):
        discovery.members.append(
            workers[0].member
            | {
                "id": f"s-{number:08x}",
                "phase": "draining",
                "locality": "hall-east",
                "up_since_ms": 1_764_669_135_000,
            }
        )
    with RunningGateway(tmp_path, workers, discovery=discovery) as gateway:
        discovery.tell("w1", phase="draining")
        discovery.behave = lambda found, call: False
        discovery.taken()
        gateway.looked()
