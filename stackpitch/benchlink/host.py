"""Hosts instances of the decision module: turns messages into calls, and its actions into reply lines."""

import os
from base64 import b64encode
from collections.abc import Callable
from typing import Any, BinaryIO

from stackpitch.benchlink import settings
from stackpitch.benchlink.codec import BadField, WireError, read_lines
from stackpitch.brain import Brain
from stackpitch.interface import (
    Customer,
    Generation,
    Leg,
    Outcome,
    Product,
    ReleaseReason,
    Report,
    Role,
    Server,
    State,
    Time,
)
from stackpitch.plausible import PlausibilityFilter

# Outcome by the `disposition` of COMPLETED and CHECK_RESULT.
OUTCOMES: dict[str, Outcome] = {
    "pass": "streamed",
    "prefilled": "read",
    "fault": "error",
    "no_room": "full",
    "too_slow": "time-out",
    "no_route": "unreachable",
    "cut": "reset",
    "undone": "cancelled",
    "stale_send": "not-sent",
}
# State by the `availability` of ROW.
STATES: dict[str, State] = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}
# Whether the roster is complete, by the `how` of ROSTER_CHANGE.
COMPLETE_ROSTER = {"Partial": False, "Complete": True, "Persisted": True}
NO_KEY = "0" * 16  # stands for "no session" and "no shared prefix"


