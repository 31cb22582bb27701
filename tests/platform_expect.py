"""Expectations of platform scenarios: a line `> word ...` calls `expect_word`; see `platform_stage`."""

import gc
import re
from typing import Any

from stackpitch.interface import Server
from stackpitch.loop import MS, Coro


class Expectations:
    """Mixin of `Stage` with the checks that scenarios can make."""

    def until(self, ms: int, condition: Any, message: Any) -> Coro[None]:
        for _ in range(ms // 2 + 1):
            if condition():
                return
            yield from self.world.sleep(2 * MS)
        raise AssertionError(message() if callable(message) else message)

    def ended(self, name: str, how: str, again: str | None = None) -> Coro[None]:
        client = self.clients[name]
        yield from self.until(12_000, lambda: client.end is not None, f"not over yet, {client.words} words")
        assert client.end == how, f"ended as {client.end!r}"
        assert again is None or (client.again or "none") == again, f"retry after: {client.again!r}"

    def expect_within(self, ms: str) -> None:
        took = (max(client.ended for client in self.clients.values()) - self.asked_at) // MS
        assert took <= int(ms), f"took {took} ms"

    def expect_ready_within(self, ms: str) -> None:
        assert self.ready_after <= int(ms) * MS, f"it took {self.ready_after // MS} ms"

    def expect_words(self, name: str, count: str) -> None:
        assert self.clients[name].words == int(count), f"{self.clients[name].words} words"

    def called(self, method: str, name: str) -> list[str]:
        wanted = (method, self.clients[name].id)
        return [server.name for server in self.servers.values() for call in server.calls if call == wanted]

    def expect_legs(self, name: str, *servers: str) -> None:
        found = [server for server in self.called("POST", name)]
        assert sorted(found) == sorted(servers), f"legs at {found}"

    def expect_attempts(self, name: str, count: str) -> None:
        assert len(self.called("POST", name)) == int(count), f"attempts at {self.called('POST', name)}"

    def expect_outcomes(self, name: str, *outcomes: str) -> Coro[None]:
        number = self.clients[name].id
        yield from self.until(3000, lambda: number in self.outcomes, "not over yet")
        assert self.outcomes[number] == list(outcomes), f"outcomes {self.outcomes[number]}"

    def expect_passed_on(self, name: str, *fields: str) -> None:
        """Every attempt carried these fields; `-name`: none carried that field."""
        attempts = [
            attempt
            for server in self.servers.values()
            for attempt in server.fields.get(self.clients[name].id, [])
        ]
        assert attempts, "no attempt was made"
        for attempt in attempts:
            for field, _, value in (text.partition(":") for text in fields):
                wanted = None if field.startswith("-") else value
                assert attempt.get(field.removeprefix("-")) == wanted, f"{attempt}"

    def expect_deadlines(self, name: str, count: str, slack_ms: str) -> None:
        client = self.clients[name]
        deadlines = [
            deadline for server in self.servers.values() for deadline in server.deadlines.get(client.id, [])
        ]
        assert len(deadlines) == int(count), f"{len(deadlines)} attempts"
        for sent_ms, received_at in deadlines:
            left = client.limit - (received_at - client.asked) // MS
            assert sent_ms <= left + int(slack_ms), f"deadline of {sent_ms} ms sent, {left} ms left"

    def expect_half_written(self, name: str, role: str, count: str, or_none: str = "") -> None:
        id_field = f"req-id: {self.clients[name].id}".encode()
        found = [
            (server.name[0], request[1])
            for server in self.servers.values()
            for request in server.came
            if id_field in request[0] and not request[2]
        ]
        assert found == [(role, int(count))] or (or_none and not found), f"{found}"

    def expect_served_or_refused(self, name: str) -> Coro[None]:
        """A request on a new connection is answered; one that is refused with 503 is not forwarded."""
        client = self.clients[name]
        yield from self.until(3000, lambda: client.end is not None, "not over yet")
        assert client.end in ("streamed", "503"), f"ended as {client.end!r}: {client.why}"
        assert client.end == "streamed" or not self.called("POST", name), (
            f"sent on to {self.called('POST', name)}"
        )

    def expect_answered_or_unread(self, name: str) -> Coro[None]:
        client = self.clients[name]
        yield from self.until(3000, lambda: client.end is not None, "not over yet")
        if client.end == "streamed":
            assert client.last or not self.door.stopping, (
                "the answer did not announce that its connection closes"
            )
        else:
            assert client.end == "closed", f"ended as {client.end!r}"
            assert client.why == "closed", f"no clean end: {client.why}"
            assert not self.called("POST", name), f"sent on to {self.called('POST', name)}"

    def expect_clean(self, name: str) -> None:
        assert self.clients[name].why == "closed", f"no clean end: {self.clients[name].why}"

    def expect_held(self, name: str, server: str) -> None:
        assert self.called("HOLD", name) == [server], f"hold asked of {self.called('HOLD', name)}"

    def expect_released(self, name: str, *servers: str) -> Coro[None]:
        """Released at one server, one of these if any are named.

        `twice`: released two times, as the first came while an attempt that may have arrived was in flight, or as a
        read may have ended after it.
        """
        times = 1 + ("twice" in servers)
        allowed = [server for server in servers if server != "twice"]
        yield from self.until(800, lambda: len(self.called("DELETE", name)) >= times, "not released")
        found = self.called("DELETE", name)
        assert len(found) == times, f"released at {found}"
        assert len(set(found)) == 1 and (not allowed or found[0] in allowed), f"released at {found}"

    def expect_kept(self, name: str) -> None:
        assert not self.called("DELETE", name), f"released at {self.called('DELETE', name)}"

    def expect_nothing_after(self, name: str) -> Coro[None]:
        yield from self.world.sleep(120 * MS)
        assert not self.clients[name].after, f"{self.clients[name].after[:60]!r} came"

    def expect_exit(self, code: str) -> Coro[None]:
        yield from self.until(12_000, lambda: self.child.code() is not None, "still running")
        assert self.child.code() == int(code), f"exit {self.child.code()}"

    def server_state(self, name: str) -> Any:
        return next(
            state for server, state in self.host.brain.fleet.server_states.items() if server.name == name
        )

    def expect_believes(self, name: str, held: str) -> None:
        """The share that other gateways hold at a server, computed from its last load report."""
        state, server = (
            self.server_state(name),
            next(entry for entry in self.host.roster.addresses if entry.name == name),
        )
        assert isinstance(server, Server) and abs(state.peer_share - float(held)) < 0.02, (
            f"others hold {state.peer_share:.3f}"
        )

    def expect_servers(self, *names: str, seats: str | None = None) -> None:
        """`seats`: the servers that the current module knows, if an earlier module knows others."""
        found = [server.name for server in self.host.roster.addresses]
        known = [server.name for server in self.host.brain.fleet.server_states]
        wanted = sorted(names) if seats is None else seats.split(",")
        assert sorted(found) == sorted(names) and sorted(known) == wanted, f"servers {found}, seats {known}"

    def expect_told(self, ms: str, *names: str) -> Coro[None]:
        def ready_servers() -> list[str]:
            return sorted(
                server.name + "*" * (server.started is not None)
                for server in self.host.roster.addresses
                if server.state == "ready"
            )

        yield from self.until(
            20_000, lambda: ready_servers() == sorted(names), lambda: f"servers {ready_servers()}"
        )
        took = (self.world.now() - self.told_at) // MS
        assert took <= int(ms), f"learned after {took} ms"

    def expect_said(self, event: str, count: str, *words: str) -> None:
        text = " ".join(words)
        found = [str(fields) for logged, fields in self.lines if logged == event]
        assert len(found) == int(count) and (not found or text in found[-1]), f"{found}"

    def expect_called(self, most: str) -> None:
        assert self.calls <= int(most), f"{self.calls} calls"

    def expect_buffered(self, most: str) -> None:
        buffered = [
            request.client.buffered for request in self.host.requests.values() if request.client is not None
        ]
        assert buffered and 0 < max(buffered) <= int(most), f"{buffered} bytes buffered"

    def expect_sockets(self, most: str) -> None:
        found = self.door.connections + sum(pool.open for pool in self.host.pools.values())
        assert found <= int(most), f"{found} open"

    def expect_open(self, _: str, count: str) -> None:
        found = self.door.connections - len(self.door.lingering)
        assert found == int(count), f"{found} clients"

    def expect_tables(self, most: str) -> None:
        brain, host = self.host.brain, self.host
        sizes = {
            "asks": len(host.requests),
            "pools": len(host.pools),
            "seats": len(brain.fleet.server_states),
            "pinned": len(brain.held_state.held_since),
            "plan": len(brain.writer.planned_writers),
            "waiting": len(self.door.idle_connections),
            "owners": len(brain.affinity.entries),
            "servers": len(host.roster.servers),
            "timers": len(self.world.timers),
        }
        assert sum(sizes.values()) <= int(most), str(sizes)

    def expect_deadline(self, name: str, ms: str) -> None:
        deadlines = [int(fields["req-deadline-ms"]) for fields, _ in self.got(name)]
        assert deadlines and int(ms) - 120 <= max(deadlines) <= int(ms), f"deadlines {deadlines}"

    def got(self, name: str) -> list[tuple[dict[str, str], bytes]]:
        """Header fields and the received part of the body of each attempt."""
        number, found = self.clients[name].id, []
        for request, _, _ in (received for server in self.servers.values() for received in server.came):
            head, _, body = request.partition(b"\r\n\r\n")
            fields = dict(line.split(": ", 1) for line in head.decode("latin-1").split("\r\n")[1:])
            if fields.get("req-id") == number:
                found.append((fields, body))
        return found

    def expect_sent_on(self, name: str) -> None:
        client_fields = self.clients[name].sent
        for fields, body in self.got(name):
            attempt_fields = {"host", "req-deadline-ms", "content-type", "content-length"}
            assert {
                field: value for field, value in fields.items() if field not in attempt_fields
            } == client_fields, f"{fields}, sent {client_fields}"
            assert attempt_fields <= set(fields), f"{fields}"
            assert self.bodies[self.clients[name].id].startswith(body), f"{body!r}"

    def expect_fields(self, name: str, *fields: str) -> None:
        assert self.clients[name].fields == sorted(fields), f"{self.clients[name].fields}"

    def expect_echoed(self, name: str) -> None:
        found = re.findall("[0-9a-f]{16}", self.clients[name].text)
        assert found == [self.clients[name].id], f"{found}"

    def expect_behind(self, name: str, status: str) -> Coro[None]:
        yield from self.until(500, lambda: bool(self.clients[name].after), "nothing came")
        assert self.clients[name].after.startswith(f"HTTP/1.1 {status} ".encode()), (
            f"{self.clients[name].after[:60]!r}"
        )

    def expect_facts(self, name: str, **facts: str) -> None:
        gen = next((request for request in self.host.requests if request.name == self.clients[name].id), None)
        assert gen is not None, "not in flight"
        product, customer = gen.product, gen.customer
        found = {
            "product": product.name,
            "effect": product.effect,
            "scope": product.scope,
            "memory": product.dedup_window // MS,
            "slo": product.slo_time // MS,
            "gap": product.token_gap // MS,
            "limit": product.time_limit // MS,
            "worth": product.revenue,
            "owner": customer and customer.name,
            "quota": customer and customer.quota_per_s,
            "share": customer and customer.share,
        }
        found = {key: str(found[key]) for key in facts}
        assert found == facts, f"{found}"

    def expect_module(self, how: str) -> None:
        assert (self.modules[-1]() is self.host.brain) is (how == "kept"), (
            "another module" if how == "kept" else "the same module"
        )

    def expect_modules(self, count: str) -> None:
        in_use = self.host.brains()
        assert len(in_use) == int(count), f"{len(in_use)} modules"
        gc.collect()
        leaked = [module() for module in self.modules if module() is not None and module() not in in_use]
        assert not leaked, f"{len(leaked)} earlier modules are still referenced"

    def expect_server(self, name: str, role: str, memory: str) -> None:
        server = self.host.roster.servers[name]
        assert (server.role, server.memory_tok) == (role, int(memory)), f"{server.role} {server.memory_tok}"
        assert server in self.host.brain.fleet.server_states, "the module does not know it"

    def expect_reused(self, name: str, least: str) -> None:
        pool = self.host.pools[self.host.roster.servers[name]]
        assert pool.reused >= int(least), f"{pool.reused} times"

    def expect_idle(self) -> Coro[None]:
        host = self.host
        yield from self.until(
            1500,
            lambda: not host.requests and not host.pending_calls,
            lambda: f"{len(host.requests)} requests left",
        )
        yield from self.world.sleep(20 * MS)
        assert not host.brain.held_state.held_since and not host.brain.writer.planned_writers
        assert not host.earlier_settings, "generations of an earlier module are left"
        assert all(pool.open == len(pool.idle) for pool in host.pools.values()), "a connection is lost"
        assert host.budget.open == sum(pool.open for pool in host.pools.values()), (
            "the connection budget does not match"
        )
