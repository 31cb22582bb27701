"""GossipChannel between gateways, over their admin ports."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from stackpitch.gateway.connections import EngineConnections
from stackpitch.interface import Time
from stackpitch.loop import ConnectFailed, ConnectionLost, Coro, Group, World
from stackpitch.wire import http

if TYPE_CHECKING:
    from stackpitch.gateway.metrics import Metrics

MAX_GOSSIP_BYTES = 256  # bytes, at most


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """The other gateways' admin ports by number, our own too; empty: none. `limit`: for a word, in ticks."""

    admin: Sequence[str] = ()
    number: int = 0
    limit: Time = 0
    max_words: int = 0


NO_PEERS = GossipSettings()


class GossipChannel:
    """`hears`: told what a peer said, by its number."""

    def __init__(
        self,
        world: World,
        group: Group,
        metrics: "Metrics",
        connections: EngineConnections,
        peers: GossipSettings,
        hears: Callable[[int, bytes], None],
    ) -> None:
        self.world, self.group, self.metrics, self.connections = world, group, metrics, connections
        self.peers, self.hears = peers, hears
        self.under_way = 0

    def send(self, peer: int, octets: bytes) -> None:
        """One word to another gateway. None is repeated; one that can't leave now is dropped and counted."""
        peers = self.peers
        if (
            len(octets) > MAX_GOSSIP_BYTES
            or not 0 <= peer < len(peers.admin)
            or self.under_way >= peers.max_words
        ):
            self.metrics.gossip_messages.labels("not-sent").inc()
            return
        from urllib.parse import urlencode  # not at the start: a gateway of the platform has no use for it

        host, _, port = peers.admin[peer].rpartition(":")
        query = urlencode({"from": peers.number, "word": octets.hex()})

        def call() -> Coro[None]:
            end = "lost"
            try:
                with self.world.limit(peers.limit):
                    stream = yield from self.world.connect((host, int(port)), peers.limit)
                    try:
                        answer = yield from self.connections.exchange(
                            stream, "POST", f"/peer?{query}", host, b"", last=True
                        )
                        end = "sent" if answer is not None and answer.status == 200 else "lost"
                    finally:
                        stream.close()
            except (ConnectionLost, ConnectFailed, http.BadMessage):
                pass
            finally:
                self.under_way -= 1
                self.metrics.gossip_messages.labels(end).inc()

        self.under_way += 1
        self.group.spawn(call(), f"word to {peer}")

    def receive(self, peer: str, word: str) -> bool:
        """A word that came in. What is unknown, oversized or malformed is dropped and counted, and False."""
        try:
            number, octets = int(peer), bytes.fromhex(word)
        except ValueError:
            number, octets = -1, b""
        others = 0 <= number < len(self.peers.admin) and number != self.peers.number
        if not others or not octets or len(octets) > MAX_GOSSIP_BYTES:
            self.metrics.gossip_messages.labels("dropped").inc()
            return False
        self.metrics.gossip_messages.labels("heard").inc()
        self.hears(number, octets)
        return True
