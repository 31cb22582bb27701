"""Several gateways as processes, with duties. What is judged is what their logs and other gateways' answers say of effects."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections import Counter
from pathlib import Path

import msgspec

from stackpitch.duties.calls import ANSWER_DECODER, FORMAT_VERSION, Answer, Call, Stamp, encode_body

ROOT = Path(__file__).parent.parent
LEASE_MS = 1000


BLOCK = 64  # ports of one fleet: gateways, the network between up to six of them, one more


def free_block() -> int:
    """The first of so many ports that nobody listens on, below those of rehearsed days and of outgoing connections."""
    first = os.getpid() * 97 % 100
    for step in range(100):
        base = 10_000 + (first + step) % 100 * BLOCK
        if all(map(free, range(base, base + BLOCK))):
            return base
    raise AssertionError("no free ports")


def free(port: int) -> bool:
    with socket.socket() as one:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            one.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


class Fleet:
    """`ports`: admin ports by number. `seen`: lets a stand-in lie in between, by (from, to)."""

    def __init__(
        self,
        folder: Path,
        gateways: int,
        voters: list[int],
        names=("weights",),
        broken: str | None = None,
        **duties,
    ):
        self.folder, self.voters, self.names, self.broken, self.duties = (
            folder,
            voters,
            list(names),
            broken,
            duties,
        )
        base = free_block()
        self.ports = [base + 2 * number for number in range(gateways)]
        self.beside = base + BLOCK - 1  # for one more process
        self.processes: dict[int, subprocess.Popen] = {}
        self.starts: Counter[int] = Counter()  # of each gateway
        self.paths: dict[tuple[int, int], int] = {}
        (folder / "fleet").write_text(
            json.dumps(
                {
                    "version": 1,
                    "servers": [
                        {"name": "r1", "host": "127.0.0.1", "port": 9, "kind": "r"},
                        {"name": "w1", "host": "127.0.0.1", "port": 10, "kind": "w"},
                    ],
                }
            )
        )

    def __enter__(self):
        return self

    def between(self) -> None:
        """A stand-in network between all admin ports, a port for each pair and direction; before any gateway starts."""
        size = len(self.ports)
        self.paths = {
            (one, other): self.ports[0] + 2 * size + 1 + one * size + other
            for one in range(size)
            for other in range(size)
            if one != other
        }
        self.control = self.ports[0] + 2 * size
        path = self.folder / "network.json"
        path.write_text(
            json.dumps(
                {
                    "port": self.control,
                    "records": str(self.folder / "network.jsonl"),
                    "links": [
                        {"sender": one, "to": other, "port": port, "target": ["127.0.0.1", self.ports[other]]}
                        for (one, other), port in self.paths.items()
                    ],
                }
            )
        )
        self.processes[-1] = subprocess.Popen(
            [sys.executable, "-m", "stackpitch", "network", str(path)], cwd=ROOT
        )

    def fault(self, name: str, paths: list[tuple[int, int]], kind: str = "cut", on: bool = True) -> None:
        body = json.dumps({"name": name, "on": on, "kind": kind, "paths": paths}).encode()
        urllib.request.urlopen(
            urllib.request.Request(f"http://127.0.0.1:{self.control}/fault", body), timeout=3
        ).read()

    def seen(self, what: str, **facts) -> list[dict]:
        """What the network recorded."""
        lines = [
            json.loads(line)
            for line in (self.folder / "network.jsonl").read_text().splitlines()
            if line.endswith("}")
        ]
        return [
            one
            for one in lines
            if one["what"] == what and all(one.get(name) == fact for name, fact in facts.items())
        ]

    def __exit__(self, *_):
        for process in self.processes.values():
            process.kill()
            process.wait()

    def settings(self, number: int) -> dict:
        return {
            "name": f"g{number}",
            "roster": str(self.folder / "fleet"),
            "door": {"port": self.ports[number] + 1},
            "admin": {"port": self.ports[number]},
            "module": {"gateways": len(self.ports), "number": number},
            "peers": {
                "admin": [
                    f"127.0.0.1:{self.paths.get((number, other), port)}"
                    for other, port in enumerate(self.ports)
                ]
            },
            "kinds": {
                "r": {"role": "reader", "memory_tok": 1000},
                "w": {"role": "writer", "memory_tok": 1000},
            },
            "products": {"ask": {"effect": "idempotent", "slo_ms": 500, "time_limit_ms": 1000}},
            "stop": {"finish_ms": 500},
            "duties": {
                "fleet": "hall",
                "voters": self.voters,
                "names": self.names,
                "lease_ms": LEASE_MS,
                "call_ms": 200,
                "file": str(self.folder / f"votes{number}"),
            }
            | self.duties,
        }

    def start(self, *numbers: int, broken: str | None = None) -> None:
        for number in numbers:
            path = self.folder / f"g{number}.json"
            path.write_text(json.dumps(self.settings(number)))
            words = ["serve", "-c", str(path)] if broken is None else ["broken", broken, "-c", str(path)]
            self.starts[number] += 1
            with open(self.folder / f"g{number}.log", "ab") as log:
                self.processes[number] = subprocess.Popen(
                    [sys.executable, "-m", "stackpitch", *words], cwd=ROOT, stderr=log, stdout=log
                )

    def signal(self, number: int, what: int) -> None:
        self.processes[number].send_signal(what)
        if what == signal.SIGKILL:
            self.processes[number].wait()

    def stopped(self, number: int) -> bool:
        return (
            Path(f"/proc/{self.processes[number].pid}/stat").read_text().rpartition(")")[2].split()[0] == "T"
        )

    def log(self, number: int) -> list[dict]:
        path = self.folder / f"g{number}.log"
        lines = path.read_bytes().splitlines() if path.exists() else []
        found = []
        for line in lines:
            try:
                found.append(json.loads(line))
            except ValueError:
                found.append({"event": "?", "text": line.decode(errors="replace")})
        return found

    def words(self, event: str = "duty", duty: str = "weights") -> list[tuple[str, int, dict]]:
        """All gateways' lines on a duty by time: (word, number, line)."""
        found = [
            (line.get("word", ""), number, line)
            for number in range(len(self.ports))
            for line in self.log(number)
            if line.get("event") == event and line.get("duty", duty) == duty
        ]
        return sorted(found, key=lambda one: one[2]["timestamp"])

    def owner(self, duty: str = "weights") -> tuple[int, str] | None:
        """Number and term of the one that took it last and has not stepped down."""
        now: dict[str, int] = {}
        for word, number, line in self.words(duty=duty):
            if word == "owner":
                now[line["term"]] = number
            elif word == "stepped down":
                now.pop(line["term"], None)
        alive = {
            term: number
            for term, number in now.items()
            if number in self.processes and self.processes[number].poll() is None
        }
        return max(
            ((number, term) for term, number in alive.items()), key=lambda one: order(one[1]), default=None
        )

    def wait(self, what, limit: float = 8.0, why: str = ""):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if found := what():
                return found
            time.sleep(0.02)
        raise AssertionError(why or "it did not come about", self.tail())

    def new_owner(self, but: str | None = None, limit: float = 8.0, duty: str = "weights") -> tuple[int, str]:
        """Once one owns it under a later term than `but`, with its record read."""

        def there():
            found = self.owner(duty)
            if found and (but is None or order(found[1]) > order(but)):
                return (
                    found
                    if any(
                        word == "record" and line["term"] == found[1]
                        for word, _, line in self.words(duty=duty)
                    )
                    else None
                )
            return None

        return self.wait(there, limit, f"no owner of {duty} after {but}")

    def tail(self) -> str:
        return "\n".join(
            json.dumps(line) for number in range(len(self.ports)) for line in self.log(number)[-8:]
        )

    def call(
        self,
        to: int,
        kind: str,
        term: int = 0,
        start: int = 0,
        duty: str = "weights",
        sender: int | None = None,
        body=None,
        fleet: str = "hall",
        form: int = FORMAT_VERSION,
        addressed: int | None = None,
    ) -> Answer | str:
        """As another gateway would send it; the text of what is wrong if it was dropped."""
        sender = sender if sender is not None else (to + 1) % len(self.ports)
        call = Call(
            form,
            fleet,
            sender,
            addressed if addressed is not None else to,
            duty,
            kind,
            Stamp(term, start),
            encode_body(body),
        )
        return self.post(to, msgspec.json.encode(call))

    def post(self, to: int, data: bytes) -> Answer | str:
        request = urllib.request.Request(f"http://127.0.0.1:{self.ports[to]}/duty", data, method="POST")
        try:
            return ANSWER_DECODER.decode(urllib.request.urlopen(request, timeout=3).read())
        except urllib.error.HTTPError as wrong:
            return wrong.read().decode()
        except urllib.error.URLError as wrong:  # closed before all was sent
            return f"closed: {wrong.reason}"


def order(term: str) -> tuple[int, ...]:
    return tuple(int(part) for part in term.split("."))


def number_of(term: str) -> int:
    generation, count, owner = order(term)
    return generation << 48 | count << 10 | owner
