"""Plays scenarios: a platform gateway with scripted servers, clients and discovery, in virtual time.

config sockets=64 restart=0     fields of the configuration, before anything else
fleet r1 w1 w2                  starts scripted servers and the gateway; the letter is the role
server w1 reset ok              what it does with its next legs, the last for all that follow; see `act`
server w1 takes 300 400         reads 300 bytes of each request, the rest 400 ms after its connection was made
server w1 dead | cut-off | back connections to it are refused, time out, or work again; `up-after 150`: are made 150 ms late
list w1 draining | removed | up discovery has a change; `list whole`: it sends the complete list at a lower revision
settings discovery=on_request   fields of the settings, before the fleet
discovery silent | speaks | moves       stops answering, answers again, moves to another address and writes it to the file
discovery slow 3500             answers, with the list as of the call or the news, come so many ms later
discovery resets                its connections are reset
discovery forgets               calls in progress are never answered, later ones are
discovery down | up | cut-off | back    connections are refused and reset, or time out
discovery next never cut ok     how its next calls are answered; see `answer_as`
starve 300 100                  the gateway's process is stopped for 300 ms, runs for 100 ms, and so on
ask a chat with=idempotency-key:7f,x-a:1    with further header fields; `> passed-on a idempotency-key:7f`: each attempt had it
ask a chat limit=900 extra=...  a client sends a request for chat, pay or order; retry=1; id=b: the id of another; key=s: a session;
                                pad=900: a longer body; reads=1/3000: it reads a byte each 3 s
raw a POST /v1 HTTP/1.1\\r\\n   sends bytes on a new connection; {id} is a new id, {mb} a megabyte
then a chat                     another request on the same connection after the complete answer; `again`: at once
ask a chat owner=acme           with a tenant; `then` and `again` take the same words
reload settings.bounds.maxAttempts=2 settings.classes.0=gone    changes the file, by path and JSON without blanks, and sends SIGHUP; then=term: followed by SIGTERM at once
quiet a                         opens a connection and sends nothing
open a                          opens a connection that neither sends nor reads until `again a chat`
leave a | leave a half | leave a reset      the client closes its connection, half-closes it, resets it
more a 500                      sends 500 bytes after its request; `second a`: a complete second request
budget 1                        from now on at most one connection to servers may be open
bytes a POST /v1 ...            as `raw`, further bytes on the same connection
rest a -3                       waits until its idle time is over, here 3 ticks less
meanwhile quiet d               runs a line in parallel
wait 100 | ticks 3 | signal hup | term | stop | cont
file {not json                  writes this text to the configuration file
module hold a w1                calls the host as the decision module would
many 300 chat                   300 requests, each after the answer to the one before
> a streamed | throttled 0.5 | failed | broken | 400 | closed      how it ended, with its retry-after
> words a 5 | legs a r1 w1 | released a | held a w1 | nothing-after a | exit 0
> ready-within 510              ms from the gateway's start until it was ready
> attempts a 1                  number of attempts at any server
> outcomes a read not-sent      of its attempts, in order, once it is over
> deadlines a 2 15              number of attempts, each with a deadline of at most what the client has left and 15 ms
> half-written a w 300 or-none  one server of that role got 300 bytes of its request and no more; `or-none`: or no server got any
> clean a                       its connection was closed, not reset
> answered-or-unread a          a complete answer, which announces a shutdown; or a clean close, and no server got its request
> within 900                    ms from the last ask, raw or quiet to the last end
> told 5000 r1 w2*              the ready servers (*: with a start time), at most 5000 ms after the last change or discovery's return
> called 10                     at most 10 calls to discovery since the last change or return
> said discovery_lost 1 [WORD]  number of log lines by event, and a text in the last one
> believes w1 held=0.3          the share of memory that the module believes others hold there
> deadline a 900                the longest deadline that its attempts carried, in ms, or up to 120 ms less
> sent-on a                     its servers got its own head and body, and no further fields
> fields a content-type content-length      of its last answer's head, all of them
> echoed a                      its last answer contains its own id and no other
> behind a 400                  status of a further answer after the last
> facts a product=chat effect=idempotent owner=acme quota=5     what the gateway knows of it while it is in progress
> module kept | new             since the last reload
> modules 2                     in use; earlier ones have been freed
> server w1 mixed 5000          role and memory
> reused w1 2                   at least 2 connections to it were reused
> idle                          no generation, call, leg or request is left
> buffered 132000               at most so many bytes, and not none, are buffered for the slowest client
> sockets 40                    at most 40 connections are open
> open clients 4                number of client connections
> tables 60                     at most 60 rows in all tables of host and module
"""

import json
import signal
import weakref
from copy import deepcopy
from pathlib import Path
from typing import Any