class Instance:
    """One simulated gateway: maps the ids in messages to objects and collects a batch's reply lines.

    Implements `interface.Gateway` for the decision module. The handlers take a message's fields in their
    order on the wire, and raise BadField on a value that is unknown.
    """

    def __init__(self, seed: int, config: dict[str, Any]) -> None:
        section = settings.SettingsSection(config)
        self.lines: list[str] = []
        self.now: Time = 0
        # By id; removed once the generation is over and its last leg has ended.
        self.generations: dict[str, Generation] = {}
        # By name; never removed, so bounded by the number of servers that rosters have named.
        self.servers: dict[str, Server] = {}
        # Callbacks by the key of the timer; removed when it fires.
        self.timers: dict[int, Callable[[Time], None]] = {}
        self.last_timer = 0
        self.products: dict[str, Product] = settings.products(section)
        self.customers: dict[str, Customer] = settings.customers(section)
        self.kinds: dict[str, tuple[Role, int]] = settings.kinds(section)
        self.plausibility = PlausibilityFilter()
        self.brain = Brain(self, seed, **settings.module_arguments(section))

    # Actions of the decision module (`interface.Gateway`): each adds a line to the reply, with times in ms.

    def send(self, gen: Generation, server: Server, limit: Time) -> Leg:
        leg = Leg(gen, len(gen.legs), server, self.now)
        gen.legs.append(leg)
        self.lines.append(f"ASSIGN {gen.name} {server.name} {limit / 10}")
        return leg

    def hold(self, gen: Generation, server: Server) -> None:
        self.lines.append(f"SET_ASIDE {gen.name} {server.name}")

    def release(self, gen: Generation, why: ReleaseReason) -> None:
        self.lines.append(f"DISCARD {gen.name}")

    def throttle(self, gen: Generation, retry_after: Time) -> None:
        gen.over = True
        self.lines.append(f"SAY_NO {gen.name} {retry_after / 10}")
        self._forget(gen)

    def terminate(self, gen: Generation) -> None:
        gen.over = True
        self.lines.append(f"DROP_REQUEST {gen.name}")
        self._forget(gen)

    def cancel(self, leg: Leg) -> None:
        self.lines.append(f"ABORT_ATTEMPT {leg.gen.name} {leg.number}")

    def probe(self, server: Server) -> None:
        self.lines.append(f"ASK_LOAD {server.name}")

    def move(self, gen: Generation) -> None:
        gen.over = True
        self.lines.append(f"REASSIGN {gen.name}")

    def call_later(self, delay: Time, call: Callable[[Time], None]) -> None:
        self.last_timer += 1
        self.timers[self.last_timer] = call
        self.lines.append(f"TIMER {delay / 10} {self.last_timer}")

    def send_to_peer(self, peer: int, octets: bytes) -> None:
        self.lines.append(f"WRITE_PEER {peer} {b64encode(octets).decode()}")

    def subscribe(self) -> None:
        self.lines.append("KEEP_INFORMED 1")

    def log(self, text: str) -> None:
        self.lines.append("RECORD " + text.replace("\n", " "))

    # Incoming messages.

    def _report(self, server: str, usage: dict[str, float] | None) -> Report | None:
        self.plausibility.server = server
        return (
            self.plausibility.report(*(usage.get(name) for name in ("x0", "utilization", "backlog")))
            if usage is not None
            else None
        )

    def _log_implausible(self) -> None:
        if (fields := self.plausibility.due_log_fields(self.now)) is not None:
            self.log("implausible " + " ".join(f"{name}={value}" for name, value in fields.items()))

    def _forget(self, gen: Generation) -> None:
        """Removes a generation that is over and has no leg under way."""
        if gen.over and not gen.in_flight():
            self.generations.pop(gen.name, None)

    def on_provisioned(self) -> None:
        self.brain.begin(self.now)

    def on_roster(self, how: str, rows: list[list[Any]]) -> None:
        if how == "Error":
            self.brain.roster_failed(self.now)
            return
        if how not in COMPLETE_ROSTER:
            raise BadField("how")
        changed = []
        for name, zone, kind, cell, state, weight, started in rows:
            if state not in STATES:
                raise BadField("availability")
            if kind not in self.kinds:
                raise BadField("hw")
            server = self.servers.get(name)
            if server is None:
                role, memory = self.kinds[kind]
                server = self.servers[name] = Server(name, zone, kind, cell, role, memory)
            server.state, server.weight = STATES[state], 1.0 if weight is None else weight
            server.started = started or None
            changed.append(server)
        self.brain.roster(self.now, changed, COMPLETE_ROSTER[how])

    def on_ingress(
        self,
        name: str,
        repeat: bool | None,
        shared_tok: int | None,
        product: str,
        prompt_tok: int,
        session: str | None,
        time_limit: Time,
        shared: str | None,
        resumed: bool | None,
        limit_tok: int | None,
        customer: str | None,
        expected: Time | None,
    ) -> None:
        if product not in self.products:
            raise BadField("type")
        gen = Generation(
            name,
            self.products[product],
            self.customers.get(customer or ""),
            None if session == NO_KEY else session,
            None if shared == NO_KEY else shared,
            shared_tok or 0,
            prompt_tok,
            limit_tok or 0,
            expected,
            self.now,
            time_limit,
            bool(repeat),
            bool(resumed),
        )
        self.generations[name] = gen
        self.brain.arrived(self.now, gen)

    def _leg(self, name: str, number: int) -> Leg | None:
        """None if the generation is unknown, as it is after it was removed or after a restart."""
        gen = self.generations.get(name)
        if gen is None:
            return None
        if number >= len(gen.legs):
            raise BadField("copy")
        return gen.legs[number]

    def on_completed(
        self,
        name: str,
        number: int,
        server: str,
        disposition: str,
        wait: Time | None,
        over: bool | None,
        detail: float | None,
        usage: dict[str, float] | None,
    ) -> None:
        if disposition not in OUTCOMES:
            raise BadField("disposition")
        leg = self._leg(name, number)
        if leg is None or leg.outcome is not None:
            return
        leg.outcome = OUTCOMES[disposition]
        leg.gen.over = leg.gen.over or bool(over)
        no_state = leg.outcome == "full" and detail == 1
        report = self._report(server, usage)
        cached = (
            self.plausibility.cached_tok(detail, leg.gen.prompt_tok)
            if detail and leg.outcome in ("read", "streamed")
            else 0
        )
        self.brain.ended(self.now, leg, cached, no_state, report)
        self._log_implausible()
        self._forget(leg.gen)

    def on_started(self, name: str, server: str, number: int, wait: Time | None) -> None:
        leg = self._leg(name, number)
        if leg is not None and leg.outcome is None:
            leg.streaming = True
            self.brain.stream_started(self.now, leg)

    def on_left(self, name: str) -> None:
        gen = self.generations.get(name)
        if gen is not None and not gen.over:
            gen.over = True
            self.brain.departed(self.now, gen)
            self._forget(gen)

    def on_held(self, name: str, kind: int, value: float | None, server: str, number: int | None) -> None:
        gen = self.generations.get(name)
        if gen is not None and server in self.servers:
            self.brain.hold_answered(self.now, gen, self.servers[server], kind == 1)

    def on_probed(
        self, disposition: str, wait: Time | None, server: str, usage: dict[str, float] | None
    ) -> None:
        if disposition not in OUTCOMES:
            raise BadField("disposition")
        if server in self.servers:
            self.brain.probe_answered(
                self.now, self.servers[server], disposition == "pass", self._report(server, usage)
            )
            self._log_implausible()

    def on_heard(self, peer: int, octets: bytes | None) -> None:
        self.brain.peer_message(self.now, peer, octets or b"")

    def on_reminder(self, key: int) -> None:
        callback = self.timers.pop(key, None)
        if callback is not None:
            callback(self.now)


