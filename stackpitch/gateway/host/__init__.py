"""Carries the decision module: tells it what happens (`told`), and does what it decides (`asked`).

Knows no protocol: what differs between them is behind `front`, and legs see it as their `gateway.carrier`.
"""

from stackpitch.gateway.host.backend import Backend
from stackpitch.gateway.host.commands import Host
from stackpitch.gateway.host.gossip import MAX_GOSSIP_BYTES, GossipSettings

__all__ = ["MAX_GOSSIP_BYTES", "Backend", "GossipSettings", "Host"]
