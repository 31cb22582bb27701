"""Stand-ins for tests that let two events cross at a real gateway process.

`Worker` (a prefill or decode worker), `ListDiscovery` and `Client` hold at a barrier and act only on what is seen on
sockets: an attempt's first byte, a call, a connection. `RunningGateway.stopped` stops the process, so that events put
into its sockets meanwhile are found in one turn of its loop. Every wait has an end and says what did not come.
"""

import fcntl
import itertools
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import termios
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from platform_process import Gateway, waited
from platform_script import BODY, LAST, READ, STREAM, USAGE, event

from stackpitch.wire import http

PATIENCE = 8.0  # seconds after which a wait for something that is due fails
GRACE = 0.1  # seconds after a client has left in which an attempt that crossed its leaving may still begin
STREAM_HEAD = http.head(200, [("content-type", "text/event-stream"), ("transfer-encoding", "chunked")])
STREAM_END = USAGE + LAST
DECLINED = http.response(503, b"", [("srv-declined", "1")])
ABORT = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
TCP_CLOSE = 7  # a socket's state once it was reset
FIRST_PORT, PORTS = 15_000, 15_000  # below those that the system gives to connections

_numbers = itertools.count(os.getpid() % 1000 * 1_000_000)
_ports = itertools.count(os.getpid() * 97)


def fresh_id() -> str:
    return f"{next(_numbers):016x}"


def listening_port() -> int:
    """One that no connection is given by the system between this look and its use."""
    for _ in range(200):
        port = FIRST_PORT + next(_ports) % PORTS
        with socket.socket() as one:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with suppress(OSError):
                one.bind(("127.0.0.1", port))
                return port
    raise AssertionError("no port is free")


def wait_for(what: Callable[[], bool], failure: str, limit: float = PATIENCE) -> None:
    assert waited(what, limit), f"{failure} within {limit} s"


def reset(stream: socket.socket) -> None:
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
    stream.close()


def prompt(stream: socket.socket) -> None:
    """Small parts go out at once: else the system keeps one back until the other side acknowledges the last, which may be
    with its next request."""
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def wait_delivered(stream: socket.socket) -> None:
    """Until the other side's system has all that was written, and the end if that was."""
    def unacknowledged() -> int:
        return int.from_bytes(fcntl.ioctl(stream, termios.TIOCOUTQ, bytes(4)), sys.byteorder)

    wait_for(lambda: not unacknowledged(), "what was written does not reach the gateway's socket")


def chat_request(name: str, product: str = "chat", limit_ms: int = 8000, body: bytes = BODY,
                 extra: str = "prompt_len=500,max_out=50") -> bytes:
    return http.request("POST", "/v1/chat/completions", "a", body, [
        ("req-id", name), ("req-kind", product), ("req-deadline-ms", str(limit_ms)), ("req-extra", extra)])


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
    """A prefill (`r...`) or decode (`w...`) worker. `script` answers each attempt; `DELETE` is answered by itself.

    `begun`: all attempts from their first byte on, releases apart; `came`: told of each that is whole.
    """

    def __init__(self, name: str, script: Script | None = None, full: bool = False, port: int = 0) -> None:
        self.name = name
        self.script: Script = script if script is not None else read if name[0] == "r" else stream
        self.begun: list[Attempt] = []
        self.released: list[str] = []
        self.came = threading.Condition()
        self.connections = 0
        self.fillers: list[socket.socket] = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(0 if full else 512)
        self.port = self.listener.getsockname()[1]
        self.member = {"id": name, "host_port": f"127.0.0.1:{self.port}", "locality": "a", "flavor": name[0], "cell": 1,
                       "phase": "up", "size": 1.0, "up_since_ms": 0}
        if full:
            self.fillers.append(socket.create_connection(("127.0.0.1", self.port), 5))
        else:
            self.accept()

    def accept(self) -> None:
        """From now on connections are taken; those of a full backlog come about as the system tries them again."""
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
                reader, attempt = http.RequestReader(1 << 16, 1 << 20), None
                while not reader.complete:
                    data = stream.recv(65536)
                    now = time.monotonic()
                    if not data:
                        return
                    if attempt is None:
                        attempt = Attempt(self, stream, number, now)
                        if not data.startswith(b"DELETE "):
                            self.begun.append(attempt)
                    reader.feed(data)
                    attempt.name = reader.headers.get("req-id", "")
                assert attempt is not None
                attempt.method, attempt.path = reader.method, reader.path
                attempt.name = reader.headers.get("req-id") or reader.path.rpartition("/")[2]
                if attempt.method == "DELETE":
                    self.released.append(attempt.name)
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
            return next((one for one in self.begun if one.whole and not one.taken and name in ("", one.name)), None)

        with self.came:
            assert self.came.wait_for(lambda: fitting() is not None, limit), (
                f"no attempt of {name or 'any request'} at {self.name} within {limit} s")
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


