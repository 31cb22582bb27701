"""Sends to the writer with the lowest projected memory; on failure before output to the next."""

from stackpitch.brain.guard import Guard
from stackpitch.brain.seats import Seat, hashed, mix
from stackpitch.interface import MS, NEVER_RAN, Generation, Leg, Time


class Writer:
    GROWTH = 0.4  # of the output limit that answers are taken to reach
    FAR, AWAY, BLIND = 0.2, 0.3, 0.04  # held share by which those not planned, in other zones, unseen lose
    LIMIT_FLOOR, LIMIT_TIMES = 400 * MS, 10  # and so many usual waits: before another writer is tried

    def __init__(self, guard: Guard) -> None:
        self.guard, self.fleet = guard, guard.fleet
        self.plan: dict[Generation, Seat] = {}  # chosen before the read; emptied when the last leg is back

    def projected(self, gen: Generation) -> int:
        gap, most = (gen.product.token_gap if gen.hint is not None else 0), gen.limit_tok
        return gen.prompt_tok + min(most, gen.hint // gap if gap else int(most * self.GROWTH))

    def pick(self, now: Time, gen: Generation, cell: int | None) -> Seat | None:
        seats = self.guard.open("writer", now, gen) or self.guard.open("mixed", now, gen)
        by = hashed(f"{self.fleet.seed} {gen.name}")  # equal servers: not the same for all gateways
        vain = bool(gen.legs) and gen.legs[-1].outcome == "unreachable"  # then to who answered last
        usual = self.fleet.other_share(seats[0].server.role if seats else "writer", now)
        aways = [one.server.zone != self.fleet.zone for one in seats]
        fars = aways if cell is None else [one.server.cell != cell for one in seats]
        slower = (self.FAR, self.FAR + self.AWAY) if self.fleet.others else (self.BLIND, self.BLIND)
        keys = {
            one: (-one.reported_at * vain, self.fleet.held_share(one, now, usual) + slower[away] * far)
            for one, away, far in zip(seats, aways, fars)
        }
        low = min(keys.values(), default=None)
        return min((one for one in keys if keys[one] == low), default=None, key=lambda one: mix(one.hash, by))

    def take(self, now: Time, gen: Generation) -> None:
        seat = self.plan.get(gen)
        if seat is None or self.fleet.unwell(seat, now) or not self.guard.may_send(now, gen, seat.server):
            seat = self.pick(now, gen, gen.legs[-1].server.cell if gen.legs else None)
        if seat is not None:
            self.send(now, gen, seat)

    def send(self, now: Time, gen: Generation, seat: Seat) -> None:
        self.plan.setdefault(gen, seat).drop(gen)
        self.plan[gen] = seat
        tok, role = self.projected(gen), seat.server.role
        seat.put(gen, tok)
        seat.poured += tok
        self.fleet.mean[role] += tok / max(1, len(self.fleet.roles[role]))
        again = gen.product.effect == "idempotent" and len(gen.legs) + 1 < self.guard.max_legs
        patience = max(self.LIMIT_FLOOR, int(self.LIMIT_TIMES * self.fleet.usual[role]))
        self.guard.send(now, gen, seat, patience if again else gen.gives_up)

    def back(self, now: Time, leg: Leg, kept_tok: int, no_state: bool) -> bool:
        gen = leg.gen
        again = gen.product.effect == "idempotent" and len(gen.legs) + 2 <= self.guard.max_legs
        spent = (
            again and leg.outcome not in NEVER_RAN or self.guard.holds.overdue(now, leg)
        )  # gone, or held long
        lost = gen.over or leg.server.role == "reader" or no_state or spent or gen.out()
        if not lost and any(one.outcome == "read" for one in gen.legs):
            self.take(now, gen)
        return not lost and gen.out()
