"""Lists which site still needs which version, ordered by class, due time, revenue waiting at the site, then name. Pure."""

from typing import NamedTuple

from stackpitch.duties.weights.manifest import Manifest
from stackpitch.duties.weights.plan.site_states import GatewayState, SiteStates, Version
from stackpitch.duties.weights.wanted import Wanted
from stackpitch.loop import Time


class Need(NamedTuple):
    """A version that a site lacks pieces of. `order` is the sort key; its first item is the priority class."""

    order: tuple[int, float, float, str, str]
    site: str
    version: Version
    manifest: Manifest
    missing: int  # bit set of pieces
    receiver: GatewayState

    @property
    def priority(self) -> int:
        return self.order[0]


def needs(wanted: Wanted, sites: SiteStates, now: Time) -> list[Need]:
    """In strict order, for sites whose receiver reports, can write to its disk and knows the manifest."""
    needed = []
    for name, model in wanted.models.items():
        version, due = (name, model.version), float("inf") if model.by_unix_ms is None else model.by_unix_ms
        for site in model.sites:
            receiver = sites.receiver(site, now)
            if receiver is None or receiver.report.trouble is not None or version not in receiver.known:
                continue
            if not sites.reachable(receiver, now):
                continue
            missing = model.manifest.full & ~receiver.have.get(version, 0)
            if missing and version not in receiver.placed:
                order = model.priority, due, -sites.revenue(site, receiver), name, site
                needed.append(Need(order, site, version, model.manifest, missing, receiver))
    return sorted(needed, key=lambda need: need.order)
