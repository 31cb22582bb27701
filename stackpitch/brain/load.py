"""What the servers hold and have queued, by our own legs, by load reports and by gossip between gateways."""

from stackpitch.brain.server_state import ServerState, faded
from stackpitch.brain.slow_start import SlowStart
from stackpitch.interface import SECOND, Generation, Report, Role, Time


class Load(SlowStart):
    """Estimates each server's held memory and queue."""

    # Held share of memory above which a mixed server slows down; and its slope, in SLO times per share.
    MIXED_SLOW_FROM, MIXED_SLOWDOWN = 0.5, 2.0
    # Time over which the mean shares follow what we hold; and for gossip messages: the integer that stands
    # for a share of 1.0, and the servers in a message at most.
    MEAN_SPAN, SHARE_SCALE, SERVERS_PER_MESSAGE = 3 * SECOND // 2, 100, 200
    # Prompts assumed to be queued at a reader for each SLO time that our last leg there waited.
    QUEUED_PROMPTS = 2.0
    # Time over which a report loses its weight to the mean of the server's role; and its weight in that mean.
    REPORT_LIFETIME, REPORT_WEIGHT = 6 * SECOND, 0.15

    def total_inflow(self, state: ServerState) -> float:
        """Tokens ever sent to the server: ours, and for each other gateway our mean over its role."""
        return state.routed_tok + (self.gateways - 1) * self.routed_mean[state.server.role]

    def peer_held_share(self, role: Role, now: Time) -> float:
        """Mean share of a server's memory that other gateways hold, by all reports. Without reports, each of
        them is assumed to hold as much as this one."""
        if (reported := self.peer_held.get(role)) is not None:
            return reported
        states = self.by_role[role]
        share = sum([state.own_tok for state in states]) / max(
            1, sum([state.server.memory_tok for state in states])
        )
        return share * (self.gateways - 1)

    def update_means(self, now: Time) -> None:
        """Moves each server's mean share towards what we hold ourselves, as all gateways do."""
        part, self.means_updated = min(1.0, (now - self.means_updated) / self.MEAN_SPAN), now
        for state in self.ordered:
            state.mean_share += part * (state.own_tok / state.memory_tok - state.mean_share)

    def encode_means(self, now: Time) -> bytes:
        """A gossip message: the digest of our server list, an offset in it in 2 bytes, and from there a
        byte for each server, the share of its memory that is held by all gateways according to our mean."""
        self.update_means(now)
        start = self.gossip_offset if self.gossip_offset < len(self.ordered) else 0
        listed = self.ordered[start : start + self.SERVERS_PER_MESSAGE]
        # The next message continues after these servers.
        self.gossip_offset, head = start + len(listed), self.list_digest + start.to_bytes(2, "little")
        return head + bytes(
            min(255, round(self.SHARE_SCALE * self.gateways * state.mean_share)) for state in listed
        )

    def merge_means(self, now: Time, message: bytes) -> None:
        """Takes over a peer's means, which stand in for reports. Meeting half-way, repeatedly and between
        all gateways, makes the means converge to the mean over all. A message about another server list is
        ignored."""
        listed = self.ordered[
            (start := int.from_bytes(message[4:6], "little")) : start + self.SERVERS_PER_MESSAGE
        ]
        if message[:4] != self.list_digest or len(message) != 6 + len(listed):
            return
        self.update_means(now)
        for state, share in zip(listed, message[6:]):
            state.mean_share += (1 if state.reported_at < 0 else 0.5) * (
                share / self.SHARE_SCALE / self.gateways - state.mean_share
            )
            state.peer_share, state.reported_at = (
                state.mean_share * (self.gateways * self.answer_rate - 1),
                now,
            )
        reported = {
            role: [state.peer_share for state in states if state.reported_at >= 0]
            for role, states in self.by_role.items()
        }
        self.peer_held = {role: sum(held) / len(held) for role, held in reported.items() if held}

    def queued_tok(self, state: ServerState, now: Time, gen: Generation) -> float:
        """Prompt tokens queued before this generation's at a reader. For a mixed server, the tokens that
        could be read in the time by which its load delays the generation."""
        waited = (
            self.QUEUED_PROMPTS
            * gen.prompt_tok
            * faded(state.last_wait, now, self.WAIT_SPAN)
            / max(1, gen.slo())
        )
        waited = 0.0 if self.peers else waited  # with gossip the queues are known; else the last wait tells
        if state.server.role == "mixed":
            slowdown = self.MIXED_SLOWDOWN * max(0.0, self.projected_share(state, now) - self.MIXED_SLOW_FROM)
            return slowdown * gen.slo() * self.mean_queued_tok / self.mean_wait["reader"] + waited
        if self.peers:
            return state.own_tok + max(0.0, state.peer_share * state.server.memory_tok)
        return self.similar_gateways * state.own_tok + waited

    def held_share(self, state: ServerState, now: Time, mean_share: float) -> float:
        """Projected share of the server's memory that is held: by our legs with their expected output, and by
        other gateways as last reported. `mean_share` replaces the report as that ages."""
        share, age = (
            state.own_tok / state.memory_tok + mean_share,
            (now - state.reported_at) / self.REPORT_LIFETIME,
        )
        return share + (1 - age) * (state.peer_share - mean_share) if age < 1 else share

    def projected_share(self, state: ServerState, now: Time) -> float:
        """`held_share`, with the mean of the server's role."""
        return self.held_share(state, now, self.peer_held_share(state.server.role, now))

    def report_received(self, state: ServerState, now: Time, report: Report | None) -> None:
        """Takes over a server's load report; what our own legs hold there is not the peers'."""
        if report is not None and report.held_share is not None:
            state.peer_share, state.reported_at = report.held_share - state.own_tok / state.memory_tok, now
            mean = self.peer_held.setdefault(state.server.role, state.peer_share)
            self.peer_held[state.server.role] = mean + self.REPORT_WEIGHT * (state.peer_share - mean)
