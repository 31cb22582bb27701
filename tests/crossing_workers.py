"""Stand-in prefill and decode workers: each attempt is noted from its first byte on, and answered by a script
or by the test, which holds it at a barrier."""

import socket
import threading
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

from crossing_sockets import PATIENCE, prompt, reset, wait_for
from platform_script import LAST, READ, STREAM, USAGE

from stackpitch.wire import http

STREAM_HEAD = http.head(200, [("content-type", "text/event-stream"), ("transfer-encoding", "chunked")])
STREAM_END = USAGE + LAST
RELEASE = b"DELETE "
DECLINED = http.response(503, b"", [("srv-declined", "1")])


@dataclass
class Attempt:
    """A request that begins to come in at a worker. `whole` is 0 until its last byte came."""

    worker: "Worker"
    stream: socket.socket
    connection: int  # number of its connection at the worker
    began: float
    whole: float = 0.0
    method: str = ""
    path: str = ""
    name: str = ""
    deadline_ms: int = 0
    taken: bool = False  # given out by `next`
    over: threading.Event = field(default_factory=threading.Event)

    def send(self, data: bytes) -> None:
        with suppress(OSError):
            self.stream.sendall(data)

    def answer(self, data: bytes) -> None:
        """Of a held one: its answer whole; the connection then takes further attempts."""
        self.send(data)
        self.over.set()

    def reset(self) -> None:
        reset(self.stream)
        self.over.set()

    def close(self) -> None:
        """Ends the connection without a reset."""
        with suppress(OSError):
            self.stream.shutdown(socket.SHUT_RDWR)
        self.over.set()


Script = Callable[[Attempt], None]


def read(attempt: Attempt) -> None:
    attempt.send(READ)


def stream(attempt: Attempt) -> None:
    attempt.send(STREAM)


def held(attempt: Attempt) -> None:
    """The test answers it, and nobody waits in its socket until then: a reset is one at once."""
    attempt.over.wait(4 * PATIENCE)


def decline(attempt: Attempt) -> None:
    attempt.send(DECLINED)


def break_off(attempt: Attempt) -> None:
    attempt.reset()


class Worker:
    """A prefill (`r...`) or decode (`w...`) worker. `script` answers each attempt; `DELETE` is answered by
    itself.

    `begun`: all attempts from their first byte on, releases apart; `came`: told of each that is whole.
    """

    def __init__(self, name: str, script: Script | None = None, full: bool = False, port: int = 0) -> None:
        self.name = name
        self.script: Script = script if script is not None else read if name[0] == "r" else stream
        self.begun: list[Attempt] = []
        self.released: list[str] = []
        self.releases: list[tuple[str, float]] = []  # names and times
        self.released_at: dict[str, float] = {}  # when the first release of each name came
        self.running = threading.Event()  # while it is not set, what reaches its socket is not taken
        self.running.set()
        self.dead: set[int] = (
            set()
        )  # numbers of connections on which nothing is taken; nobody tells their other side
        self.came = threading.Condition()
        self.connections = 0
        self.fillers: list[socket.socket] = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(0 if full else 512)
        self.port = self.listener.getsockname()[1]
        self.member = {
            "id": name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "a",
            "flavor": name[0],
            "cell": 1,
            "phase": "up",
            "size": 1.0,
            "up_since_ms": 0,
        }
        if full:
            self.fillers.append(socket.create_connection(("127.0.0.1", self.port), 5))
        else:
            self.accept()

    def accept(self) -> None:
        """From now on connections are taken; those of a full backlog come about as the system tries them
        again."""
        self.listener.listen(512)
        threading.Thread(target=self._serve, daemon=True).start()

    def connecting(self) -> int:
        """How many connections to it are in the making: their first packets are out and unanswered."""
        far = f"0100007F:{self.port:04X}"
        with open("/proc/net/tcp") as table:
            return sum(words[2] == far and words[3] == "02" for words in map(str.split, table))

    def _serve(self) -> None:
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            prompt(stream)
            self.connections += 1
            threading.Thread(target=self._connection, args=(stream, self.connections), daemon=True).start()

    def close(self) -> None:
        """Refuses from now on; what is connected stays."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _connection(self, stream: socket.socket, number: int) -> None:
        with suppress(OSError):
            while True:
                reader, attempt = http.RequestParser(1 << 16, 1 << 20), None
                head, told = b"", False
                while not reader.complete:
                    data = stream.recv(65536)
                    self.running.wait(4 * PATIENCE)
                    if number in self.dead:
                        time.sleep(4 * PATIENCE)
                        return
                    now = time.monotonic()
                    if not data:
                        return
                    if attempt is None:
                        attempt = Attempt(self, stream, number, now)
                    head = (head + data)[: len(RELEASE)]  # its first bytes may come one by one
                    if not told and not RELEASE.startswith(head):
                        told = True
                        self.begun.append(attempt)
                    reader.feed(data)
                    attempt.name = reader.headers.get("req-id", "")
                assert attempt is not None
                attempt.method, attempt.path = reader.method, reader.path
                attempt.name = reader.headers.get("req-id") or reader.path.rpartition("/")[2]
                if attempt.method == "DELETE":
                    self.released.append(attempt.name)
                    self.releases.append((attempt.name, time.monotonic()))
                    self.released_at.setdefault(attempt.name, time.monotonic())
                    attempt.send(http.response(204, b""))
                    continue
                attempt.deadline_ms = int(reader.headers["req-deadline-ms"])
                with self.came:
                    attempt.whole = time.monotonic()
                    self.came.notify_all()
                self.script(attempt)

    def next(self, name: str = "", limit: float = PATIENCE) -> Attempt:
        """The next whole attempt that was not asked for yet, of that request if it is named."""

        def fitting() -> Attempt | None:
            return next(
                (one for one in self.begun if one.whole and not one.taken and name in ("", one.name)), None
            )

        with self.came:
            assert self.came.wait_for(lambda: fitting() is not None, limit), (
                f"no attempt of {name or 'any request'} at {self.name} within {limit} s"
            )
            attempt = fitting()
            assert attempt is not None
            attempt.taken = True
            return attempt

    def attempts(self, name: str) -> list[Attempt]:
        return [one for one in list(self.begun) if one.name == name]


def attempt_anywhere(workers: Sequence[Worker], name: str) -> Attempt:
    """The first of that request, at whichever worker it comes."""

    def come() -> list[Attempt]:
        return [one for worker in workers for one in worker.attempts(name) if one.whole]

    wait_for(lambda: bool(come()), f"no attempt of {name} at {[one.name for one in workers]}")
    return come()[0]


def fleet(*scripts: str) -> list[Worker]:
    """Workers by name; those with a star hold their attempts."""
    return [Worker(one.rstrip("*"), held if one.endswith("*") else None) for one in scripts]
