"""Session affinity: a later turn is read by the server that wrote the session's earlier turns, its owner."""

from _blake2 import blake2b  # as in hashlib, which loads OpenSSL as well
from struct import Struct

from stackpitch.brain.reader import Reader
from stackpitch.brain.server_state import ServerState
from stackpitch.interface import MS, SECOND, Generation, Leg, Time


class AffinityEntry:  # what a session is taken to have left at its owner
    def __init__(self, seat: ServerState, at: Time, tok: int, earlier: int, flow: float) -> None:
        self.seat, self.started, self.at = seat, seat.server.started, at
        self.tok, self.earlier, self.flow = tok, earlier, flow


class SessionAffinity:
    AGE, SIZE = 60 * SECOND, 20_000  # of an entry, and sessions at most
    NEW_TOK, HELD_SHARE = 1500, 0.8  # bounds for a turn to be read by its owner; a history is likely kept
    REACH = 0.9  # until so much of the memory not held has come in after it

    def __init__(self, reader: Reader) -> None:
        self.dispatcher, self.fleet, self.below = reader.dispatcher, reader.fleet, reader
        self.entries: dict[bytes, AffinityEntry] = {}  # by session; emptied by age, size and evidence of loss

    @staticmethod
    def session_key(gen: Generation) -> bytes:
        return blake2b((gen.session or "").encode(), digest_size=8).digest() if gen.session else b""

    def take(self, now: Time, gen: Generation) -> None:
        kept = None if gen.legs else self.valid(now, self.session_key(gen))
        if (
            kept is None
            or gen.prompt_tok - kept.tok > self.NEW_TOK
            or self.fleet.full(kept.seat, now) >= self.HELD_SHARE
            or self.fleet.is_unhealthy(kept.seat, now)
            or not self.dispatcher.may_send(now, gen, kept.seat.server)
        ):
            self.below.take(now, gen)
        elif not self.below.admission.sheds(now, gen, 0.0):
            self.below.writer.send(now, gen, kept.seat)

    def valid(self, now: Time, key: bytes) -> AffinityEntry | None:
        """The session's entry, if its owner is there and likely still keeps the history."""
        if (kept := self.entries.get(key)) is None:
            return None
        fleet, seat, server = self.fleet, kept.seat, kept.seat.server
        lost = fleet.flow(seat) - kept.flow > self.REACH * (1 - fleet.full(seat, now)) * server.memory_tok
        same = (
            fleet.server_states.get(server) is seat
            and server.started == kept.started
            and server.state == "ready"
        )
        if same and not lost and now - kept.at <= self.AGE:
            return kept
        del self.entries[key]
        return None

    def put(self, now: Time, key: bytes, kept: AffinityEntry) -> None:
        self.entries.pop(key, None)
        self.entries[key] = kept
        if len(self.entries) > self.SIZE or now - next(iter(self.entries.values())).at > self.AGE:
            del self.entries[next(iter(self.entries))]

    def stream_started(self, now: Time, leg: Leg) -> None:
        gen, key = leg.gen, self.session_key(leg.gen)
        if key and (leg.server.role != "writer" or self.below.local_reads):
            old, seat = self.entries.get(key), self.fleet.server_states[leg.server]
            self.put(
                now,
                key,
                AffinityEntry(seat, now, gen.prompt_tok, old.tok if old else 0, self.fleet.flow(seat)),
            )

    def back(self, now: Time, leg: Leg, kept_tok: int, no_state: bool) -> None:
        gen, key = leg.gen, self.session_key(leg.gen)
        kept = self.entries.get(key)
        here = leg.outcome == "streamed" and kept is not None and kept.seat.server is leg.server
        if here and 2 * kept_tok < kept.earlier and not any(one.server.role == "reader" for one in gen.legs):
            del self.entries[key]
        elif here:
            kept.at, kept.flow = now, self.fleet.flow(kept.seat)
            kept.tok = gen.prompt_tok + min(
                gen.max_output_tok, (now - leg.sent) // max(1, gen.product.token_gap)
            )


