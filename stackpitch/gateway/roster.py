"""Turns server lists into the decision module's server objects. Pure."""

from collections.abc import Mapping, Sequence

from stackpitch.gateway.start_times import StartTimes
from stackpitch.interface import Role, Server
from stackpitch.loop import World
from stackpitch.loop.world import Address
from stackpitch.membership.entries import Entry


class Roster:
    """The listed servers by name.

    A server keeps its object for as long as its identity (zone, kind, cell, vocabulary, role, memory) is the
    same.

    Emptied of servers that are gone by `forget`, which the host calls once the last leg there has ended.
    """

    def __init__(self, world: World, kinds: Mapping[str, tuple[Role, int]]) -> None:
        self.kinds, self.version = kinds, -1
        self.lists_applied = 0
        self.servers: dict[str, Server] = {}
        self.addresses: dict[Server, Address] = {}
        self.entries: dict[str, Entry] = {}  # the list in force
        self.vocabularies: dict[Server, str] = {}  # of servers whose entry names one
        self.starts = StartTimes(world)

    def apply(self, version: int, entries: Sequence[Entry], current: bool = True) -> list[Server]:
        """Applies a checked, complete list and returns the servers that are new or changed.

        Servers that are missing from it are gone from now on. `current`: False for a list that may be out of
        date.
        """
        listed = {entry.name: entry for entry in entries}
        for name in self.servers.keys() - listed.keys():
            self.servers[name].state = "gone"
        changed = [
            self._update_server(entry)
            for name, entry in listed.items()
            if self.entries.get(name) != entry or name not in self.servers
        ]
        self.starts.retain(listed)
        if current:
            self.starts.confirm_current()
        self.entries, self.version = listed, version
        self.lists_applied += 1
        return changed

    def _update_server(self, entry: Entry) -> Server:
        role, memory = self.kinds[entry.kind]
        server = self.servers.get(entry.name)
        if server is not None and (
            server.zone,
            server.kind,
            server.cell,
            self.vocabularies.get(server, ""),
            server.role,
            server.memory_tok,
        ) != (entry.zone, entry.kind, entry.cell, entry.vocabulary, role, memory):
            # Another machine under the same name, or one whose cached state is no longer valid.
            server.state = "gone"
            server = None
        if server is None:
            server = self.servers[entry.name] = Server(
                entry.name, entry.zone, entry.kind, entry.cell, role, memory
            )
            if entry.vocabulary:
                self.vocabularies[server] = entry.vocabulary
        server.state, server.weight = entry.state, entry.weight
        start = self.starts.record(entry.name, entry.started_unix_ms)
        server.started, server.start_first_seen = (
            (None, None) if start is None else (start.claimed, start.learned)
        )
        self.addresses[server] = entry.address
        return server

    def set_kinds(self, kinds: Mapping[str, tuple[Role, int]]) -> None:
        """Sets other roles and memory sizes for kinds.

        The next list is then applied in full, as to an empty roster.
        """
        self.kinds, self.entries = kinds, {}

    def forget(self, server: Server) -> None:
        """Drops a server that is gone; does nothing for one that is listed."""
        if server.state == "gone":
            self.addresses.pop(server, None)
            self.vocabularies.pop(server, None)
            if self.servers.get(server.name) is server:
                del self.servers[server.name]
