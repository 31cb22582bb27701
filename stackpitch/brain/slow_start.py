"""What a cold server, one that started lately, may be sent, by what a warm one is known to get done."""

from math import sqrt

from stackpitch.brain.seats import Seat, Seats, mix
from stackpitch.interface import Generation, Server, Time


class SlowStart(Seats):
    # Part of warm_up * sqrt(cold_from / (1 - cold_from)): a cold server is taken for so much older than it is
    # at most, and then sent 1.5 times what its age allows. `cold_load` leaves 1.6 times.
    LATE_NEWS = 0.4

    def started(self, server: Server) -> Time | None:
        """When it started, by its claim and by its news: the one may be of a wrong clock, the other late."""
        if server.started is None or server.told is None:
            return server.started
        late = self.LATE_NEWS * self.warm_up * sqrt(self.cold_from / max(1e-9, 1 - self.cold_from))
        return max(server.started, server.told - int(min(late, self.warm_up)))

    def cold(self, seat: Seat, now: Time) -> bool:
        started = self.started(seat.server)
        return started is not None and now - started < self.warm_up

    def warmth(self, seat: Seat, now: Time) -> float:
        """The part of its work that a server is taken to do, on the low side."""
        age = max(0, now - (self.started(seat.server) or 0)) / self.warm_up  # squared: none is below 0
        return self.cold_from + (1 - self.cold_from) * age * age if self.cold(seat, now) else 1.0

    def draw(self, seat: Seat, now: Time, gen: Generation) -> bool:
        """Whether it goes to a cold server: every so-manieth of each gateway, from a place of its own."""
        at, role = seat.server.started, seat.server.role  # a start is told by each process's own clock
        turn = seat.turn[1] if seat.turn[0] == at else self.number / self.gateways + mix(seat.hash, 0) / 2**32
        even = {"writer": 1.0} if role == "writer" else {"reader": 1.0, "mixed": min(1.0, self.whole)}
        # Who remembers little counts the list as one more lookup, done as far as its servers are warm. While
        # some may have been cold since before we came, they count in full: a few may be left of many.
        full = {of: len(self.roles[of]) if now - self.born < self.warm_up else self.warm[of] for of in even}
        unseen = sum(self.warm[one] for one in even) / max(0.1, sum(full.values()))
        done = sum(self.borne[one] for one in even) + unseen
        servers = max(0.1, sum(each * (self.size[one][0] + full[one]) for one, each in even.items()))
        part = self.cold_load * self.warmth(seat, now) * even[role] * done / servers
        seat.turn = at, (turn + part) % 1
        seat.drawn = gen if seat.turn[1] < part else seat.drawn
        return seat.drawn is gen
