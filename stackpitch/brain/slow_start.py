"""Slow start: limits what a cold server, one that started recently, is sent, by what warm ones get done."""

from math import sqrt

from stackpitch.brain.server_state import ServerState, ServerTable, mix_hashes
from stackpitch.interface import Generation, Server, Time


class SlowStart(ServerTable):
    """Limits the work of cold servers to what their age allows."""

    # In units of warm_up * sqrt(cold_from / (1 - cold_from)): how late a roster is assumed to announce a
    # start at most. A cold server is taken to be at most that much older than it is, and is then sent 1.5
    # times what its age allows; `cold_budget` leaves room for 1.6 times.
    ROSTER_DELAY = 0.4

    def effective_start(self, server: Server) -> Time | None:
        """When a server started, by its own report and by when the start was first seen in a roster: the
        report may come from a wrong clock, the roster may be late. None: long ago."""
        if server.started is None or server.start_first_seen is None:
            return server.started
        delay = self.ROSTER_DELAY * self.warm_up * sqrt(self.cold_from / max(1e-9, 1 - self.cold_from))
        return max(server.started, server.start_first_seen - int(min(delay, self.warm_up)))

    def is_cold(self, state: ServerState, now: Time) -> bool:
        """Whether the server started less than `warm_up` ago."""
        started = self.effective_start(state.server)
        return started is not None and now - started < self.warm_up

    def capacity_share(self, state: ServerState, now: Time) -> float:
        """The share of its full capacity that the server is assumed to have, estimated low."""
        # A start in the future is age 0: squared, a negative age would count as a positive one.
        age = max(0, now - (self.effective_start(state.server) or 0)) / self.warm_up
        return self.cold_from + (1 - self.cold_from) * age * age if self.is_cold(state, now) else 1.0

    def admit_cold(self, state: ServerState, now: Time, gen: Generation) -> bool:
        """Whether a generation is admitted to a cold server: one in so many, with a different offset on each
        gateway."""
        # The start time serves as identity only: each gateway converts it to its own clock.
        started, role = state.server.started, state.server.role
        credit = (
            state.admission_credit[1]
            if state.admission_credit[0] == started
            else self.number / self.gateways + mix_hashes(state.hash, 0) / 2**32
        )
        weights = (
            {"writer": 1.0} if role == "writer" else {"reader": 1.0, "mixed": min(1.0, self.mixed_weight)}
        )
        # A gateway with few recent lookups counts the present roster as one more lookup, with as many legs
        # done as its servers have warm capacity. Until `warm_up` after this gateway started, its servers
        # count in full: some may have been cold since before, and the few that are there may be left of many.
        present = {
            listed_role: len(self.by_role[listed_role])
            if now - self.created_at < self.warm_up
            else self.warm_capacity[listed_role]
            for listed_role in weights
        }
        unseen = sum(self.warm_capacity[each_role] for each_role in weights) / max(0.1, sum(present.values()))
        done = sum(self.legs_done[each_role] for each_role in weights) + unseen
        servers = max(
            0.1,
            sum(
                weight * (self.lookup_capacity[each_role][0] + present[each_role])
                for each_role, weight in weights.items()
            ),
        )
        share = self.cold_budget * self.capacity_share(state, now) * weights[role] * done / servers
        state.admission_credit = started, (credit + share) % 1
        state.admitted_gen = gen if state.admission_credit[1] < share else state.admitted_gen
        return state.admitted_gen is gen