from platform_discovery import ScriptedDiscovery
from platform_expect import Expectations
from platform_script import BODY, DISCOVERY, DOOR, SETTINGS, Client, ScriptedServer

from stackpitch.loop import MS, SECOND, ConnectFailed, ConnectionLost, Coro, Group, Stream
from stackpitch.loop.virtual import EPOCH_MS, VirtualWorld
from stackpitch.platform.serve import serve
from stackpitch.wire import http, sse


def changed(tree: dict[str, Any], changes: dict[str, str]) -> dict[str, Any]:
    """A copy with values, as JSON, set by path (`a.b.0`). The index after the last extends a list; `gone` removes."""
    tree = deepcopy(tree)
    for path, value in changes.items():
        *parts, last = path.split(".")
        at: Any = tree
        for part in parts:
            at = at[int(part)] if isinstance(at, list) else at[part]
        place: Any = int(last) if isinstance(at, list) else last
        if value == "gone":
            del at[place]
        elif isinstance(at, list) and place == len(at):
            at.append(json.loads(value))
        else:
            at[place] = json.loads(value)
    return tree


class Stage(ScriptedDiscovery, Expectations):
    """Plays one scenario."""

    def __init__(self, folder: Path) -> None:
        self.file = folder / "config.json"
        self.world = VirtualWorld(
            7, programs=lambda command: serve(self.world, {"RELAY_CONFIG": str(self.file)}, self.ready)
        )
        self.servers: dict[str, ScriptedServer] = {}
        self.members: dict[str, dict[str, Any]] = {}
        self.clients: dict[str, Client] = {}
        self.limits = {"sockets": 256, "memory_mb": 64}
        self.opened = self.count = self.asked_at = self.ready_after = 0
        self.delay = 0  # of discovery's answers
        self.revision, self.news, self.silent = 10, list[tuple[int, dict[str, Any]]](), False
        self.port, self.epoch, self.answer_kinds, self.calls = DISCOVERY, 0, list[str](), 0
        self.listeners: dict[int, Any] = {}  # discovery's, by port
        self.watching: dict[Stream, int] = {}  # connections of discovery's, by port
        self.bodies: dict[str, bytes] = {}  # of requests, by id
        self.outcomes: dict[str, list[str]] = {}  # of attempts, by the id of a request that has ended
        self.changed_at = 0  # when discovery had the last change, or could be reached again
        self.settings = SETTINGS
        self.changes: dict[str, str] = {}  # of the configuration, by path
        self.modules: list[weakref.ref[Any]] = []  # the one in use before each reload
        self.lines: list[tuple[str, dict[str, Any]]] = []  # of the log
        self.host: Any = None

    def ready(self, host: Any, door: Any) -> None:
        self.host, self.door = host, door
        write = host.logger._write

        def note(level: str, event: str, fields: dict[str, Any]) -> None:
            self.lines.append((event, fields))
            write(level, event, fields)

        host.logger._write = note
        log = host.logger.log

        def over(level: int, event: str, **fields: Any) -> None:
            self.outcomes[fields["id"]] = [leg.split()[1] for leg in fields["legs"]]
            log(level, event, **fields)

        host.logger.log = over

    def play(self, lines: list[str]) -> None:
        def body(group: Group) -> Coro[None]:
            self.group = group
            for number, line in enumerate(lines, 1):
                try:
                    yield from self.line(line)
                except AssertionError as error:
                    raise AssertionError(f"line {number}, {line!r}: {error}") from None
            group.cancel()

        def main() -> Coro[None]:
            with self.world.limit(400 * SECOND) as scope:
                yield from self.world.group(body)
            assert not scope.expired, "the scenario hung"

        self.world.run(main())
        self.world.close()

    def line(self, text: str) -> Coro[None]:
        plain = text.startswith(("raw ", "bytes ", "file "))
        words = (
            text.split(" ", 2 if not text.startswith("file ") else 1)
            if plain
            else [one for one in text.split() if "=" not in one]
        )
        given = {} if plain else dict(one.split("=", 1) for one in text.split() if "=" in one)
        if words[0] == ">":
            name = "expect_" + words.pop(1).replace("-", "_")
            method = getattr(self, name, None)
            result = method(*words[1:], **given) if method else self.ended(name[7:], *words[1:])
        else:
            result = getattr(self, f"do_{words[0]}")(*words[1:], **given)
        if result is not None:
            yield from result

    # Actions.

    def do_config(self, **given: str) -> None:
        self.limits |= {name: int(value) for name, value in given.items()}

    def do_file(self, text: str) -> None:
        self.file.write_text(text)

    def configured(self) -> dict[str, Any]:
        found = {
            "name": "n0",
            "listen": f"127.0.0.1:{DOOR}",
            "discovery": f"127.0.0.1:{self.port}",
            "seed": "1f",
            "limits": self.limits,
            "known": self.listing(list(self.members.values())),
            "settings": self.settings,
        }
        return changed(found, self.changes)

    def do_reload(self, then: str = "", **changes: str) -> Coro[None]:
        self.changes |= changes
        self.file.write_text(json.dumps(self.configured()))
        self.modules.append(weakref.ref(self.host.brain))
        self.do_signal("hup")
        if then:
            self.do_signal(then)
        yield from self.world.sleep(2)

    def do_fleet(self, *names: str) -> Coro[None]:
        for place, name in enumerate(names):
            self.servers[name] = ScriptedServer(self, name, 6000 + place)
            self.members[name] = self.member(name)
        self.file.write_text(json.dumps(self.configured()))
        self.listen()
        begun, self.child = self.world.now(), self.world.spawn_child(["gateway"])
        yield from self.until(2000, lambda: self.host is not None and self.door.ready, "never ready")
        self.ready_after = self.world.now() - begun

    def member(self, name: str) -> dict[str, Any]:
        return {
            "id": name,
            "host_port": f"127.0.0.1:{self.servers[name].port}",
            "locality": "a",
            "flavor": name[0],
            "cell": 1,
            "phase": "up",
            "size": 1.0,
            "up_since_ms": 0,
        }

    def do_settings(self, **given: str) -> None:
        self.settings = SETTINGS | given

    def do_starve(self, still: str, runs: str) -> None:
        def pulse() -> Coro[None]:
            while True:
                self.child.signal(signal.SIGSTOP)
                yield from self.world.sleep(int(still) * MS)
                self.child.signal(signal.SIGCONT)
                yield from self.world.sleep(int(runs) * MS)

        self.group.spawn(pulse(), "starve")

    def do_list(self, name: str, phase: str = "up", started: str | None = None, **odd: str) -> Coro[None]:
        if name == "whole":
            self.revision, self.news = self.revision - 5, []
            yield from self.world.sleep(20 * MS)
            return
        if name not in self.members:
            self.servers[name] = self.servers.get(name) or ScriptedServer(
                self, name, 6000 + len(self.servers)
            )
            self.members[name] = self.member(name)
        self.members[name] |= odd | {
            "phase": phase,
            "up_since_ms": EPOCH_MS + self.world.time // 10 - int(started) if started else 0,
        }
        self.revision += 1
        self.changed_at, self.calls = self.world.now(), 0
        self.news.append((self.revision, dict(self.members[name])))
        if phase == "removed":
            del self.members[name]
        yield from self.world.sleep(20 * MS)

    def do_server(self, name: str, *acts: str) -> None:
        one = self.servers[name]
        if acts[0] == "dead":
            one.listener.close()
        elif acts[0] in ("cut-off", "back"):
            one.listener.block_connections(acts[0] == "cut-off")
        elif acts[0] == "up-after":
            one.listener.connect_delay = int(acts[1]) * MS
        elif acts[0] == "takes":
            one.listener.receive_window, one.blind = int(acts[1]), int(acts[2]) * MS
        else:
            one.acts = list(acts)

    def do_wait(self, ms: str) -> Coro[None]:
        yield from self.world.sleep(int(ms) * MS)

    def do_ticks(self, count: str) -> Coro[None]:
        yield from self.world.sleep(int(count))

    def do_rest(self, name: str, ticks: str) -> Coro[None]:
        """Waits until the idle time of the only idle connection is over, and so many ticks longer."""
        rest = next(one for one in self.door.idle_connections.values() if one.reused)
        yield from self.world.sleep(rest.scope.timer.when + int(ticks) - self.world.now())

    def do_meanwhile(self, what: str, *words: str) -> None:
        self.group.spawn(self.line(" ".join((what, *words))), what)

    def do_signal(self, which: str) -> None:
        self.child.signal(
            {"hup": signal.SIGHUP, "term": signal.SIGTERM, "stop": signal.SIGSTOP, "cont": signal.SIGCONT}[
                which
            ]
        )

    def connect(self, name: str) -> Coro[Client]:
        self.asked_at, self.count = self.world.now(), self.count + 1
        try:
            stream = yield from self.world.connect(("127.0.0.1", DOOR), SECOND)
        except ConnectFailed:
            raise AssertionError("the gateway refuses connections") from None
        client = self.clients[name] = Client(stream, f"{self.count:016x}")
        return client

    def do_open(self, name: str) -> Coro[None]:
        yield from self.connect(name)

    def do_quiet(self, name: str) -> Coro[None]:
        client = yield from self.connect(name)
        self.group.spawn(self.take(client), name)

    def do_raw(self, name: str, text: str) -> Coro[None]:
        yield from self.connect(name)
        self.do_bytes(name, text)
        self.group.spawn(self.take(self.clients[name]), name)

    def do_bytes(self, name: str, text: str) -> None:
        client = self.clients[name]
        text = text.replace("{id}", client.id).replace("{mb}", "x" * (1 << 20))
        client.stream.write(text.encode().decode("unicode_escape").encode("latin-1"))

    def do_ask(self, name: str, product: str, **given: str) -> Coro[None]:
        client = yield from self.connect(name)
        self.ask(client, name, product, **given)

    def ask(
        self,
        client: Client,
        name: str,
        product: str,
        limit: str = "3000",
        id: str | None = None,
        key: str | None = None,
        extra: str = "prompt_len=500,max_out=50",
        retry: str = "0",
        pad: str = "0",
        reads: str = "65536/0",
        owner: str | None = None,
        **more: str,
    ) -> None:
        client.asked, client.limit = self.world.now(), int(limit)
        client.fields, client.text = [], ""
        client.pace = int(reads.partition("/")[0]), int(reads.partition("/")[2]) * MS
        client.id = self.clients[id].id if id else client.id
        body = self.bodies[client.id] = BODY + b" " * int(pad)
        headers = [
            ("req-id", client.id),
            ("req-kind", product),
            ("req-deadline-ms", limit),
            ("req-extra", extra),
            ("req-retry", retry),
            *([("req-key", key)] if key else []),
            *([("req-owner", owner)] if owner else []),
            *(
                (name, value)
                for name, _, value in (one.partition(":") for one in more.get("with", "").split(",") if one)
            ),
        ]
        client.sent = {field: value for field, value in headers if field != "req-deadline-ms"}
        client.stream.write(http.request("POST", "/v1/chat/completions", "backend.local", body, headers))
        self.group.spawn(self.take(client), name)

    def do_then(self, name: str, product: str, **given: str) -> Coro[None]:
        yield from self.world.sleep(110 * MS)
        self.do_again(name, product, **given)

    def do_again(self, name: str, product: str, **given: str) -> None:
        client = self.clients[name]
        self.count += 1
        client.end, client.words, client.id = None, 0, f"{self.count:016x}"
        self.ask(client, name, product, **given)

    def do_many(self, count: str, product: str) -> Coro[None]:
        for number in range(int(count)):
            yield from self.do_ask("m", product, key=f"s{number}")
            yield from self.ended("m", "streamed")
            self.clients.pop("m").stream.close()

    def do_second(self, name: str) -> None:
        headers = [("req-id", "f" * 16), ("req-kind", "chat"), ("req-deadline-ms", "3000")]
        self.clients[name].stream.write(
            http.request("POST", "/v1/chat/completions", "backend.local", BODY, headers)
        )

    def do_leave(self, name: str, how: str = "close") -> None:
        stream = self.clients[name].stream
        {"close": stream.close, "half": stream.finish, "reset": stream.abort}[how]()

    def do_more(self, name: str, count: str) -> None:
        self.clients[name].stream.write(b"x" * int(count))

    def do_budget(self, most: str) -> None:
        self.host.budget.resize(int(most))

    def do_module(self, what: str, name: str, server: str) -> None:
        gen = next(gen for gen in self.host.requests if gen.name == self.clients[name].id)
        self.host.hold(gen, next(one for one in self.host.roster.addresses if one.name == server))

    def take(self, client: Client) -> Coro[None]:
        reader, events = http.ResponseParser(65536, 1 << 26), sse.EventParser()
        try:
            while not reader.complete:
                most, after = client.pace
                if after:
                    yield from self.world.sleep(after)
                data = yield from client.stream.recv(most)
                if not data:
                    raise ConnectionLost("closed")
                reader.feed(data)
                client.text += b"".join(reader.pieces).decode("latin-1")
                if reader.status == 200:
                    client.words += sum(b'"delta"' in one for one in events.feed(b"".join(reader.pieces)))
            client.again = reader.headers.get("retry-after", "")
            client.end = {200: "streamed", 429: "throttled", 502: "failed"}.get(
                reader.status, str(reader.status)
            )
            client.fields = sorted(reader.headers)
            client.last = reader.headers.get("connection") == "close"
            client.ended = self.world.now()
            with self.world.limit(100 * MS):
                client.after = yield from client.stream.recv()
            if reader.extra_bytes:  # arrived together with the end of the answer
                client.after = data[max(0, data.rfind(b"HTTP/1.1 ")) :]
        except (ConnectionLost, http.BadMessage) as error:
            client.why = str(error)
            client.end = client.end or ("broken" if reader.status else "closed")
            client.ended = client.ended or self.world.now()
