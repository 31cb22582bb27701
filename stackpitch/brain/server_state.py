"""What this gateway knows of the servers: one by one, and in tables that the layers of `Fleet` share."""

from zlib import crc32

from stackpitch.interface import MS, SECOND, Gateway, Generation, Leg, ModuleSettings, Role, Server, Time


def hashed(text: str) -> int:
    return crc32(text.encode())


def mix_hashes(one: int, other: int) -> int:
    """Ranks servers by hash. The product spoils the order that crc32 sums alone keep, as they are linear."""
    mixed = (one ^ other) * 0x9E3779B1 & 0xFFFFFFFF
    return (mixed ^ mixed >> 15) * 0x85EBCA6B & 0xFFFFFFFF


def faded(of: tuple[float, Time], now: Time, span: Time, least: float = 0.0) -> float:
    """What is left of a figure noted at a time, if it is forgotten over this span, but for this part."""
    return of[0] * max(least, 1 - (now - of[1]) / span)


class ServerState:
    """One server. Bounded by the roster and the legs that are out."""

    def __init__(self, server: Server) -> None:
        self.server, self.hash, self.memory = server, hashed(server.name), max(1, server.memory_tok)
        self.waiting: dict[Leg, Time] = {}  # legs with no word yet; emptied by stream start or outcome
        self.tok: dict[Generation, int] = {}  # tokens our legs bring here; emptied by outcomes
        self.own_tok, self.poured = 0, 0  # the sum of these; tokens that our legs ever brought here
        self.asked, self.mean_share = (
            -1,
            0.0,
        )  # when last probed; share of it that a gateway holds, by peers' words
        self.peer_share, self.reported_at = (
            0.0,
            -SECOND * 60,
        )  # share that others held by the last report; when
        self.failures, self.ejected_until, self.down = 0, 0, False  # down: no connection held last
        self.admission_credit: tuple[Time | None, float] = (
            None,
            0.0,
        )  # start of the server, and how near its next turn is
        self.late = 0.0, 0  # how long the last leg of ours waited here; and when
        self.admitted_gen: Generation | None = None  # the one that may go there while it is cold

    def put(self, gen: Generation, tok: int) -> None:
        self.own_tok += max(0, tok) - self.tok.get(gen, 0)  # a shared text longer than its prompt may be told
        self.tok[gen] = max(0, tok)

    def drop(self, gen: Generation) -> None:
        self.own_tok -= self.tok.pop(gen, 0)


class ServerTable:
    PACE, LATE_SPAN = 4 * SECOND, 10 * SECOND  # the pace of done legs is averaged; mean waits fade
    # AffinityEntry at least of what a lookup finds: gateways that see one in seconds would forget all between two.
    COLD_CARE, ALIKE, KEPT = 0.6, 3, 31 / 32  # part used of a cold budget; gateways taken to do as we do

    def __init__(self, gateway: Gateway, seed: int, settings: ModuleSettings) -> None:
        self.gateway, self.seed, self.peers, self.zone = gateway, seed, settings.peers, settings.zone
        self.number, self.gateways, self.warm_up = (
            settings.number,
            settings.gateways,
            max(1, settings.warm_up),
        )
        self.cold_budget, self.cold_from = self.COLD_CARE * settings.fall_multiple, settings.cold_from
        self.near, self.wanting = dict[int, float](), dict[int, float]()  # part written there; others to feed
        self.stay, self.whole = 1.0, 0.0  # part of our sessions for this zone; a mixed server's weight
        self.alike, self.count, self.created_at, self.planned = min(self.gateways, self.ALIKE), 0, 0, -1
        self.server_states: dict[
            Server, ServerState
        ] = {}  # a seat goes once its server is gone and its last leg is back
        self.by_role: dict[Role, list[ServerState]] = {
            "reader": [],
            "writer": [],
            "mixed": [],
        }  # the ready ones
        self.warm_capacity, self.legs_done = (
            dict.fromkeys(self.by_role, 0.0),
            dict.fromkeys(self.by_role, 0.0),
        )  # legs done
        self.peer_held: dict[Role, float] = {}  # mean share that others hold, by reports
        self.by_hash, self.parts = (
            dict[int, ServerState](),
            dict[int, float](),
        )  # by peers' names; readers' by cell
        self.ordered, self.list_digest = (
            list[ServerState](),
            b"",
        )  # the servers as peers' words name them, and its mark
        self.said, self.followed, self.reach = 0, 0, 1.0  # place said up to; means moved; peers that answer
        self.mean: dict[Role, float] = dict.fromkeys(self.by_role, 0.0)  # tokens our legs brought to a server
        self.done: dict[Role, tuple[float, Time]] = dict.fromkeys(self.by_role, (0.0, 0))  # legs; and when
        # The mean wait over the SLO time; the servers by warmth summed over lookups, as `borne` is over legs.
        self.late, self.lookup_capacity = dict(self.done), dict(self.done)
        self.ahead = 5000.0  # mean of the tokens at a reader, while legs of ours were read there
        self.usual: dict[Role, float] = {"reader": 100.0 * MS, "writer": 50.0 * MS, "mixed": 200.0 * MS}

    def chance(self) -> float:
        self.count += 1
        return hashed(f"{self.seed} {self.count}") / 2**32
