"""Who still needs what, and in which order: by class, time wanted by, revenue that waits at the site, then by name. Pure."""

from typing import NamedTuple

from stackpitch.duties.weights.manifest import Manifest
from stackpitch.duties.weights.plan.site_states import GatewayState, SiteStates, Version
from stackpitch.duties.weights.wanted import Wanted
from stackpitch.loop import Time


class Need(NamedTuple):
    order: tuple[int, float, float, str, str]
    site: str
    version: Version
    manifest: Manifest
    missing: int  # a bit set of pieces
    receiver: GatewayState

    @property
    def priority(self) -> int:
        return self.order[0]


def needs(wanted: Wanted, sites: SiteStates, now: Time) -> list[Need]:
    """Of sites whose receiver is heard, can write, and knows the manifest; in strict order."""
    found = []
    for name, model in wanted.models.items():
        version, by = (name, model.version), float("inf") if model.by_unix_ms is None else model.by_unix_ms
        for site in model.sites:
            receiver = sites.receiver(site, now)
            if receiver is None or receiver.report.trouble is not None or version not in receiver.known:
                continue
            if not sites.reachable(receiver, now):
                continue
            missing = model.manifest.full & ~receiver.have.get(version, 0)
            if missing and version not in receiver.placed:
                order = model.priority, by, -sites.revenue(site, receiver), name, site
                found.append(Need(order, site, version, model.manifest, missing, receiver))
    return sorted(found, key=lambda need: need.order)
