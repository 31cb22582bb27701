"""What a cold server, one that started lately, may be sent, by what a warm one is known to get done."""

from math import sqrt

from stackpitch.brain.server_state import ServerState, ServerTable, mix_hashes
from stackpitch.interface import Generation, Server, Time


class SlowStart(ServerTable):
    # Part of warm_up * sqrt(cold_from / (1 - cold_from)): a cold server is taken for so much older than it is
    # at most, and then sent 1.5 times what its age allows. `cold_load` leaves 1.6 times.
    LATE_NEWS = 0.4

    def effective_start(self, server: Server) -> Time | None:
        """When it started, by its claim and by its news: the one may be of a wrong clock, the other late."""
        if server.started is None or server.start_first_seen is None:
            return server.started
        late = self.LATE_NEWS * self.warm_up * sqrt(self.cold_from / max(1e-9, 1 - self.cold_from))
        return max(server.started, server.start_first_seen - int(min(late, self.warm_up)))

    def is_cold(self, seat: ServerState, now: Time) -> bool:
        started = self.effective_start(seat.server)
        return started is not None and now - started < self.warm_up

    def capacity_share(self, seat: ServerState, now: Time) -> float:
        """The part of its work that a server is taken to do, on the low side."""
        age = (
            max(0, now - (self.effective_start(seat.server) or 0)) / self.warm_up
        )  # squared: none is below 0
        return self.cold_from + (1 - self.cold_from) * age * age if self.is_cold(seat, now) else 1.0

    def admit_cold(self, seat: ServerState, now: Time, gen: Generation) -> bool:
        """Whether it goes to a cold server: every so-manieth of each gateway, from a place of its own."""
        at, role = seat.server.started, seat.server.role  # a start is told by each process's own clock
        turn = (
            seat.admission_credit[1]
            if seat.admission_credit[0] == at
            else self.number / self.gateways + mix_hashes(seat.hash, 0) / 2**32
        )
        even = {"writer": 1.0} if role == "writer" else {"reader": 1.0, "mixed": min(1.0, self.whole)}
        # Who remembers little counts the list as one more lookup, done as far as its servers are warm. While
        # some may have been cold since before we came, they count in full: a few may be left of many.
        full = {
            of: len(self.by_role[of]) if now - self.created_at < self.warm_up else self.warm_capacity[of]
            for of in even
        }
        unseen = sum(self.warm_capacity[one] for one in even) / max(0.1, sum(full.values()))
        done = sum(self.legs_done[one] for one in even) + unseen
        servers = max(
            0.1, sum(each * (self.lookup_capacity[one][0] + full[one]) for one, each in even.items())
        )
        part = self.cold_budget * self.capacity_share(seat, now) * even[role] * done / servers
        seat.admission_credit = at, (turn + part) % 1
        seat.admitted_gen = gen if seat.admission_credit[1] < part else seat.admitted_gen
        return seat.admitted_gen is gen
