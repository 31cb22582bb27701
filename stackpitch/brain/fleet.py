"""Which servers exist, which are well, and which part of the work each cell does."""

from collections import Counter

from stackpitch.brain.load import Load
from stackpitch.brain.server_state import ServerState, faded, hashed
from stackpitch.interface import MS, SECOND, Generation, Leg, Role, Server, Time


class Fleet(Load):
    LEARN, LATE_LEARN, RARE = 0.1, 0.2, 0.25  # least weight of a wait, and up to its SLO time; most of both
    SHUN, QUEUED_AFTER = SECOND // 2, 0.25  # first time out, doubled by each other; of an SLO time: it queues
    SILENT_FLOOR, SILENT_TIMES = 500 * MS, 5  # no word is no symptom before this, nor so many usual waits
    READ_ROOM, ZONES_ROOM = 1.25, 1.8  # even parts that a cell's readers bear, in one zone and among several
    WHOLE = 0.8  # answers of a mixed server to one of a writer

    def update(self, now: Time, servers: list[Server], complete: bool) -> None:
        for server in self.server_states.keys() - set(servers) if complete else ():
            server.state = "gone"
        self.server_states |= {
            one: ServerState(one) for one in servers if one.state != "gone" and one not in self.server_states
        }
        self.server_states = {
            one: seat for one, seat in self.server_states.items() if one.state != "gone" or seat.tok
        }
        self.by_hash = {one.hash: one for one in self.server_states.values()}
        self.ordered = sorted(self.server_states.values(), key=lambda one: one.server.name)
        self.list_digest = hashed(" ".join(one.server.name for one in self.ordered)).to_bytes(4, "little")
        ready = [one for one in self.server_states.values() if one.server.state == "ready"]
        self.by_role = {role: [one for one in ready if one.server.role == role] for role in self.by_role}
        self.plan(now)

    def plan(self, now: Time) -> None:
        """What part of all reads each cell does and where it is written, so that least leaves its cell."""
        reads, writes, self.planned = Counter(), Counter(), now
        self.warm_capacity = {
            role: sum(self.capacity_share(one, now) for one in of) for role, of in self.by_role.items()
        }
        for role, count in (("reader", reads), ("writer", writes)):
            able = {
                one: self.capacity_share(one, now) * (0.1 if one.down else 1) for one in self.by_role[role]
            }
            whole = sum(able.values())
            for one, part in able.items():
                count[one.server.cell] += part / whole
        zones = {one.zone for one in self.server_states}
        room = self.READ_ROOM if len(zones) < 2 else self.ZONES_ROOM
        part = {cell: max(even, min(writes[cell], room * even)) for cell, even in reads.items()}
        rich = {cell: max(0.0, even - writes[cell]) for cell, even in reads.items()}
        less = (sum(part.values()) - 1) / max(1e-9, sum(rich.values()))
        part = {cell: of - less * rich[cell] for cell, of in part.items()}
        readers, mixed, pairs = self.by_role["reader"], self.by_role["mixed"], len(self.by_role["writer"])
        self.parts = {cell: max(0.01, of / reads[cell]) for cell, of in part.items()}
        self.whole = self.WHOLE * max(1, len(readers)) / max(1, pairs)
        self.near = {cell: min(1.0, writes[cell] / max(1e-9, of)) for cell, of in part.items()}
        self.wanting = {cell: lack for cell, of in writes.items() if (lack := of - part.get(cell, 0.0)) > 0}
        here = {one.server.cell for one in readers if one.server.zone == self.zone}
        taken = self.WHOLE * len(mixed) / max(1e-9, self.WHOLE * len(mixed) + pairs)
        near = sum(one.server.zone == self.zone for one in mixed) / max(1, len(mixed))
        self.stay = len(zones) * ((1 - taken) * sum(part[cell] for cell in here) + taken * near)

    def writer_cell(self, cell: int) -> int:
        """Where to write what was read in this cell, as planned."""
        chance = self.chance()
        rest = (1 - self.near.get(cell, 1.0)) / max(1e-9, sum(self.wanting.values()))
        for other, part in self.wanting.items():
            chance -= part * rest
            if chance < 0:
                return other
        return cell

    def is_unhealthy(self, seat: ServerState, now: Time) -> bool:
        """Shunned, or a leg has no word far longer than the role takes: hung, cut off or very slow."""
        silent = now - next(iter(seat.waiting.values()), now)
        return now < seat.ejected_until or silent > max(
            self.SILENT_FLOOR, self.SILENT_TIMES * self.usual[seat.server.role]
        )

    def record_failure(self, seat: ServerState, now: Time, leg: Leg) -> None:
        wait = now - leg.sent
        if leg.outcome in ("time-out", "full"):  # it would have taken longer; others tell no wait
            self.record_wait(leg, now, 2 * wait if leg.outcome == "time-out" else leg.gen.slo())
        hasty = leg.outcome == "time-out" and now >= leg.gen.deadline and wait < self.SILENT_FLOOR
        if now >= seat.ejected_until and not hasty:  # a client that hardly waits tells nothing of a server
            seat.ejected_until = now + (self.SHUN << min(seat.failures, 4))
            seat.failures, seat.down = seat.failures + 1, leg.outcome in ("unreachable", "reset")
            self.gateway.log(f"shun {seat.server.name} {leg.outcome} strikes={seat.failures}")

    def record_success(self, seat: ServerState, now: Time, leg: Leg) -> None:
        """A leg did what its role does."""
        wait, role = now - leg.sent, seat.server.role
        if role == "reader":
            own = leg.gen.prompt_tok - leg.gen.shared_tok  # its leg is back, what it read counts
            self.ahead += self.LEARN * (self.queued_tok(seat, now, leg.gen) + own - self.ahead)
        self.record_wait(leg, now, wait)
        self.done[role] = faded(self.done[role], now, self.PACE) + 1, now
        # Owners' turns are not looked up: no more count than are, or a fleet that shrinks drops all on few.
        self.legs_done[role] = min(
            self.legs_done[role] + 1, self.lookup_capacity[role][0] / max(0.1, self.warm_capacity[role])
        )
        if seat.failures:
            self.gateway.log(f"trust {seat.server.name} wait={wait // MS}ms strikes={seat.failures}")
            seat.failures, seat.ejected_until, seat.down = 0, 0, False

    def record_wait(self, leg: Leg, now: Time, wait: Time) -> None:
        """A leg waited so long. Where few come, each tells more."""
        role, part = leg.server.role, min(1.0, wait / max(1, leg.gen.slo()))
        late, fresh = self.late[role][0], min(self.RARE, (now - self.late[role][1]) / self.PACE)
        self.usual[role] += max(self.LEARN, fresh) * (wait - self.usual[role])
        self.server_states[leg.server].late = wait, now
        self.late[role] = late + max(self.LATE_LEARN, fresh) * (part - late), now

    def expected_first_token(self, now: Time, gen: Generation) -> float:
        """How long a first token takes, by what our legs met lately: the better of the ways there are."""
        reads, writes, both = (faded(self.late[role], now, self.LATE_SPAN) for role in self.late)
        best = min if all(self.by_role.values()) else max
        return best(reads + writes, both) * gen.slo()

    def queue_wait(self, role: Role, seats: list[ServerState], now: Time) -> float:
        """How long our legs that have waited a while will take at the pace at which legs get done."""
        old = max(
            0,
            sum(
                now - sent > self.QUEUED_AFTER * leg.gen.product.slo_time
                for one in seats
                if one.waiting
                for leg, sent in one.waiting.items()
            )
            - len(seats) // 2,
        )
        return old * min(self.PACE, now - self.created_at) / max(1.0, faded(self.done[role], now, self.PACE))

    def healthy(self, role: Role, now: Time) -> list[ServerState]:
        """Those that look well. If most do not, it is not they, but none is sent to that can't be reached."""
        seats = self.by_role[role]
        ill = {one for one in seats if (one.waiting or one.ejected_until) and self.is_unhealthy(one, now)}
        out = {one for one in ill if one.down and now < one.ejected_until}
        out = ill if 2 * (len(seats) - len(ill)) >= len(seats) - len(out) else out
        return [one for one in seats if one not in out] if out else seats

    def usable(self, role: Role, now: Time, gen: Generation) -> list[ServerState]:
        # Where none can be reached nothing is learnt, or a site that comes back cold would get too little.
        warm = self.warm_capacity[role] * any(not one.down for one in self.by_role[role])
        self.legs_done[role] = faded(
            (self.legs_done[role], self.lookup_capacity[role][1]), now, self.PACE, self.KEPT
        )
        self.lookup_capacity[role] = faded(self.lookup_capacity[role], now, self.PACE, self.KEPT) + warm, now
        cold = {
            one for one in self.by_role[role] if one.server.started is not None and self.is_cold(one, now)
        }
        if now - self.planned > SECOND and (cold or any([one.down for one in self.by_role[role]])):
            self.plan(now)
        return [one for one in self.healthy(role, now) if one not in cold or self.admit_cold(one, now, gen)]
