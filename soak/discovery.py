"""A stand-in discovery for all gateways: whole lists and watches, with the faults of a network and of its own."""

import asyncio
import json
import time
from contextlib import suppress
from functools import partial
from random import Random

from soak.link import Link, Network
from soak.message_forms import unsound_answer
from soak.odd_answers import write_departure
from soak.records import Change, Record, Told, Watch
from stackpitch.wire import http


class Discovery:
    """One list, told to each gateway on its own port. `gateways` by port."""

    def __init__(self, record: Record, random: Random, host: str) -> None:
        self.record, self.random, self.host = record, random, host
        self.network = Network(random)
        self.revision = 1
        self.members: dict[str, dict[str, object]] = {}
        self.news: list[tuple[int, dict[str, object]]] = []  # as many as the story has changes
        self.changed = asyncio.Condition()
        self.slow = 0.0  # seconds before each answer at most
        self.delay = 0.0  # seconds before each answer
        self.unsound = False  # half of the answers are
        self.forms = Random("discovery's forms")
        self.servers: dict[str, tuple[asyncio.Server | None, int]] = {}
        self.links: dict[str, set[Link]] = {}  # of each gateway at its present address; emptied as they end

    async def open_for(self, gateway: str, port: int) -> None:
        """From now on this gateway asks at that port."""
        server = await asyncio.start_server(partial(self._connection, gateway), self.host, port)
        self.servers[gateway] = server, port

    def leave(self, server: asyncio.Server | None, gateway: str) -> None:
        """The old address of a gateway is gone after a new configuration, with the connections there."""
        if server is not None:
            server.close()
        for link in self.links.pop(gateway, set()):
            link.abort()

    async def down(self) -> None:
        """Refuses, and resets what is connected."""
        for gateway, (server, port) in self.servers.items():
            if server is not None:
                server.close()
            self.servers[gateway] = None, port
        self.network.reset_all()

    async def up(self) -> None:
        for gateway, (server, port) in list(self.servers.items()):
            if server is None:
                made = await asyncio.start_server(partial(self._connection, gateway), self.host, port)
                self.servers[gateway] = made, port

    async def tell(self, member: dict[str, object]) -> None:
        """A new or changed member; `phase` removed takes it off the list."""
        async with self.changed:
            self.revision += 1
            self.record.changes.append(Change(str(member["id"]), member["phase"] == "up", time.monotonic()))
            self.news.append((self.revision, member))
            if member["phase"] == "removed":
                self.members.pop(str(member["id"]), None)
            else:
                self.members[str(member["id"])] = member
            self.changed.notify_all()

    def known(self) -> dict[str, object]:
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def _connection(
        self, gateway: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = Link(reader, writer, self.network)
        links = self.links.setdefault(gateway, set())
        links.add(link)
        try:
            while await self._call(gateway, link):
                pass
        except (OSError, http.BadMessage, asyncio.CancelledError):
            pass
        finally:
            links.discard(link)
            with suppress(RuntimeError):
                link.close()

    async def _call(self, gateway: str, link: Link) -> bool:
        reader = http.RequestParser(4096, 0)
        while not reader.complete:
            data = await link.read()
            if not data:
                return False
            reader.feed(data)
        query = dict(part.partition("=")[::2] for part in reader.query.split("&"))
        since, wait = int(query.get("since", -1)), int(query.get("timeout_ms", 0)) / 1000
        if since >= 0:
            self.record.watches.append(Watch(gateway, time.monotonic(), wait))
            with suppress(TimeoutError):
                async with asyncio.timeout(wait), self.changed:
                    await self.changed.wait_for(lambda: since != self.revision)
        if self.slow or self.delay:
            await asyncio.sleep(max(self.delay, self.slow * self.random.random()))
        if self.unsound and self.forms.random() < 0.5:
            await write_departure(link, unsound_answer(self.forms))
            return False
        whole = since < 0 or since > self.revision
        members = (
            list(self.members.values()) if whole else [one for revision, one in self.news if revision > since]
        )
        body = json.dumps({"revision": self.revision, "complete": whole, "members": members})
        if not await link.write(http.response(200, body.encode())):
            return False
        self._note(gateway, members, whole)
        return True

    def _note(self, gateway: str, members: list[dict[str, object]], whole: bool) -> None:
        now = time.monotonic()
        gone = [str(one["id"]) for one in members if one["phase"] != "up"]
        if whole:
            ever = {str(one["id"]) for _, one in self.news}
            gone += sorted(ever - {str(one["id"]) for one in members})
        up = [str(one["id"]) for one in members if one["phase"] == "up" and one["up_since_ms"]]
        self.record.told_up += [Told(gateway, name, now) for name in up]
        self.record.told += [Told(gateway, name, now) for name in gone]
