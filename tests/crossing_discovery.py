"""A stand-in discovery that answers whole lists and watches, or a call of the test's choice in another
way."""

import itertools
import json
import socket
import threading
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from crossing_sockets import PATIENCE, listening_port, prompt
from crossing_workers import Worker

from stackpitch.wire import http


@dataclass
class Call:
    """A call of discovery's. `number` counts those of one connection, `connection` all connections, both from
    1."""

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
                reader = http.RequestParser(4096, 0)
                while not reader.complete:
                    if not (data := stream.recv(4096)):
                        return
                    reader.feed(data)
                query = dict(part.partition("=")[::2] for part in reader.query.split("&"))
                call = Call(
                    stream,
                    connection,
                    number,
                    int(query.get("since", -1)),
                    int(query.get("timeout_ms", 0)) / 1000,
                )
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
            found = (
                list(self.members) if whole else [one for revision, one in self.news if revision > call.since]
            )
            return http.response(
                200, json.dumps({"revision": self.revision, "complete": whole, "members": found}).encode()
            )

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
            assert self.changed.wait_for(seen, limit), (
                f"revision {self.revision} was not taken within {limit} s"
            )