@dataclass
class Call:
    """A call of discovery's. `number` counts those of one connection, `connection` all connections, both from 1."""

    stream: socket.socket
    connection: int
    number: int
    since: int  # -1: the whole list is asked for
    wait: float
    at: float = field(default_factory=time.monotonic)


Behaviour = Callable[["ListDiscovery", Call], bool]


class ListDiscovery:
    """Discovery. `behave` may answer a call in its own way and return True; else it is answered well."""

    def __init__(self, workers: Sequence[Worker]) -> None:
        self.revision = 1
        self.members: list[dict[str, Any]] = [dict(one.member) for one in workers]
        self.news: list[tuple[int, dict[str, Any]]] = []
        self.changed = threading.Condition()
        self.calls: list[Call] = []
        self.behave: Behaviour = lambda discovery, call: False
        self.connections = 0
        self.streams: list[socket.socket] = []
        self.port = 0
        self.up()

    def up(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port or listening_port()))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._serve, args=(self.listener,), daemon=True).start()

    def down(self) -> None:
        """Refuses, and ends what is connected."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for one in self.streams:
            with suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)

    def _serve(self, listener: socket.socket) -> None:
        while True:
            try:
                stream, _ = listener.accept()
            except OSError:
                return
            prompt(stream)
            self.connections += 1
            self.streams.append(stream)
            threading.Thread(target=self._connection, args=(stream, self.connections), daemon=True).start()

    def _connection(self, stream: socket.socket, connection: int) -> None:
        with suppress(OSError):
            for number in itertools.count(1):
                reader = http.RequestReader(4096, 0)
                while not reader.complete:
                    if not (data := stream.recv(4096)):
                        return
                    reader.feed(data)
                query = dict(part.partition("=")[::2] for part in reader.query.split("&"))
                call = Call(stream, connection, number, int(query.get("since", -1)), int(query.get("timeout_ms", 0)) / 1000)
                with self.changed:
                    self.calls.append(call)
                    self.changed.notify_all()
                if not self.behave(self, call):
                    stream.sendall(self.answer(call))

    def answer(self, call: Call) -> bytes:
        """Waits as a watch does, until there is news or its time is over."""
        with self.changed:
            self.changed.wait_for(lambda: call.since != self.revision, call.wait if call.since >= 0 else 0)
            whole = call.since < 0 or call.since > self.revision
            found = list(self.members) if whole else [one for revision, one in self.news if revision > call.since]
            return http.response(200, json.dumps(
                {"revision": self.revision, "complete": whole, "members": found}).encode())

    def tell(self, name: str, **fields: object) -> float:
        """Changes a member, or with `phase="removed"` takes it off the list; when that was."""
        with self.changed:
            member = next((one for one in self.members if one["id"] == name), None)
            if member is None:
                member = {"id": name}
                self.members.append(member)
            member.update(fields)
            self.revision += 1
            self.news.append((self.revision, dict(member)))
            if member.get("phase") == "removed":
                self.members.remove(member)
            self.changed.notify_all()
        return time.monotonic()

    def taken(self, limit: float = PATIENCE) -> None:
        """Until a watch since the newest revision shows that a gateway took it."""
        def seen() -> bool:
            return any(one.since == self.revision for one in self.calls)

        with self.changed:
            assert self.changed.wait_for(seen, limit), f"revision {self.revision} was not taken within {limit} s"


@dataclass
class Answer:
    """What a client got. `ending`: of its connection: open, end or reset; `late`: bytes after the answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    ending: str


