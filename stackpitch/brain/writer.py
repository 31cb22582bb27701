"""Sends to the writer with the lowest projected memory; on failure before output to the next."""

from stackpitch.brain.dispatcher import Dispatcher
from stackpitch.brain.server_state import ServerState, hashed, mix_hashes
from stackpitch.interface import MS, NEVER_RAN, Generation, Leg, Time


class Writer:
    GROWTH = 0.4  # of the output limit that answers are taken to reach
    FAR, AWAY, BLIND = 0.2, 0.3, 0.04  # held share by which those not planned, in other zones, unseen lose
    LIMIT_FLOOR, LIMIT_TIMES = 400 * MS, 10  # and so many usual waits: before another writer is tried

    def __init__(self, guard: Dispatcher) -> None:
        self.dispatcher, self.fleet = guard, guard.fleet
        self.planned_writers: dict[
            Generation, ServerState
        ] = {}  # chosen before the read; emptied when the last leg is back

    def projected(self, gen: Generation) -> int:
        gap, most = (gen.product.token_gap if gen.output_time_hint is not None else 0), gen.max_output_tok
        return gen.prompt_tok + min(most, gen.output_time_hint // gap if gap else int(most * self.GROWTH))

    def pick(self, now: Time, gen: Generation, cell: int | None) -> ServerState | None:
        seats = self.dispatcher.candidates("writer", now, gen) or self.dispatcher.candidates(
            "mixed", now, gen
        )
        by = hashed(f"{self.fleet.seed} {gen.name}")  # equal servers: not the same for all gateways
        vain = bool(gen.legs) and gen.legs[-1].outcome == "unreachable"  # then to who answered last
        usual = self.fleet.peer_held_share(seats[0].server.role if seats else "writer", now)
        aways = [one.server.zone != self.fleet.zone for one in seats]
        fars = aways if cell is None else [one.server.cell != cell for one in seats]
        slower = (self.FAR, self.FAR + self.AWAY) if self.fleet.peer_held else (self.BLIND, self.BLIND)
        keys = {
            one: (-one.reported_at * vain, self.fleet.held_share(one, now, usual) + slower[away] * far)
            for one, away, far in zip(seats, aways, fars)
        }
        low = min(keys.values(), default=None)
        return min(
            (one for one in keys if keys[one] == low), default=None, key=lambda one: mix_hashes(one.hash, by)
        )

    def take(self, now: Time, gen: Generation) -> None:
        seat = self.planned_writers.get(gen)
        if (
            seat is None
            or self.fleet.is_unhealthy(seat, now)
            or not self.dispatcher.may_send(now, gen, seat.server)
        ):
            seat = self.pick(now, gen, gen.legs[-1].server.cell if gen.legs else None)
        if seat is not None:
            self.send(now, gen, seat)

    def send(self, now: Time, gen: Generation, seat: ServerState) -> None:
        self.planned_writers.setdefault(gen, seat).drop(gen)
        self.planned_writers[gen] = seat
        tok, role = self.projected(gen), seat.server.role
        seat.put(gen, tok)
        seat.poured += tok
        self.fleet.mean[role] += tok / max(1, len(self.fleet.by_role[role]))
        again = gen.product.effect == "idempotent" and len(gen.legs) + 1 < self.dispatcher.max_legs
        patience = max(self.LIMIT_FLOOR, int(self.LIMIT_TIMES * self.fleet.usual[role]))
        self.dispatcher.send(now, gen, seat, patience if again else gen.deadline)

    def back(self, now: Time, leg: Leg, kept_tok: int, no_state: bool) -> bool:
        gen = leg.gen
        again = gen.product.effect == "idempotent" and len(gen.legs) + 2 <= self.dispatcher.max_legs
        spent = (
            again and leg.outcome not in NEVER_RAN or self.dispatcher.held_state.overdue(now, leg)
        )  # gone, or held long
        lost = gen.over or leg.server.role == "reader" or no_state or spent or gen.in_flight()
        if not lost and any(one.outcome == "read" for one in gen.legs):
            self.take(now, gen)
        return not lost and gen.in_flight()
