"""Session affinity: later turns go to the server that wrote the earlier ones, while it still caches them."""

from _blake2 import blake2b  # as hashlib has it, which would load OpenSSL as well
from struct import Struct

from stackpitch.brain.reader import Reader
from stackpitch.brain.server_state import ServerState
from stackpitch.interface import MS, SECOND, Generation, Leg, Time


class AffinityEntry:
    """What a session is assumed to have cached at its server."""

    def __init__(
        self, state: ServerState, updated_at: Time, history_tok: int, earlier_tok: int, inflow: float
    ) -> None:
        # The server's start time, as a restart empties its cache.
        self.server_state, self.server_started, self.updated_at = state, state.server.started, updated_at
        # Tokens cached; those cached before the last turn; and the server's total inflow at the update.
        self.history_tok, self.earlier_tok, self.inflow = history_tok, earlier_tok, inflow


class SessionAffinity:
    """The stage that sends later turns straight to the session's server."""

    MAX_AGE, MAX_ENTRIES = 60 * SECOND, 20_000
    # A turn goes to the session's server if it adds no more tokens and the server holds less of its memory.
    MAX_NEW_TOK, MAX_HELD_SHARE = 1500, 0.8
    # The history is assumed to be cached until so much of the memory that isn't held has come in since.
    EVICTED_AFTER = 0.9

    def __init__(self, reader: Reader) -> None:
        self.dispatcher, self.fleet, self.next_stage = reader.dispatcher, reader.fleet, reader
        # By session key; emptied by age, by size and by evidence that the history is lost.
        self.entries: dict[bytes, AffinityEntry] = {}

    @staticmethod
    def session_key(gen: Generation) -> bytes:
        """Eight bytes that stand for the session; empty without a session."""
        return blake2b((gen.session or "").encode(), digest_size=8).digest() if gen.session else b""

    def route(self, now: Time, gen: Generation) -> None:
        """Sends a first leg to the session's server if that caches its history, otherwise passes it on."""
        entry = None if gen.legs else self.valid(now, self.session_key(gen))
        if (
            entry is None
            or gen.prompt_tok - entry.history_tok > self.MAX_NEW_TOK
            or self.fleet.projected_share(entry.server_state, now) >= self.MAX_HELD_SHARE
            or self.fleet.is_unhealthy(entry.server_state, now)
            or not self.dispatcher.may_send(now, gen, entry.server_state.server)
        ):
            self.next_stage.route(now, gen)
        elif not self.next_stage.admission.sheds(now, gen, 0.0):
            self.next_stage.writer.send(now, gen, entry.server_state)

    def valid(self, now: Time, key: bytes) -> AffinityEntry | None:
        """The session's entry. Removed if its server is gone or likely no longer caches the history."""
        if (entry := self.entries.get(key)) is None:
            return None
        fleet, state, server = self.fleet, entry.server_state, entry.server_state.server
        evicted = (
            fleet.total_inflow(state) - entry.inflow
            > self.EVICTED_AFTER * (1 - fleet.projected_share(state, now)) * server.memory_tok
        )
        same = (
            fleet.server_states.get(server) is state
            and server.started == entry.server_started
            and server.state == "ready"
        )
        if same and not evicted and now - entry.updated_at <= self.MAX_AGE:
            return entry
        del self.entries[key]
        return None

    def put(self, now: Time, key: bytes, entry: AffinityEntry) -> None:
        """Adds an entry as the newest, and removes the oldest if it is too old or there are too many."""
        self.entries.pop(key, None)
        self.entries[key] = entry
        if (
            len(self.entries) > self.MAX_ENTRIES
            or now - next(iter(self.entries.values())).updated_at > self.MAX_AGE
        ):
            del self.entries[next(iter(self.entries))]

    def stream_started(self, now: Time, leg: Leg) -> None:
        """Enters the server of a stream as the session's, if it can read a later turn itself."""
        gen, key = leg.gen, self.session_key(leg.gen)
        if key and (leg.server.role != "writer" or self.next_stage.local_reads):
            before, state = self.entries.get(key), self.fleet.server_states[leg.server]
            self.put(
                now,
                key,
                AffinityEntry(
                    state,
                    now,
                    gen.prompt_tok,
                    before.history_tok if before else 0,
                    self.fleet.total_inflow(state),
                ),
            )

    def leg_ended(self, now: Time, leg: Leg, cached_tok: int, no_state: bool) -> None:
        """After a stream: adds its output to the entry, or removes the entry if less than half of the earlier
        history was found in the server's cache."""
        gen, key = leg.gen, self.session_key(leg.gen)
        entry = self.entries.get(key)
        written = leg.outcome == "streamed" and entry is not None and entry.server_state.server is leg.server
        if (
            written
            and 2 * cached_tok < entry.earlier_tok
            and not any(attempt.server.role == "reader" for attempt in gen.legs)
        ):
            del self.entries[key]
        elif written:
            entry.updated_at, entry.inflow = now, self.fleet.total_inflow(entry.server_state)
            entry.history_tok = gen.prompt_tok + min(
                gen.max_output_tok, (now - leg.sent) // max(1, gen.product.token_gap)
            )


