"""Hosts the decision module: holds it (`base`), passes events to it (`events`) and carries out its decisions (`commands`).

Independent of the protocol: what differs between protocols is in the `backend`, and legs see the host as
their `gateway.leg_host`.
"""

from stackpitch.gateway.host.backend import Backend
from stackpitch.gateway.host.commands import Host
from stackpitch.gateway.host.gossip import MAX_GOSSIP_BYTES, GossipSettings

__all__ = ["MAX_GOSSIP_BYTES", "Backend", "GossipSettings", "Host"]
