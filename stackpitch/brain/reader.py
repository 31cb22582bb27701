"""Picks a reader by a hash of the session, then a writer, near it if it can; reads again on failure."""

from collections import deque
from math import ceil, log

from stackpitch.brain.admission import Admission
from stackpitch.brain.server_state import ServerState, hashed, mix_hashes
from stackpitch.brain.writer import Writer
from stackpitch.interface import MS, Generation, Leg, Time


class Reader:
    SPREAD, SPILL = 2.0, 2.0  # readers that share a text, over those it needs; weight of what is read anew
    TEXTS, LEAST = 64, 2  # of the last reads; servers weighed where peers tell of queues, or all leave one
    LIMIT_FLOOR, LIMIT_TIMES = 600 * MS, 16  # and so many usual waits: before another reader is tried
    LOST_FLOOR, LOST_TIMES = 250 * MS, 3  # and so many waits of a later read: its answer will not come

    def __init__(self, admission: Admission, writer: Writer, local_reads: bool, cancels: bool) -> None:
        self.dispatcher, self.fleet, self.admission, self.writer = (
            writer.dispatcher,
            writer.fleet,
            admission,
            writer,
        )
        self.local_reads, self.cancels, self.texts = local_reads, cancels, deque[str](maxlen=self.TEXTS)

    def take(self, now: Time, gen: Generation) -> None:
        cost, seat = self.pick(now, gen) if self.fleet.peers else (0.0, None)
        if not gen.legs and self.admission.sheds(now, gen, cost):
            return
        seat = seat if self.fleet.peers else self.pick(now, gen)[1]  # who is throttled takes no cold turn
        self.texts += [gen.shared] if gen.shared is not None else []  # not what is throttled and comes again
        whole = seat is None or seat.server.role == "mixed"  # no reader: who answers reads as well
        cell = None if whole else self.fleet.writer_cell(seat.server.cell)
        goal = seat if seat and whole else self.writer.pick(now, gen, cell)
        if goal is None or seat is None and goal.server.role == "writer" and not self.local_reads:
            self.dispatcher.refuse(gen, "no-server")
        elif whole:
            self.writer.send(now, gen, goal)
        else:
            self.writer.planned_writers.pop(gen, goal).drop(gen)  # the one planned for an earlier read
            self.writer.planned_writers[gen] = goal
            goal.put(gen, self.writer.projected(gen))
            most = max(self.LIMIT_FLOOR, int(self.LIMIT_TIMES * self.fleet.usual["reader"]))
            most += gen.slo() - gen.product.slo_time  # what its length is allowed
            seat.put(gen, gen.prompt_tok - (gen.shared_tok if gen.shared is not None else 0))
            self.dispatcher.send(
                now, gen, seat, gen.deadline if len(gen.legs) > self.dispatcher.max_legs - 3 else most
            )

    def pick(self, now: Time, gen: Generation) -> tuple[float, ServerState | None]:
        """Least to wait for, in tokens: reads queued, and what is read anew down an order that all share."""
        seats = self.dispatcher.candidates("reader", now, gen) + self.dispatcher.candidates("mixed", now, gen)
        seats = [one for one in seats if one.admitted_gen is gen] or seats
        text, session = hashed(gen.shared or gen.session or gen.name), hashed(gen.session or gen.name)
        here = mix_hashes(text, session) / 2**32 < self.fleet.stay
        parts, whole = self.fleet.parts, self.fleet.whole
        weight = [whole if one.server.role == "mixed" else parts[one.server.cell] for one in seats]
        far = [(one.server.zone == self.fleet.zone) != here for one in seats]
        keys = [-log((mix_hashes(one.hash, text) + 1) / 2**32) / of for one, of in zip(seats, weight)]
        order = sorted(sorted(range(len(seats)), key=keys.__getitem__), key=far.__getitem__)
        seen = max(self.TEXTS // 2, len(self.texts))  # as if many were seen, or all would spread all
        part = (self.texts.count(gen.shared) + 1) / (seen + 1) if gen.shared is not None else 0.0
        few = ceil(self.SPREAD * part * sum([weight[at] for at in order if not far[at]]))
        order[:few] = sorted(order[:few], key=lambda at: mix_hashes(seats[at].hash, session))
        fresh, costs = gen.prompt_tok - gen.shared_tok, list[tuple[float, ServerState]]()
        for rank, at in enumerate(order[: self.LEAST] if self.fleet.peers else order):
            anew = fresh // 3 if rank == 0 else fresh if rank < few else gen.prompt_tok
            cost = self.fleet.queued_tok(seats[at], now, gen) + self.SPILL * anew + gen.prompt_tok * far[at]
            costs.append((cost, seats[at]))
            if cost <= self.SPILL * (fresh if rank + 1 < few else gen.prompt_tok):
                break  # no later one costs less, even if nothing waits there
        return min(costs, default=(0.0, None), key=lambda one: one[0])

    def overtaken(self, now: Time, seat: ServerState, leg: Leg) -> None:
        """Cancels earlier reads there that wait far longer, token for token: their answers will not come."""
        for one in list(seat.waiting) if self.cancels else ():
            took = (now - leg.sent) * max(1.0, one.gen.prompt_tok / max(1, leg.gen.prompt_tok))
            lost = one.sent < leg.sent and now - one.sent > max(self.LOST_FLOOR, self.LOST_TIMES * took)
            if lost and len(one.gen.legs) + 2 <= self.dispatcher.max_legs:
                self.dispatcher.gateway.cancel(one)

    def back(self, now: Time, leg: Leg, kept_tok: int, no_state: bool) -> bool:
        gen = leg.gen
        vain = (
            self.dispatcher.held_state.overdue(now, leg) or sum(one.outcome == "full" for one in gen.legs) > 1
        )
        if gen.over or gen.in_flight() or vain:
            return False
        if leg.outcome == "read":
            self.writer.take(now, gen)
        elif (
            now + max(50 * MS, self.fleet.expected_first_token(now, gen) / 2) < gen.deadline
            and len(gen.legs) + 2 <= self.dispatcher.max_legs
        ):
            self.take(now, gen)
        return gen.in_flight()