class AffinityDirectory:
    """Shares affinity entries between gateways: a session's hash names its home gateway, which is sent the
    entry by any gateway that serves the session, and asked for it by any that doesn't know it."""

    # Longest wait for an answer; and as a share of the time that the request has left.
    MAX_WAIT, WAIT_SHARE = 100 * MS, 0.1
    # How long a gateway that didn't answer is not asked; and the weight of one lookup in the answer rate.
    SILENCE_TIME, RATE_WEIGHT = 5 * SECOND, 0.1
    # Follows kind and session key: the server's hash, tokens cached, and the entry's age in ms.
    ENTRY = Struct("<IIH")
    ASK, ANNOUNCE, KNOWN, UNKNOWN = b"?", b"!", b"=", b"-"

    def __init__(self, affinity: SessionAffinity) -> None:
        self.affinity, self.fleet, self.gateway = affinity, affinity.fleet, affinity.fleet.gateway
        # Generations that await an answer, by session key; emptied by the answer or its time limit.
        self.lookups: dict[bytes, Generation] = {}
        # By gateway, the time until which it isn't asked; bounded by the number of gateways.
        self.silent_until: dict[int, Time] = {}

    def home_gateway(self, key: bytes) -> int:
        """The number of the gateway that keeps a session's entry for the others."""
        return int.from_bytes(key[:4], "little") % self.fleet.gateways

    def route(self, now: Time, gen: Generation) -> None:
        """Asks the session's home gateway first, if that is another one and could know of a server."""
        home = self.home_gateway(key := self.affinity.session_key(gen))
        # Without writers and mixed servers, no session's server could be used.
        servers = self.fleet.by_role["writer"] or self.fleet.by_role["mixed"]
        ask = self.fleet.peers and servers and key and home != self.fleet.number and key not in self.lookups
        if not ask:
            self.affinity.route(now, gen)
        elif now < self.silent_until.get(home, 0):
            self.lookup_ended(now, gen, False)
        else:
            self.lookups[key] = gen
            self.send(now, home, self.ASK, key, None)
            wait = min(self.MAX_WAIT, int(self.WAIT_SHARE * (gen.deadline - now)))
            self.gateway.call_later(max(MS, wait), lambda then: self.lookup_timed_out(then, key, gen))

    def lookup_timed_out(self, now: Time, key: bytes, gen: Generation) -> None:
        """Goes on without an answer, unless one has come."""
        if self.lookups.get(key) is gen:
            self.silent_until[self.home_gateway(key)] = now + self.SILENCE_TIME
            self.lookup_ended(now, self.lookups.pop(key), False)

    def lookup_ended(self, now: Time, gen: Generation, answered: bool) -> None:
        """Counts the lookup in the answer rate and passes the generation on, unless its client has left."""
        self.fleet.answer_rate += self.RATE_WEIGHT * (answered - self.fleet.answer_rate)
        if not gen.over:
            self.affinity.route(now, gen)

    def send(self, now: Time, peer: int, kind: bytes, key: bytes, entry: AffinityEntry | None) -> None:
        """Sends a message about a session, followed by the gossip on the servers' load."""
        fields = (
            (entry.server_state.hash, entry.history_tok, min(65_535, (now - entry.updated_at) // MS))
            if entry is not None
            else ()
        )
        self.gateway.send_to_peer(
            peer,
            kind + key + (self.ENTRY.pack(*fields) if fields else b"") + self.fleet.encode_means(now),
        )

    def leg_ended(self, now: Time, leg: Leg, cached_tok: int, no_state: bool) -> None:
        """After a stream: sends the session's entry to its home gateway."""
        key = self.affinity.session_key(leg.gen)
        remote = (
            self.fleet.peers
            and key
            and leg.outcome == "streamed"
            and self.home_gateway(key) != self.fleet.number
        )
        if remote and (entry := self.affinity.valid(now, key)) is not None:
            self.send(now, self.home_gateway(key), self.ANNOUNCE, key, entry)

    def peer_message(self, now: Time, peer: int, message: bytes) -> None:
        """Handles a message of another gateway. One that is malformed, late or about an unknown server has no
        effect on the entries."""
        kind, key, rest = message[:1], message[1:9], message[9:]
        if kind in (self.ANNOUNCE, self.KNOWN) and len(rest) >= self.ENTRY.size:
            server_hash, tok, age = self.ENTRY.unpack_from(rest)
            rest, state = rest[self.ENTRY.size :], self.fleet.by_hash.get(server_hash)
            if state is not None:
                self.affinity.put(
                    now, key, AffinityEntry(state, now - age * MS, tok, 0, self.fleet.total_inflow(state))
                )
        elif kind == self.UNKNOWN:
            self.affinity.entries.pop(key, None)
        elif kind == self.ASK and len(key) == 8:
            entry = self.affinity.valid(now, key)
            self.send(now, peer, self.KNOWN if entry is not None else self.UNKNOWN, key, entry)
        else:
            return
        self.fleet.merge_means(now, rest)
        self.silent_until.pop(peer, None)
        if kind in (self.KNOWN, self.UNKNOWN) and key in self.lookups:
            self.lookup_ended(now, self.lookups.pop(key), True)
