"""Gossip messages between gateways, sent over their admin ports."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from stackpitch.gateway.connections import EngineConnections
from stackpitch.interface import Time
from stackpitch.loop import ConnectFailed, ConnectionLost, Coro, Group, World
from stackpitch.wire import http

if TYPE_CHECKING:
    from stackpitch.gateway.metrics import Metrics

MAX_GOSSIP_BYTES = 256  # of one message


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """`admin`: all gateways' admin addresses by number, this one's too; empty: there are no peers.

    `number`: this gateway's. `limit`: time limit for a message, in ticks. `max_pending`: messages on
    their way at once.
    """

    admin: Sequence[str] = ()
    number: int = 0
    limit: Time = 0
    max_pending: int = 0


NO_PEERS = GossipSettings()


class GossipChannel:
    """Sends and receives gossip messages. `on_message`: called with the sender's number and the message."""

    def __init__(
        self,
        world: World,
        group: Group,
        metrics: "Metrics",
        connections: EngineConnections,
        settings: GossipSettings,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        self.world, self.group, self.metrics, self.connections = world, group, metrics, connections
        self.settings, self.on_message = settings, on_message
        self.pending = 0

    def send(self, peer: int, octets: bytes) -> None:
        """Sends a message to another gateway, once; one that can't be sent now is dropped and counted."""
        settings = self.settings
        if (
            len(octets) > MAX_GOSSIP_BYTES
            or not 0 <= peer < len(settings.admin)
            or self.pending >= settings.max_pending
        ):
            self.metrics.gossip_messages.labels("not-sent").inc()
            return
        from urllib.parse import urlencode  # imported here: the platform's gateway never needs it

        host, _, port = settings.admin[peer].rpartition(":")
        query = urlencode({"from": settings.number, "word": octets.hex()})

        def call() -> Coro[None]:
            end = "lost"
            try:
                with self.world.limit(settings.limit):
                    stream = yield from self.world.connect((host, int(port)), settings.limit)
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
                self.pending -= 1
                self.metrics.gossip_messages.labels(end).inc()

        self.pending += 1
        self.group.spawn(call(), f"gossip to {peer}")

    def receive(self, peer: str, message: str) -> bool:
        """Takes a message from the admin port; False if it is dropped.

        Messages of unknown senders and oversized or malformed ones are dropped and counted.
        """
        try:
            number, octets = int(peer), bytes.fromhex(message)
        except ValueError:
            number, octets = -1, b""
        known = 0 <= number < len(self.settings.admin) and number != self.settings.number
        if not known or not octets or len(octets) > MAX_GOSSIP_BYTES:
            self.metrics.gossip_messages.labels("dropped").inc()
            return False
        self.metrics.gossip_messages.labels("heard").inc()
        self.on_message(number, octets)
        return True