HANDLERS: dict[str, Callable[..., None]] = {
    "INGRESS": Instance.on_ingress,
    "COMPLETED": Instance.on_completed,
    "UNDER_WAY": Instance.on_started,
    "LEFT": Instance.on_left,
    "SEAT_NEWS": Instance.on_held,
    "CHECK_RESULT": Instance.on_probed,
    "REMINDER": Instance.on_reminder,
    "HEARD": Instance.on_heard,
}


def _fault_line(error: Exception) -> str:
    """The FAULT message for an exception, with the file and line that raised it."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    location = (
        f"{os.path.basename(trace.tb_frame.f_code.co_filename)}:{trace.tb_lineno}" if trace else "unknown"
    )
    return f"FAULT {type(error).__name__} at {location}: {' '.join(str(error).split())[:200]}"


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers each batch with one reply until the input ends. Raises WireError on invalid input."""
    instances: dict[int, Instance] = {}
    lines = read_lines(source)
    now, batch, who = 0, -1, -1  # batch is -1 outside a batch, who is -1 before SWITCH_TO
    touched: dict[int, Instance] = {}
    faults: dict[int, list[str]] = {}
    line_number = 0
    for line_number, message, values in lines:
        if message == "BATCH":
            if batch >= 0:
                raise WireError(f"line {line_number}: BATCH before the last one's EOF_BATCH")
            now, batch = values
            who, touched, faults = -1, {}, {}
            continue
        if batch < 0:
            raise WireError(f"line {line_number}: {message} outside a batch")
        if message == "EOF_BATCH":
            reply = []
            for instance_number in sorted(touched.keys() | faults.keys()):
                output = faults.get(instance_number, []) + (
                    touched[instance_number].lines if instance_number in touched else []
                )
                if output:
                    reply.append(f"AT {instance_number}")
                    reply += output
                if instance_number in touched:
                    touched[instance_number].lines = []
            reply.append(f"EOR {batch}")
            sink.write(("\n".join(reply) + "\n").encode())
            sink.flush()
            batch = -1
            continue
        if message == "SWITCH_TO":
            who = values[0]
            continue
        if who < 0:
            raise WireError(f"line {line_number}: {message} before SWITCH_TO")
        if message == "CRASH_NOW":
            instances.pop(who, None)
            touched.pop(who, None)
            faults.pop(who, None)
            continue
        try:
            if message == "PROVISION":
                try:
                    instances[who] = Instance(values[0], values[1])
                except settings.InvalidSetting as setting:
                    raise WireError(f"line {line_number}: PROVISION field {setting} is malformed") from None
                instances[who].now = now
                touched[who] = instances[who]
                instances[who].on_provisioned()
                continue
            instance = instances.get(who)
            if instance is None:
                raise WireError(f"line {line_number}: {message} for instance {who}, which has no PROVISION")
            instance.now = now
            touched[who] = instance
            if message == "ROSTER_CHANGE":
                rows = _rows(lines, line_number, values[2])
                instance.on_roster(values[0], rows)
            elif message in HANDLERS:
                HANDLERS[message](instance, *values)
            else:
                raise WireError(f"line {line_number}: {message} is out of place")
        except WireError:
            raise
        except BadField as field:
            raise WireError(f"line {line_number}: {message} field {field} is malformed") from None
        except Exception as error:  # an exception of the decision module becomes a FAULT message
            faults.setdefault(who, []).append(_fault_line(error))
    if batch >= 0:
        raise WireError(f"line {line_number + 1}: input ends inside a batch")


def _rows(lines: Any, line_number: int, count: int) -> list[list[Any]]:
    """Reads the ROW messages that must follow a ROSTER_CHANGE."""
    rows = []
    for _ in range(count):
        row_line, message, values = next(lines, (line_number + 1, "nothing", []))
        if message != "ROW":
            raise WireError(
                f"line {row_line}: ROSTER_CHANGE wants {count} members, got {len(rows)} and {message}"
            )
        rows.append(values)
    return rows
