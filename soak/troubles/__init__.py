"""What is done to the parts of a fleet, one module for each kind of part."""

from soak.fleet import Fleet
from soak.troubles.acts import Act
from soak.troubles.clients import ClientTroubles
from soak.troubles.discovery import DiscoveryTroubles
from soak.troubles.gateways import GatewayTroubles
from soak.troubles.system import SystemTroubles
from soak.troubles.workers import WorkerTroubles

__all__ = ["Act", "ClientTroubles", "acts_of"]


def acts_of(fleet: Fleet) -> dict[str, Act]:
    """What each kind of trouble does, by its name in the plan."""
    parts = (WorkerTroubles, GatewayTroubles, SystemTroubles, DiscoveryTroubles, ClientTroubles)
    return {kind: act for part in parts for kind, act in part(fleet).acts().items()}
