"""Which servers exist, which of them are healthy, and which share of the work each cell does."""

from collections import Counter

from stackpitch.brain.load import Load
from stackpitch.brain.server_state import ServerState, faded, hashed
from stackpitch.interface import MS, SECOND, Generation, Leg, Role, Server, Time


class Fleet(Load):
    """All servers of the roster, with their health, their waits and the split of work between cells."""

    # Least weight of a new wait in `mean_wait` and in `late_share`; and the greatest in both.
    WAIT_WEIGHT, LATE_WEIGHT, MAX_WEIGHT = 0.1, 0.2, 0.25
    # A first ejection, which doubles with each further one; and the part of an SLO time after which a leg
    # without an answer counts as queued.
    EJECTION_TIME, QUEUED_AFTER = SECOND // 2, 0.25
    # A leg without an answer is no sign of a fault before this time, nor before so many mean waits.
    SILENCE_FLOOR, SILENCE_FACTOR = 500 * MS, 5
    # Multiple of its even share of the reads that a cell bears, in a single zone and with several zones.
    READ_HEADROOM, ZONES_READ_HEADROOM = 1.25, 1.8
    MIXED_ANSWERS = 0.8  # generations that a mixed server answers for each that a writer answers

    def update(self, now: Time, servers: list[Server], complete: bool) -> None:
        """Takes over a roster. `complete`: servers that are missing are gone."""
        for server in self.server_states.keys() - set(servers) if complete else ():
            server.state = "gone"
        self.server_states |= {
            added: ServerState(added)
            for added in servers
            if added.state != "gone" and added not in self.server_states
        }
        self.server_states = {
            known: state
            for known, state in self.server_states.items()
            if known.state != "gone" or state.tok_by_gen
        }
        self.by_hash = {entry.hash: entry for entry in self.server_states.values()}
        self.ordered = sorted(self.server_states.values(), key=lambda entry: entry.server.name)
        self.list_digest = hashed(" ".join(entry.server.name for entry in self.ordered)).to_bytes(4, "little")
        ready = [entry for entry in self.server_states.values() if entry.server.state == "ready"]
        self.by_role = {
            role: [entry for entry in ready if entry.server.role == role] for role in self.by_role
        }
        self.plan_cells(now)

    def plan_cells(self, now: Time) -> None:
        """Plans which share of all reads each cell does and in which cell they are written, so that as
        little KV state as possible is transferred between cells."""
        reads, writes, self.planned_at = Counter(), Counter(), now
        self.warm_capacity = {
            role: sum(self.capacity_share(state, now) for state in states)
            for role, states in self.by_role.items()
        }
        for role, count in (("reader", reads), ("writer", writes)):
            capacities = {
                state: self.capacity_share(state, now) * (0.1 if state.unreachable else 1)
                for state in self.by_role[role]
            }
            total = sum(capacities.values())
            for state, capacity in capacities.items():
                count[state.server.cell] += capacity / total
        zones = {server.zone for server in self.server_states}
        headroom = self.READ_HEADROOM if len(zones) < 2 else self.ZONES_READ_HEADROOM
        # Each cell reads as much as it can write, within its headroom; cells with more readers than writers
        # then give up the excess, so that the shares add up to 1.
        shares = {cell: max(even, min(writes[cell], headroom * even)) for cell, even in reads.items()}
        surplus = {cell: max(0.0, even - writes[cell]) for cell, even in reads.items()}
        excess = (sum(shares.values()) - 1) / max(1e-9, sum(surplus.values()))
        shares = {cell: share - excess * surplus[cell] for cell, share in shares.items()}
        readers, mixed, writers = (
            self.by_role["reader"],
            self.by_role["mixed"],
            len(self.by_role["writer"]),
        )
        self.read_weights = {cell: max(0.01, share / reads[cell]) for cell, share in shares.items()}
        self.mixed_weight = self.MIXED_ANSWERS * max(1, len(readers)) / max(1, writers)
        self.local_writes = {
            cell: min(1.0, writes[cell] / max(1e-9, share)) for cell, share in shares.items()
        }
        self.spare_writes = {
            cell: spare for cell, written in writes.items() if (spare := written - shares.get(cell, 0.0)) > 0
        }
        local_cells = {state.server.cell for state in readers if state.server.zone == self.zone}
        # Share of the generations that mixed servers answer, and the share of those servers in this zone.
        mixed_share = self.MIXED_ANSWERS * len(mixed) / max(1e-9, self.MIXED_ANSWERS * len(mixed) + writers)
        local_mixed = sum(state.server.zone == self.zone for state in mixed) / max(1, len(mixed))
        self.local_session_share = len(zones) * (
            (1 - mixed_share) * sum(shares[cell] for cell in local_cells) + mixed_share * local_mixed
        )

    def pick_writer_cell(self, cell: int) -> int:
        """The cell to write in for a read in this cell, drawn by the planned shares."""
        chance = self.random_unit()
        scale = (1 - self.local_writes.get(cell, 1.0)) / max(1e-9, sum(self.spare_writes.values()))
        for other, spare in self.spare_writes.items():
            chance -= spare * scale
            if chance < 0:
                return other
        return cell

    def is_unhealthy(self, state: ServerState, now: Time) -> bool:
        """Whether the server is ejected, or its oldest waiting leg has had no answer for far longer than
        its role takes: it hangs, is cut off or is very slow."""
        silent = now - next(iter(state.waiting.values()), now)
        return now < state.ejected_until or silent > max(
            self.SILENCE_FLOOR, self.SILENCE_FACTOR * self.mean_wait[state.server.role]
        )

    def record_failure(self, state: ServerState, now: Time, leg: Leg) -> None:
        """Counts a failed leg and ejects its server, for a time that doubles each time, up to 16-fold."""
        wait = now - leg.sent
        # These would have waited longer than they did; other failures say nothing of the wait.
        if leg.outcome in ("time-out", "full"):
            self.record_wait(leg, now, 2 * wait if leg.outcome == "time-out" else leg.gen.slo())
        impatient = leg.outcome == "time-out" and now >= leg.gen.deadline and wait < self.SILENCE_FLOOR
        # A time-out says nothing of the server if it is due to a client that hardly waits.
        if now >= state.ejected_until and not impatient:
            state.ejected_until = now + (self.EJECTION_TIME << min(state.failures, 4))
            state.failures, state.unreachable = state.failures + 1, leg.outcome in ("unreachable", "reset")
            self.gateway.log(f"shun {state.server.name} {leg.outcome} strikes={state.failures}")

    def record_success(self, state: ServerState, now: Time, leg: Leg) -> None:
        """Counts a leg that did what its role does: it was read or began to stream."""
        wait, role = now - leg.sent, state.server.role
        if role == "reader":
            # The leg has ended and no longer counts as queued, but its own tokens were read as well.
            uncached = leg.gen.prompt_tok - leg.gen.shared_tok
            self.mean_queued_tok += self.WAIT_WEIGHT * (
                self.queued_tok(state, now, leg.gen) + uncached - self.mean_queued_tok
            )
        self.record_wait(leg, now, wait)
        self.recent_successes[role] = faded(self.recent_successes[role], now, self.RATE_SPAN) + 1, now
        # Turns that go to a session's own server aren't looked up. No more legs are counted than lookups, or
        # a fleet that shrinks would send all its work to the few cold servers that are left.
        self.legs_done[role] = min(
            self.legs_done[role] + 1, self.lookup_capacity[role][0] / max(0.1, self.warm_capacity[role])
        )
        if state.failures:
            self.gateway.log(f"trust {state.server.name} wait={wait // MS}ms strikes={state.failures}")
            state.failures, state.ejected_until, state.unreachable = 0, 0, False

    def record_wait(self, leg: Leg, now: Time, wait: Time) -> None:
        """Averages the time that a leg waited. The fewer legs there are, the more each weighs."""
        role, part = leg.server.role, min(1.0, wait / max(1, leg.gen.slo()))
        late, elapsed = (
            self.late_share[role][0],
            min(self.MAX_WEIGHT, (now - self.late_share[role][1]) / self.RATE_SPAN),
        )
        self.mean_wait[role] += max(self.WAIT_WEIGHT, elapsed) * (wait - self.mean_wait[role])
        self.server_states[leg.server].last_wait = wait, now
        self.late_share[role] = late + max(self.LATE_WEIGHT, elapsed) * (part - late), now

    def expected_first_token(self, now: Time, gen: Generation) -> float:
        """Expected time to the first token, by the recent waits of our legs: by reader and writer or by a
        mixed server, whichever is faster if the fleet has both."""
        reads, writes, mixed = (faded(self.late_share[role], now, self.WAIT_SPAN) for role in self.late_share)
        best = min if all(self.by_role.values()) else max
        return best(reads + writes, mixed) * gen.slo()

    def queue_wait(self, role: Role, states: list[ServerState], now: Time) -> float:
        """How long our legs that count as queued will take, at the present rate of successful legs."""
        queued = max(
            0,
            sum(
                now - sent > self.QUEUED_AFTER * leg.gen.product.slo_time
                for state in states
                if state.waiting
                for leg, sent in state.waiting.items()
            )
            - len(states) // 2,
        )
        return (
            queued
            * min(self.RATE_SPAN, now - self.created_at)
            / max(1.0, faded(self.recent_successes[role], now, self.RATE_SPAN))
        )

    def healthy(self, role: Role, now: Time) -> list[ServerState]:
        """The ready servers that seem healthy. If most do not, the servers are not the cause, and only
        those that can't be reached are left out."""
        states = self.by_role[role]
        unhealthy = {
            state
            for state in states
            if (state.waiting or state.ejected_until) and self.is_unhealthy(state, now)
        }
        excluded = {state for state in unhealthy if state.unreachable and now < state.ejected_until}
        excluded = (
            unhealthy if 2 * (len(states) - len(unhealthy)) >= len(states) - len(excluded) else excluded
        )
        return [state for state in states if state not in excluded] if excluded else states

    def usable(self, role: Role, now: Time, gen: Generation) -> list[ServerState]:
        """A lookup: the healthy servers that are warm, and the cold ones that admit this generation."""
        # While no server can be reached the averages don't count the lookup; otherwise a zone that comes back
        # cold would get too little work.
        warm = self.warm_capacity[role] * any(not state.unreachable for state in self.by_role[role])
        self.legs_done[role] = faded(
            (self.legs_done[role], self.lookup_capacity[role][1]), now, self.RATE_SPAN, self.RETAINED_SHARE
        )
        self.lookup_capacity[role] = (
            faded(self.lookup_capacity[role], now, self.RATE_SPAN, self.RETAINED_SHARE) + warm,
            now,
        )
        cold = {
            state
            for state in self.by_role[role]
            if state.server.started is not None and self.is_cold(state, now)
        }
        if now - self.planned_at > SECOND and (
            cold or any([state.unreachable for state in self.by_role[role]])
        ):
            self.plan_cells(now)
        return [
            state
            for state in self.healthy(role, now)
            if state not in cold or self.admit_cold(state, now, gen)
        ]
