"""What the servers hold and have queued: by our own legs, by reports and by peers' words."""

from stackpitch.brain.server_state import ServerState, faded
from stackpitch.brain.slow_start import SlowStart
from stackpitch.interface import SECOND, Generation, Report, Role, Time


class Load(SlowStart):
    SLOW_HELD, SLOWED = 0.5, 2.0  # held share past which a mixed server slows; SLO times for a whole one
    FOLLOW, SCALE, SPOKEN = 3 * SECOND // 2, 100, 200  # means follow what we hold; in words: scale, servers
    BEHIND = 2.0  # prompts that a reader is taken to be behind by, for an SLO time that our last leg waited
    REPORT_AGE, REPORT_SAY = 6 * SECOND, 0.15  # it loses its say to its role's mean; its weight there

    def flow(self, seat: ServerState) -> float:
        """Tokens that ever came in, ours and, by our mean over its role, the other gateways'."""
        return seat.poured + (self.gateways - 1) * self.mean[seat.server.role]

    def peer_held_share(self, role: Role, now: Time) -> float:
        """What the others hold of a server's memory on average: by all reports, else as much as we each."""
        if (told := self.peer_held.get(role)) is not None:
            return told
        seats = self.by_role[role]
        share = sum([one.own_tok for one in seats]) / max(1, sum([one.server.memory_tok for one in seats]))
        return share * (self.gateways - 1)

    def follow(self, now: Time) -> None:
        """Moves the means by server towards what we hold ourselves, which all gateways do."""
        part, self.followed = min(1.0, (now - self.followed) / self.FOLLOW), now
        for one in self.ordered:
            one.mean_share += part * (one.own_tok / one.memory - one.mean_share)

    def encode_means(self, now: Time) -> bytes:
        """Our list's mark, a place in it, from there a byte a server: what a gateway holds of it, by us."""
        self.follow(now)
        start = self.said if self.said < len(self.ordered) else 0
        part = self.ordered[start : start + self.SPOKEN]
        self.said, head = (
            start + len(part),
            self.list_digest + start.to_bytes(2, "little"),
        )  # the next goes on there
        return head + bytes(min(255, round(self.SCALE * self.gateways * one.mean_share)) for one in part)

    def merge_means(self, now: Time, word: bytes) -> None:
        """A peer's means stand in for reports: meeting half-way again and again makes them those of all."""
        part = self.ordered[(start := int.from_bytes(word[4:6], "little")) : start + self.SPOKEN]
        if word[:4] != self.list_digest or len(word) != 6 + len(part):
            return
        self.follow(now)
        for one, said in zip(part, word[6:]):
            one.mean_share += (1 if one.reported_at < 0 else 0.5) * (
                said / self.SCALE / self.gateways - one.mean_share
            )
            one.peer_share, one.reported_at = one.mean_share * (self.gateways * self.reach - 1), now
        told = {
            role: [one.peer_share for one in of if one.reported_at >= 0] for role, of in self.by_role.items()
        }
        self.peer_held = {role: sum(of) / len(of) for role, of in told.items() if of}

    def queued_tok(self, seat: ServerState, now: Time, gen: Generation) -> float:
        """Tokens before this one's at a reader; at a mixed server, as many as are read while it slows it."""
        behind = self.BEHIND * gen.prompt_tok * faded(seat.late, now, self.LATE_SPAN) / max(1, gen.slo())
        behind = 0.0 if self.peers else behind  # by their words; else by the last wait there
        if seat.server.role == "mixed":
            slow = self.SLOWED * max(0.0, self.full(seat, now) - self.SLOW_HELD)
            return slow * gen.slo() * self.ahead / self.usual["reader"] + behind
        if self.peers:
            return seat.own_tok + max(0.0, seat.peer_share * seat.server.memory_tok)
        return self.alike * seat.own_tok + behind  # as if a few gateways did as we

    def held_share(self, seat: ServerState, now: Time, usual: float) -> float:
        """Projected share of memory: own legs grown by their answers, others' as reported or usual."""
        share, age = seat.own_tok / seat.memory + usual, (now - seat.reported_at) / self.REPORT_AGE
        return share + (1 - age) * (seat.peer_share - usual) if age < 1 else share

    def full(self, seat: ServerState, now: Time) -> float:
        return self.held_share(seat, now, self.peer_held_share(seat.server.role, now))

    def reported(self, seat: ServerState, now: Time, report: Report | None) -> None:
        if report is not None and report.held_share is not None:
            seat.peer_share, seat.reported_at = report.held_share - seat.own_tok / seat.memory, now
            mean = self.peer_held.setdefault(seat.server.role, seat.peer_share)
            self.peer_held[seat.server.role] = mean + self.REPORT_SAY * (seat.peer_share - mean)
