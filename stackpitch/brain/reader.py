"""Picks a reader by a hash of the shared prefix or the session, then a writer, near it if possible.

After a failure the prompt is read again.
"""

from collections import deque
from math import ceil, log

from stackpitch.brain.admission import Admission
from stackpitch.brain.server_state import ServerState, hashed, mix_hashes
from stackpitch.brain.writer import Writer
from stackpitch.interface import MS, Generation, Leg, Time


class Reader:
    """The stage that sends generations to be read (prefilled)."""

    # Readers that cache the same prefix, as a multiple of those that its traffic needs; and the weight of a
    # token that has to be read, against a token that is queued.
    PREFIX_SPREAD, UNCACHED_WEIGHT = 2.0, 2.0
    # How many recent reads the share of a prefix is taken from; and how many servers are compared where
    # gossip tells of queues: with more, all gateways would move away from one server at once.
    RECENT_PREFIXES, COMPARED = 64, 2
    # Time before another reader is tried: at least the first, otherwise so many mean waits.
    LIMIT_FLOOR, LIMIT_FACTOR = 600 * MS, 16
    # A read's answer counts as lost after this many times the wait of a later read, and LOST_FLOOR at least.
    LOST_FLOOR, LOST_FACTOR = 250 * MS, 3

    def __init__(self, admission: Admission, writer: Writer, local_reads: bool, cancels: bool) -> None:
        self.dispatcher, self.fleet, self.admission, self.writer = (
            writer.dispatcher,
            writer.fleet,
            admission,
            writer,
        )
        self.local_reads, self.cancels, self.recent_prefixes = (
            local_reads,
            cancels,
            deque[str](maxlen=self.RECENT_PREFIXES),
        )

    def route(self, now: Time, gen: Generation) -> None:
        """Throttles the generation, or plans its writer and sends it to a reader, or to a mixed server."""
        cost, state = self.pick(now, gen) if self.fleet.peers else (0.0, None)
        if not gen.legs and self.admission.sheds(now, gen, cost):
            return
        # Without gossip admission needs no cost, and a throttled request must not use a cold server's slot.
        state = state if self.fleet.peers else self.pick(now, gen)[1]
        # After admission: a request that is throttled and retried counts once.
        self.recent_prefixes += [gen.shared] if gen.shared is not None else []
        # One server reads and writes: a mixed one, or a writer if there is no reader.
        combined = state is None or state.server.role == "mixed"
        cell = None if combined else self.fleet.pick_writer_cell(state.server.cell)
        target = state if state and combined else self.writer.pick(now, gen, cell)
        if target is None or state is None and target.server.role == "writer" and not self.local_reads:
            self.dispatcher.refuse(gen, "no-server")
        elif combined:
            self.writer.send(now, gen, target)
        else:
            # Replaces the writer that was planned for an earlier read.
            self.writer.planned_writers.pop(gen, target).remove(gen)
            self.writer.planned_writers[gen] = target
            target.assign(gen, self.writer.projected_tok(gen))
            limit = max(self.LIMIT_FLOOR, int(self.LIMIT_FACTOR * self.fleet.mean_wait["reader"]))
            limit += gen.slo() - gen.product.slo_time  # what the SLO allows for the length of the prompt
            state.assign(gen, gen.prompt_tok - (gen.shared_tok if gen.shared is not None else 0))
            self.dispatcher.held_state.read_again(gen)
            self.dispatcher.send(
                now,
                gen,
                state,
                gen.deadline if len(gen.legs) > self.dispatcher.max_legs - 3 else limit,
            )

    def pick(self, now: Time, gen: Generation) -> tuple[float, ServerState | None]:
        """The server with the lowest cost, and the cost: tokens queued there, and weighted tokens that it
        has to read. Servers are tried in an order by weighted rendezvous hashing, which all gateways
        share."""
        states = self.dispatcher.candidates("reader", now, gen) + self.dispatcher.candidates(
            "mixed", now, gen
        )
        states = [state for state in states if state.admitted_gen is gen] or states
        prefix_hash, session_hash = (
            hashed(gen.shared or gen.session or gen.name),
            hashed(gen.session or gen.name),
        )
        local = mix_hashes(prefix_hash, session_hash) / 2**32 < self.fleet.local_session_share
        read_weights, mixed_weight = self.fleet.read_weights, self.fleet.mixed_weight
        weights = [
            mixed_weight if state.server.role == "mixed" else read_weights[state.server.cell]
            for state in states
        ]
        # Servers of other zones come last for a session that is local, and first for one that isn't.
        far = [(state.server.zone == self.fleet.zone) != local for state in states]
        keys = [
            -log((mix_hashes(state.hash, prefix_hash) + 1) / 2**32) / weight
            for state, weight in zip(states, weights)
        ]
        order = sorted(sorted(range(len(states)), key=keys.__getitem__), key=far.__getitem__)
        # With few reads so far, as if there had been more: otherwise each prefix would go to all readers.
        seen = max(self.RECENT_PREFIXES // 2, len(self.recent_prefixes))
        share = (self.recent_prefixes.count(gen.shared) + 1) / (seen + 1) if gen.shared is not None else 0.0
        # The first servers in the order share the prefix; among them the session decides.
        sharing = ceil(
            self.PREFIX_SPREAD * share * sum([weights[index] for index in order if not far[index]])
        )
        order[:sharing] = sorted(
            order[:sharing], key=lambda index: mix_hashes(states[index].hash, session_hash)
        )
        uncached, costs = gen.prompt_tok - gen.shared_tok, list[tuple[float, ServerState]]()
        for rank, index in enumerate(order[: self.COMPARED] if self.fleet.peers else order):
            # The first in the order likely caches earlier turns of the session as well.
            to_read = uncached // 3 if rank == 0 else uncached if rank < sharing else gen.prompt_tok
            cost = (
                self.fleet.queued_tok(states[index], now, gen)
                + self.UNCACHED_WEIGHT * to_read
                + gen.prompt_tok * far[index]
            )
            costs.append((cost, states[index]))
            if cost <= self.UNCACHED_WEIGHT * (uncached if rank + 1 < sharing else gen.prompt_tok):
                break  # no later server costs less, even with an empty queue
        return min(costs, default=(0.0, None), key=lambda priced: priced[0])

    def cancel_overtaken(self, now: Time, state: ServerState, leg: Leg) -> None:
        """Cancels earlier reads at the server that have waited far longer than this one did, in proportion to
        their prompts: their answers are lost."""
        for earlier in list(state.waiting) if self.cancels else ():
            wait = (now - leg.sent) * max(1.0, earlier.gen.prompt_tok / max(1, leg.gen.prompt_tok))
            lost = earlier.sent < leg.sent and now - earlier.sent > max(
                self.LOST_FLOOR, self.LOST_FACTOR * wait
            )
            if lost and len(earlier.gen.legs) + 2 <= self.dispatcher.max_legs:
                self.dispatcher.gateway.cancel(earlier)

    def leg_ended(self, now: Time, leg: Leg, cached_tok: int, no_state: bool) -> bool:
        """Sends to the writer after a read, otherwise has the prompt read again if there is time. Whether
        a leg is in flight then."""
        gen = leg.gen
        futile = (
            self.dispatcher.held_state.too_late_to_reconnect(now, leg)
            or sum(attempt.outcome == "full" for attempt in gen.legs) > 1
        )
        if gen.over or gen.in_flight() or futile:
            return False
        if leg.outcome == "read":
            self.writer.route(now, gen)
        elif (
            now + max(50 * MS, self.fleet.expected_first_token(now, gen) / 2) < gen.deadline
            and len(gen.legs) + 2 <= self.dispatcher.max_legs
        ):
            self.route(now, gen)
        return gen.in_flight()
