"""What the servers hold and have queued: by our own legs, by reports and by peers' words."""

from stackpitch.brain.seats import Seat, faded
from stackpitch.brain.slow_start import SlowStart
from stackpitch.interface import SECOND, Generation, Report, Role, Time


class Load(SlowStart):
    SLOW_HELD, SLOWED = 0.5, 2.0  # held share past which a mixed server slows; SLO times for a whole one
    FOLLOW, SCALE, SPOKEN = 3 * SECOND // 2, 100, 200  # means follow what we hold; in words: scale, servers
    BEHIND = 2.0  # prompts that a reader is taken to be behind by, for an SLO time that our last leg waited
    REPORT_AGE, REPORT_SAY = 6 * SECOND, 0.15  # it loses its say to its role's mean; its weight there

    def flow(self, seat: Seat) -> float:
        """Tokens that ever came in, ours and, by our mean over its role, the other gateways'."""
        return seat.poured + (self.gateways - 1) * self.mean[seat.server.role]

    def other_share(self, role: Role, now: Time) -> float:
        """What the others hold of a server's memory on average: by all reports, else as much as we each."""
        if (told := self.others.get(role)) is not None:
            return told
        seats = self.roles[role]
        share = sum([one.own for one in seats]) / max(1, sum([one.server.memory_tok for one in seats]))
        return share * (self.gateways - 1)

    def follow(self, now: Time) -> None:
        """Moves the means by server towards what we hold ourselves, which all gateways do."""
        part, self.followed = min(1.0, (now - self.followed) / self.FOLLOW), now
        for one in self.order:
            one.mean += part * (one.own / one.memory - one.mean)

    def speak(self, now: Time) -> bytes:
        """Our list's mark, a place in it, from there a byte a server: what a gateway holds of it, by us."""
        self.follow(now)
        start = self.said if self.said < len(self.order) else 0
        part = self.order[start : start + self.SPOKEN]
        self.said, head = start + len(part), self.mark + start.to_bytes(2, "little")  # the next goes on there
        return head + bytes(min(255, round(self.SCALE * self.gateways * one.mean)) for one in part)

    def hear(self, now: Time, word: bytes) -> None:
        """A peer's means stand in for reports: meeting half-way again and again makes them those of all."""
        part = self.order[(start := int.from_bytes(word[4:6], "little")) : start + self.SPOKEN]
        if word[:4] != self.mark or len(word) != 6 + len(part):
            return
        self.follow(now)
        for one, said in zip(part, word[6:]):
            one.mean += (1 if one.reported_at < 0 else 0.5) * (said / self.SCALE / self.gateways - one.mean)
            one.others, one.reported_at = one.mean * (self.gateways * self.reach - 1), now
        told = {role: [one.others for one in of if one.reported_at >= 0] for role, of in self.roles.items()}
        self.others = {role: sum(of) / len(of) for role, of in told.items() if of}

    def wait_tok(self, seat: Seat, now: Time, gen: Generation) -> float:
        """Tokens before this one's at a reader; at a mixed server, as many as are read while it slows it."""
        behind = self.BEHIND * gen.prompt_tok * faded(seat.late, now, self.LATE_SPAN) / max(1, gen.slo())
        behind = 0.0 if self.peers else behind  # by their words; else by the last wait there
        if seat.server.role == "mixed":
            slow = self.SLOWED * max(0.0, self.full(seat, now) - self.SLOW_HELD)
            return slow * gen.slo() * self.ahead / self.usual["reader"] + behind
        if self.peers:
            return seat.own + max(0.0, seat.others * seat.server.memory_tok)
        return self.alike * seat.own + behind  # as if a few gateways did as we

    def held_share(self, seat: Seat, now: Time, usual: float) -> float:
        """Projected share of memory: own legs grown by their answers, others' as reported or usual."""
        share, age = seat.own / seat.memory + usual, (now - seat.reported_at) / self.REPORT_AGE
        return share + (1 - age) * (seat.others - usual) if age < 1 else share

    def full(self, seat: Seat, now: Time) -> float:
        return self.held_share(seat, now, self.other_share(seat.server.role, now))

    def reported(self, seat: Seat, now: Time, report: Report | None) -> None:
        if report is not None and report.held_share is not None:
            seat.others, seat.reported_at = report.held_share - seat.own / seat.memory, now
            mean = self.others.setdefault(seat.server.role, seat.others)
            self.others[seat.server.role] = mean + self.REPORT_SAY * (seat.others - mean)