class Client:
    """A client by a blocking socket. `pieces`: what came, with the time at which it did."""

    def __init__(self, port: int, small: bool = False) -> None:
        self.name = ""
        self.pieces: list[tuple[float, bytes]] = []
        self.socket = socket.socket()
        if small:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.settimeout(PATIENCE)
        self.socket.connect(("127.0.0.1", port))
        prompt(self.socket)
        self.asked = 0.0

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def ask(self, product: str = "chat", limit_ms: int = 8000, more: bytes = b"", **fields: Any) -> "Client":
        self.name = fresh_id()
        self.send(chat_request(self.name, product, limit_ms, **fields) + more)
        self.asked = time.monotonic()
        return self

    def leave(self, how: str) -> float:
        """`close`, `reset`, or `half`: only its sending ends; when that was done."""
        if how == "half":
            self.socket.shutdown(socket.SHUT_WR)
        elif how == "reset":
            reset(self.socket)
        else:
            self.socket.close()
        return time.monotonic()

    def answer(self, limit: float = PATIENCE, until: Callable[[bytes], bool] | None = None) -> Answer:
        """The next answer; part of it if `until` says of the body that it is enough, or if the connection ended."""
        reader, body, ending = http.ResponseReader(1 << 16, 1 << 26), b"", "open"
        end = time.monotonic() + limit
        while not reader.complete and not (until is not None and until(body)):
            self.socket.settimeout(max(0.01, end - time.monotonic()))
            try:
                data = self.socket.recv(65536)
            except TimeoutError:
                raise AssertionError(f"no whole answer to {self.name} within {limit} s, only {body[:200]!r}") from None
            except OSError:
                ending = "reset"
                break
            self.pieces.append((time.monotonic(), data))
            if not data:
                ending = "end"
                break
            reader.feed(data)
            body += b"".join(reader.pieces)
        return Answer(reader.status if reader.head_done else 0, dict(reader.headers), body, reader.complete, ending)

    def ended(self, limit: float = PATIENCE) -> tuple[str, bytes]:
        """How the connection ends, and what came before that."""
        got, end = b"", time.monotonic() + limit
        while True:
            self.socket.settimeout(max(0.01, end - time.monotonic()))
            try:
                data = self.socket.recv(65536)
            except TimeoutError:
                raise AssertionError(f"the connection does not end within {limit} s") from None
            except OSError:
                return "reset", got
            if not data:
                return "end", got
            got += data

    def reset_follows(self, within: float = 0.05) -> bool:
        """Whether a reset has come, perhaps behind the end. It does no harm here, where what was sent is there at once, but
        elsewhere it would overtake an answer. To be asked of one that has not ended its sending."""
        def closed() -> bool:
            return bool(self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE)

        return waited(closed, within)

    def rest_of_answer(self, limit: float = PATIENCE) -> bytes:
        """Of a chunked answer, to its last chunk or the connection's end."""
        got, end = b"", time.monotonic() + limit
        while not got.endswith(http.LAST_CHUNK):
            self.socket.settimeout(max(0.01, end - time.monotonic()))
            data = self.socket.recv(65536)
            if not data:
                break
            got += data
        return got

    def close(self) -> None:
        self.socket.close()