class AffinityDirectory:
    """Finds owners that other gateways know: the session's hash names its home, which is told and asked."""

    WAIT, PART = 100 * MS, 0.1  # for the answer at most; and of the time that is left
    QUIET, REACH_SAY = 5 * SECOND, 0.1  # a home without an answer rests so long; weight of one
    ENTRY = Struct("<IIH")  # server, tokens kept, age in ms; after kind and session
    ASK, TELL, KNOWN, UNKNOWN = b"?", b"!", b"=", b"-"

    def __init__(self, owner: SessionAffinity) -> None:
        self.affinity, self.fleet, self.gateway = owner, owner.fleet, owner.fleet.gateway
        self.asked: dict[bytes, Generation] = {}  # emptied by the answer, or once it has taken too long
        self.quiet: dict[int, Time] = {}  # by gateway: not asked until then; as many as there are

    def home(self, key: bytes) -> int:
        return int.from_bytes(key[:4], "little") % self.fleet.gateways

    def take(self, now: Time, gen: Generation) -> None:
        home = self.home(key := self.affinity.session_key(gen))
        some = self.fleet.by_role["writer"] or self.fleet.by_role["mixed"]  # else no owner could be used
        ask = self.fleet.peers and some and key and home != self.fleet.number and key not in self.asked
        if not ask:
            self.affinity.take(now, gen)
        elif now < self.quiet.get(home, 0):
            self.go_on(now, gen, False)
        else:
            self.asked[key] = gen
            self.tell(now, home, self.ASK, key, None)
            wait = min(self.WAIT, int(self.PART * (gen.deadline - now)))
            self.gateway.call_later(max(MS, wait), lambda then: self.late(then, key, gen))

    def late(self, now: Time, key: bytes, gen: Generation) -> None:
        if self.asked.get(key) is gen:
            self.quiet[self.home(key)] = now + self.QUIET
            self.go_on(now, self.asked.pop(key), False)

    def go_on(self, now: Time, gen: Generation, answered: bool) -> None:
        self.fleet.reach += self.REACH_SAY * (answered - self.fleet.reach)
        if not gen.over:
            self.affinity.take(now, gen)

    def tell(self, now: Time, peer: int, kind: bytes, key: bytes, kept: AffinityEntry | None) -> None:
        of = (kept.seat.hash, kept.tok, min(65_535, (now - kept.at) // MS)) if kept is not None else ()
        self.gateway.send_to_peer(
            peer, kind + key + (self.ENTRY.pack(*of) if of else b"") + self.fleet.encode_means(now)
        )

    def back(self, now: Time, leg: Leg, kept_tok: int, no_state: bool) -> None:
        key = self.affinity.session_key(leg.gen)
        away = self.fleet.peers and key and leg.outcome == "streamed" and self.home(key) != self.fleet.number
        if away and (kept := self.affinity.valid(now, key)) is not None:
            self.tell(now, self.home(key), self.TELL, key, kept)

    def peer_message(self, now: Time, peer: int, octets: bytes) -> None:
        """A peer's word. One that is malformed, late or names a server not on our list says nothing."""
        kind, key, rest = octets[:1], octets[1:9], octets[9:]
        if kind in (self.TELL, self.KNOWN) and len(rest) >= self.ENTRY.size:
            server, tok, age = self.ENTRY.unpack_from(rest)
            rest, seat = rest[self.ENTRY.size :], self.fleet.by_hash.get(server)
            if seat is not None:
                self.affinity.put(
                    now, key, AffinityEntry(seat, now - age * MS, tok, 0, self.fleet.flow(seat))
                )
        elif kind == self.UNKNOWN:
            self.affinity.entries.pop(key, None)
        elif kind == self.ASK and len(key) == 8:
            kept = self.affinity.valid(now, key)
            self.tell(now, peer, self.KNOWN if kept is not None else self.UNKNOWN, key, kept)
        else:
            return
        self.fleet.merge_means(now, rest)
        self.quiet.pop(peer, None)
        if kind in (self.KNOWN, self.UNKNOWN) and key in self.asked:
            self.go_on(now, self.asked.pop(key), True)
