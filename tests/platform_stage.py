"""A gateway of the platform among scripted servers, clients and a discovery, in the virtual world.

config sockets=64 restart=0     of the configuration, before anything else
fleet r1 w1 w2                  scripted servers; the letter tells the role
server w1 reset ok              what it does with its next legs, the last for all that follow; see `act`
server w1 takes 300 400         so many bytes of each request; the rest 400 ms after its connection came about
server w1 dead | cut-off | back whether connections to it come about: refused, or never up; `up-after 150`: so late
list w1 draining | removed | up discovery has something to tell; `list whole` tells all there is, a version back
settings discovery=on_request   of the settings, before the fleet
discovery silent | speaks | moves       to another address, which the configuration's file then names
discovery forgets               calls under way are never answered, later ones are
discovery down | up | cut-off | back    refused and reset, or connections that never come up
discovery next never cut ok     what becomes of its next calls; see `spoilt`
starve 300 100                  the gateway's process runs 100 ms after each 300 in which it doesn't
ask a chat with=idempotency-key:7f,x-a:1    and so further fields; `> passed-on a idempotency-key:7f` to each server that it came to
ask a chat limit=900 extra=...  a client asks, chat, pay or order; retry=1; id=b that of another; key=s a session; pad=900 bytes more; reads=1/3000 a byte each 3 s
raw a POST /v1 HTTP/1.1\\r\\n   bytes on a connection of their own; {id} is a fresh id, {mb} a megabyte
then a chat                     asks again on the same connection once the last answer was whole; `again`: at once
ask a chat owner=acme           of a tenant; `then` and `again` take the same words
reload settings.bounds.maxAttempts=2 settings.classes.0=gone    changes the file by path, as JSON without blanks, and sends SIGHUP; then=term: both signals at once
quiet a                         a connection that says nothing
open a                          a connection that neither asks nor reads until `again a chat`
leave a | leave a half | leave a reset      closes its connection, ends its sending, breaks it
more a 500                      so many bytes after its request; `second a`: a whole second request
budget 1                        so many connections to servers may be open from now on
bytes a POST /v1 ...            as raw, further ones on that connection
rest a -3                       until its rest is over, and so many ticks longer
meanwhile quiet d               goes on at once
wait 100 | ticks 3 | signal hup | term | stop | cont
file {not json                  the configuration gets this text
module hold a w1                what the module may ask for, asked for here
many 300 chat                   so many asks, each after the last one's answer
> a streamed | throttled 0.5 | failed | broken | 400 | closed      how it ended, and how it was told to come again
> words a 5 | legs a r1 w1 | released a | held a w1 | nothing-after a | exit 0
> ready-within 510              ms from the gateway's start until it said that it was ready
> attempts a 1                  so many, wherever
> outcomes a read not-sent      of its attempts, in order, once it is over
> deadlines a 2 15              so many attempts, each telling its server at most what the client has left and 15 ms
> half-written a w 300 or-none  of its request so many bytes came to one server of that letter, never the whole, or none if that will do
> clean a                       its connection ended by an end, not by a reset
> answered-or-unread a          a whole answer, that tells of a shutdown; or a clean end, and nothing was sent on
> within 900                    ms since the last ask, raw or quiet
> told 5000 r1 w2*              the servers (*: with a start), so many ms at most after the last change, or after discovery was back
> called 10                     calls of discovery since the last change or return, at most
> said discovery_lost 1 [WORD]  lines of the log by event, and a word that the last one has
> believes w1 held=0.3          the module's word on what others hold there
> deadline a 900                the longest that a server of its was told it has, in ms, or up to 120 fewer
> sent-on a                     its servers got its own head and body, and no field beside
> fields a content-type content-length      of its last answer's head, all of them
> echoed a                      its last answer holds its own id, and no other
> behind a 400                  status of a further answer behind the last
> facts a product=chat effect=idempotent owner=acme quota=5     what it is carried with, while it is under way
> module kept | new             since the last reload
> modules 2                     in use; earlier ones are forgotten, down to their last object
> server w1 mixed 5000          role and memory
> reused w1 2                   connections to it that served again, at least
> idle                          no generation, call, leg or client's request is left
> buffered 132000               bytes that wait here for the slowest client, at most, and some do
> sockets 40                    connections the gateway has open, at most
> open clients 4                connections of clients
> tables 60                     rows in all tables of host and module, at most
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
    """`a.b.0`: the JSON value there, one after the last of a list adds to it; `gone` takes it out."""
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
    """Plays one text."""

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
        self.revision, self.news, self.silent = 10, list[tuple[int, dict[str, Any]]](), False
        self.port, self.era, self.spoils, self.calls = DISCOVERY, 0, list[str](), 0
        self.listeners: dict[int, Any] = {}  # discovery's, by port
        self.watching: dict[Stream, int] = {}  # connections of discovery's, by port
        self.bodies: dict[str, bytes] = {}  # of requests, by id
        self.outcomes: dict[str, list[str]] = {}  # of attempts, by id, once it is over
        self.told_at = 0  # when discovery had the last change and could be reached
        self.settings = SETTINGS
        self.changes: dict[str, str] = {}  # of the configuration, by path
        self.modules: list[weakref.ref[Any]] = []  # at each reload
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
                except AssertionError as wrong:
                    raise AssertionError(f"line {number}, {line!r}: {wrong}") from None
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

    # What happens.

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
        self.told_at, self.calls = self.world.now(), 0
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
        """Until the rest of the only connection that has one is over, and so much longer."""
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
            raise AssertionError("the door is closed") from None
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
            if reader.extra_bytes:  # it came with the end of the answer
                client.after = data[max(0, data.rfind(b"HTTP/1.1 ")) :]
        except (ConnectionLost, http.BadMessage) as wrong:
            client.why = str(wrong)
            client.end = client.end or ("broken" if reader.status else "closed")
            client.ended = client.ended or self.world.now()