class RunningGateway(Gateway):
    """A gateway that has taken up the list of its workers and serves."""

    def __init__(self, folder: Path, workers: Sequence[Worker], sockets: int = 256, discovery: ListDiscovery | None = None,
                 wait: bool = True, **settings: object) -> None:
        folder.mkdir(exist_ok=True)
        self.workers, self.folder = workers, folder
        self.discovery = discovery if discovery is not None else ListDiscovery(workers)
        super().__init__(folder, self.discovery, sockets, max(sockets, 64), listening_port(), **settings)  # type: ignore[arg-type]
        if wait:
            self.discovery.taken()

    def client(self, small: bool = False) -> Client:
        return Client(self.port, small)

    def ask(self, product: str = "chat", limit_ms: int = 8000, **fields: Any) -> Client:
        return self.client().ask(product, limit_ms, **fields)

    def served(self) -> None:
        """One request of somebody else's is answered: whatever reached the gateway before it has been looked at."""
        one = self.ask()
        answer = one.answer()
        one.close()
        assert (answer.status, answer.whole) == (200, True), f"another client's request got {answer}"

    def looked(self) -> None:
        """It has answered a call that came after whatever was in its sockets; no worker is asked for it."""
        one = self.client()
        one.send(b"GET /-/healthy HTTP/1.1\r\nhost: a\r\n\r\n")
        answer = one.answer()
        one.close()
        assert answer.whole, f"the gateway's health got {answer}"

    def signal(self, number: int) -> None:
        os.kill(self.process.pid, number)

    def _is_stopped(self) -> bool:
        return Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T"

    @contextmanager
    def stopped(self, at_least: float = 0.0) -> Iterator[None]:
        """What is put into its sockets meanwhile is found in one turn of its loop; it stays so for a time after the last."""
        self.signal(signal.SIGSTOP)
        try:
            wait_for(self._is_stopped, "the process does not stop")
            yield
            time.sleep(at_least)
        finally:
            self.signal(signal.SIGCONT)

    def exit_code(self, limit: float = PATIENCE) -> int:
        wait_for(lambda: self.process.poll() is not None, "the gateway does not end", limit)
        return int(self.process.returncode)

    def no_attempt_since(self, name: str, since: float, watched: float = 0.25) -> None:
        """No attempt of that request has begun over `GRACE` after `since`, nor does one for a while longer, though whatever was
        in the gateway's sockets has been looked at."""
        self.looked()
        until = time.monotonic() + watched
        while True:
            late = [(one.worker.name, round(one.began - since, 3)) for worker in self.workers for one in worker.attempts(name)
                    if one.began > since + GRACE]
            assert not late, f"attempts began so many seconds later: {late}"
            if time.monotonic() > until:
                return
            time.sleep(0.02)


@contextmanager
def flooded(port: int, kind: str) -> Iterator[None]:
    """By another process, from when it has come through to the gateway's port; see `crossing_flood.py`."""
    flood = subprocess.Popen([sys.executable, str(Path(__file__).with_name("crossing_flood.py")), str(port), kind],
                             stdin=subprocess.PIPE)
    try:
        yield
        assert flood.poll() is None, "the flood has ended by itself"
    finally:
        assert flood.stdin is not None
        flood.stdin.close()
        flood.wait(PATIENCE)


def side_by_side(case: Callable[[Path, Any], None], folder: Path, cases: Sequence[Any]) -> None:
    """Plays `case(folder, one)` for all of them at once, each with a folder of its own; fails with all that failed."""
    failed: dict[str, str] = {}

    def play(number: int, one: Any) -> None:
        try:
            case(folder / str(number), one)
        except Exception as wrong:
            failed[str(one)] = f"{type(wrong).__name__}: {wrong}"

    threads = [threading.Thread(target=play, args=given, daemon=True) for given in enumerate(cases)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(8 * PATIENCE)
        assert not thread.is_alive(), "a case does not end"
    assert not failed, "\n".join(f"{name}: {wrong}" for name, wrong in failed.items())


def in_body(part: bytes) -> Callable[[bytes], bool]:
    return lambda body: part in body


def words(count: int, mark: str = "w") -> list[bytes]:
    return [event(f"{mark}{number}") for number in range(count)]
