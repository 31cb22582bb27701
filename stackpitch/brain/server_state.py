"""What this gateway knows of each server, and the tables that the layers of `Fleet` share."""

from zlib import crc32

from stackpitch.interface import MS, SECOND, Gateway, Generation, Leg, ModuleSettings, Role, Server, Time


def hashed(text: str) -> int:
    """A 32-bit hash, equal on all gateways."""
    return crc32(text.encode())


def mix_hashes(first: int, second: int) -> int:
    """Combines two 32-bit hashes into one that ranks servers (rendezvous hashing).

    crc32 is linear, so an exclusive or of two sums alone would keep their order; the product breaks it.
    """
    mixed = (first ^ second) * 0x9E3779B1 & 0xFFFFFFFF
    return (mixed ^ mixed >> 15) * 0x85EBCA6B & 0xFFFFFFFF


def faded(noted: tuple[float, Time], now: Time, span: Time, least: float = 0.0) -> float:
    """A value noted at a time, decayed linearly over `span`, but to no less than the share `least` of it."""
    return noted[0] * max(least, 1 - (now - noted[1]) / span)


class ServerState:
    """What is known of one server. Its tables are bounded by the legs in flight."""

    def __init__(self, server: Server) -> None:
        self.server, self.hash, self.memory_tok = server, hashed(server.name), max(1, server.memory_tok)
        # When each leg without an answer was sent; emptied when its stream starts or it ends.
        self.waiting: dict[Leg, Time] = {}
        # Tokens that our generations occupy here; emptied when their legs end.
        self.tok_by_gen: dict[Generation, int] = {}
        # The sum of these tokens; and all tokens that our legs ever brought here.
        self.own_tok, self.routed_tok = 0, 0
        # When it was last probed; and the share of its memory that one gateway holds, by the gossiped mean.
        self.probed_at, self.mean_share = -1, 0.0
        # The share of its memory that other gateways held, as last reported; and when that was.
        self.peer_share, self.reported_at = 0.0, -SECOND * 60
        # `unreachable`: the last failure was that no connection could be made or that it was reset.
        self.failures, self.ejected_until, self.unreachable = 0, 0, False
        # For slow start: the server's start time, and the credit towards its next admission (1 admits).
        self.admission_credit: tuple[Time | None, float] = None, 0.0
        self.last_wait = 0.0, 0  # how long our last leg waited here, and when that was
        # The generation that may go here while the server is cold.
        self.admitted_gen: Generation | None = None

    def assign(self, gen: Generation, tok: int) -> None:
        """Counts a generation's tokens here, in place of an earlier count."""
        # A client may state a shared prefix that is longer than its prompt, hence no less than 0.
        self.own_tok += max(0, tok) - self.tok_by_gen.get(gen, 0)
        self.tok_by_gen[gen] = max(0, tok)

    def remove(self, gen: Generation) -> None:
        """No longer counts a generation's tokens here."""
        self.own_tok -= self.tok_by_gen.pop(gen, 0)


class ServerTable:
    """The tables and moving averages over all servers, shared by the layers of `Fleet`.

    All are bounded by the number of servers, roles or cells.
    """

    # Time over which the rate of successful legs is averaged; and over which mean waits decay.
    RATE_SPAN, WAIT_SPAN = 4 * SECOND, 10 * SECOND
    # Share of a cold server's budget that is used; and how many gateways are assumed to act as this one does.
    # A lookup retains at least the last share of the averages: a gateway that gets a request only every few
    # seconds would otherwise forget everything between two.
    COLD_BUDGET_SHARE, SIMILAR_GATEWAYS, RETAINED_SHARE = 0.6, 3, 31 / 32

    def __init__(self, gateway: Gateway, seed: int, settings: ModuleSettings) -> None:
        self.gateway, self.seed, self.peers, self.zone = gateway, seed, settings.peers, settings.zone
        self.number, self.gateways, self.warm_up = (
            settings.number,
            settings.gateways,
            max(1, settings.warm_up),
        )
        self.cold_budget, self.cold_from = (
            self.COLD_BUDGET_SHARE * settings.fall_multiple,
            settings.cold_from,
        )
        # By cell: the share of its reads that is written there; and what it can write of other cells' reads.
        self.local_writes, self.spare_writes = dict[int, float](), dict[int, float]()
        # The share of our sessions that is read in this zone; and a mixed server's weight against a reader.
        self.local_session_share, self.mixed_weight = 1.0, 0.0
        self.similar_gateways, self.draws, self.created_at, self.planned_at = (
            min(self.gateways, self.SIMILAR_GATEWAYS),
            0,
            0,
            -1,
        )
        # An entry is removed once its server is gone and its last leg has ended.
        self.server_states: dict[Server, ServerState] = {}
        # Ready servers only.
        self.by_role: dict[Role, list[ServerState]] = {"reader": [], "writer": [], "mixed": []}
        # Capacity of the ready servers, in warm servers; and legs that succeeded, decayed with each lookup.
        self.warm_capacity, self.legs_done = (
            dict.fromkeys(self.by_role, 0.0),
            dict.fromkeys(self.by_role, 0.0),
        )
        self.peer_held: dict[Role, float] = {}  # mean share that others hold, by reports or gossip
        # Servers by the hash that gossip names them by; and the weight of a reader by its cell.
        self.by_hash, self.read_weights = dict[int, ServerState](), dict[int, float]()
        # The servers in the order that gossip lists them in, and the digest of that list.
        self.ordered, self.list_digest = list[ServerState](), b""
        # Offset in `ordered` of the next gossip message; when the means were last updated; and the share of
        # peers that answer lookups.
        self.gossip_offset, self.means_updated, self.answer_rate = 0, 0, 1.0
        self.routed_mean: dict[Role, float] = dict.fromkeys(self.by_role, 0.0)  # of `routed_tok`, over a role
        # Recent successful legs, and when the last was.
        self.recent_successes: dict[Role, tuple[float, Time]] = dict.fromkeys(self.by_role, (0.0, 0))
        # The mean wait as a share of the SLO time; and the warm capacity summed over recent lookups, against
        # which `legs_done` counts.
        self.late_share, self.lookup_capacity = dict(self.recent_successes), dict(self.recent_successes)
        self.mean_queued_tok = 5000.0  # mean of the tokens queued at a reader when our legs were read there
        # Moving average of the wait for a leg's result.
        self.mean_wait: dict[Role, float] = {"reader": 100.0 * MS, "writer": 50.0 * MS, "mixed": 200.0 * MS}

    def random_unit(self) -> float:
        """The next pseudo-random number from 0 up to 1, determined by the seed."""
        self.draws += 1
        return hashed(f"{self.seed} {self.draws}") / 2**32
