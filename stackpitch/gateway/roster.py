"""From lists to the module's servers. Pure."""

from collections.abc import Mapping, Sequence

from stackpitch.gateway.start_times import StartTimes
from stackpitch.interface import Role, Server
from stackpitch.loop import World
from stackpitch.loop.world import Address
from stackpitch.membership.entries import Entry


class Roster:
    """The servers that lists have named, by name: one object each for as long as it is what it was.

    Emptied of what is gone by `forget`, which the host calls once the last leg there is back.
    """

    def __init__(self, world: World, kinds: Mapping[str, tuple[Role, int]]) -> None:
        self.kinds, self.version = kinds, -1
        self.lists_applied = 0  # lists so far
        self.servers: dict[str, Server] = {}
        self.addresses: dict[Server, Address] = {}
        self.entries: dict[str, Entry] = {}  # the list in force
        self.vocabularies: dict[Server, str] = {}  # of those whose entry names one
        self.starts = StartTimes(world)

    def apply(self, version: int, entries: Sequence[Entry], current: bool = True) -> list[Server]:
        """Takes a checked list as the complete one and gives the servers of which it says something new; those left out
        are now gone. `current`: not one that may be old."""
        told = {one.name: one for one in entries}
        for name in self.servers.keys() - told.keys():
            self.servers[name].state = "gone"
        found = [
            self._update_server(one)
            for name, one in told.items()
            if self.entries.get(name) != one or name not in self.servers
        ]
        self.starts.retain(told)
        if current:
            self.starts.confirm_current()
        self.entries, self.version = told, version
        self.lists_applied += 1
        return found

    def _update_server(self, one: Entry) -> Server:
        role, memory = self.kinds[one.kind]
        server = self.servers.get(one.name)
        if server is not None and (
            server.zone,
            server.kind,
            server.cell,
            self.vocabularies.get(server, ""),
            server.role,
            server.memory_tok,
        ) != (one.zone, one.kind, one.cell, one.vocabulary, role, memory):
            server.state = "gone"  # another machine under the same name; or one to which nothing that it kept means anything
            server = None
        if server is None:
            server = self.servers[one.name] = Server(one.name, one.zone, one.kind, one.cell, role, memory)
            if one.vocabulary:
                self.vocabularies[server] = one.vocabulary
        server.state, server.weight = one.state, one.weight
        start = self.starts.record(one.name, one.started_unix_ms)
        server.started, server.start_first_seen = (
            (None, None) if start is None else (start.claimed, start.learned)
        )
        self.addresses[server] = one.address
        return server

    def set_kinds(self, kinds: Mapping[str, tuple[Role, int]]) -> None:
        """Other roles and memories of kinds. The next list is looked at whole, as for a module that knows no server yet."""
        self.kinds, self.entries = kinds, {}

    def forget(self, server: Server) -> None:
        if server.state == "gone":
            self.addresses.pop(server, None)
            self.vocabularies.pop(server, None)
            if self.servers.get(server.name) is server:
                del self.servers[server.name]
