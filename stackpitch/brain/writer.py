"""Sends to the writer with the lowest projected memory, and on failure before any output to the next."""

from stackpitch.brain.dispatcher import Dispatcher
from stackpitch.brain.server_state import ServerState, hashed, mix_hashes
from stackpitch.interface import MS, NEVER_RAN, Generation, Leg, Time


class Writer:
    """The last stage of the chain: picks a writer, or a mixed server, and sends to it."""

    OUTPUT_SHARE = 0.4  # share of the output limit that answers are assumed to reach
    # Held share of memory by which servers outside the planned cell are ranked lower; by how much more if
    # they are in another zone; and the penalty of both if nothing is known of what other gateways hold.
    OTHER_CELL_PENALTY, OTHER_ZONE_PENALTY, BLIND_PENALTY = 0.2, 0.3, 0.04
    # Time before another writer is tried: at least the first, otherwise so many mean waits.
    LIMIT_FLOOR, LIMIT_FACTOR = 400 * MS, 10

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher, self.fleet = dispatcher, dispatcher.fleet
        # The server chosen for each generation, before its read; emptied when the last leg has ended.
        self.planned_writers: dict[Generation, ServerState] = {}

    def projected_tok(self, gen: Generation) -> int:
        """Tokens that the generation is expected to occupy at its writer."""
        gap, limit = (
            (gen.product.token_gap if gen.output_time_hint is not None else 0),
            gen.max_output_tok,
        )
        return gen.prompt_tok + min(
            limit, gen.output_time_hint // gap if gap else int(limit * self.OUTPUT_SHARE)
        )

    def pick(self, now: Time, gen: Generation, cell: int | None) -> ServerState | None:
        """The server with the lowest projected held share, preferably in this cell; None if there is none."""
        states = self.dispatcher.candidates("writer", now, gen) or self.dispatcher.candidates(
            "mixed", now, gen
        )
        tie_break = hashed(f"{self.fleet.seed} {gen.name}")  # so that gateways don't all pick the same one
        # After a failed connection, the server that reported last comes first.
        failed = bool(gen.legs) and gen.legs[-1].outcome == "unreachable"
        mean_share = self.fleet.peer_held_share(states[0].server.role if states else "writer", now)
        other_zone = [state.server.zone != self.fleet.zone for state in states]
        other_cell = other_zone if cell is None else [state.server.cell != cell for state in states]
        penalties = (
            (self.OTHER_CELL_PENALTY, self.OTHER_CELL_PENALTY + self.OTHER_ZONE_PENALTY)
            if self.fleet.peer_held
            else (self.BLIND_PENALTY, self.BLIND_PENALTY)
        )
        ranks = {
            state: (
                -state.reported_at * failed,
                self.fleet.held_share(state, now, mean_share) + penalties[away] * far,
            )
            for state, away, far in zip(states, other_zone, other_cell)
        }
        lowest = min(ranks.values(), default=None)
        return min(
            (state for state in ranks if ranks[state] == lowest),
            default=None,
            key=lambda state: mix_hashes(state.hash, tie_break),
        )

    def route(self, now: Time, gen: Generation) -> None:
        """Sends to the planned writer, or to another if that may no longer be sent to."""
        state = self.planned_writers.get(gen)
        if (
            state is None
            or self.fleet.is_unhealthy(state, now)
            or not self.dispatcher.may_send(now, gen, state.server)
        ):
            state = self.pick(now, gen, gen.legs[-1].server.cell if gen.legs else None)
        if state is not None:
            self.send(now, gen, state)

    def send(self, now: Time, gen: Generation, state: ServerState) -> None:
        """Sends to this writer, with a time limit that leaves time for another if the generation may be
        repeated."""
        self.planned_writers.setdefault(gen, state).remove(gen)
        self.planned_writers[gen] = state
        tok, role = self.projected_tok(gen), state.server.role
        state.assign(gen, tok)
        state.routed_tok += tok
        self.fleet.routed_mean[role] += tok / max(1, len(self.fleet.by_role[role]))
        repeatable = gen.product.effect == "idempotent" and len(gen.legs) + 1 < self.dispatcher.max_legs
        limit = max(self.LIMIT_FLOOR, int(self.LIMIT_FACTOR * self.fleet.mean_wait[role]))
        self.dispatcher.send(now, gen, state, limit if repeatable else gen.deadline)

    def leg_ended(self, now: Time, leg: Leg, cached_tok: int, no_state: bool) -> bool:
        """Sends to another writer if the KV state is still there. Whether a leg is in flight then."""
        gen = leg.gen
        repeatable = gen.product.effect == "idempotent" and len(gen.legs) + 2 <= self.dispatcher.max_legs
        # The KV state is gone, as the attempt may have fetched it, or would be released too soon. In the
        # first case a generation that may be repeated is read again, which takes two legs.
        spent = (
            repeatable
            and leg.outcome not in NEVER_RAN
            or self.dispatcher.held_state.too_late_to_reconnect(now, leg)
        )
        lost = gen.over or leg.server.role == "reader" or no_state or spent or gen.in_flight()
        if not lost and any(attempt.outcome == "read" for attempt in gen.legs):
            self.route(now, gen)
        return not lost and gen.in_flight()
