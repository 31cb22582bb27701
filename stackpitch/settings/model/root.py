"""All settings of a gateway."""

from typing import Annotated

from pydantic import Field, model_validator

from stackpitch.settings.model.base import Integer, Name, StrictModel
from stackpitch.settings.model.duties import Duties
from stackpitch.settings.model.fleet import Membership
from stackpitch.settings.model.module import Module, Peers
from stackpitch.settings.model.rules import Rule
from stackpitch.settings.model.traffic import Admin, Customer, Door, Engines, Kind, Load, Logs, Product, Stop

# Settings that a running gateway reloads; a change of any other needs a restart, and is reported as such.
LIVE_SETTINGS = frozenset(
    {"products", "customers", "rules", "utc_offset_min", "weights", "statements", "membership"}
)


class Settings(StrictModel):
    """All settings of a gateway."""

    name: Name = "gateway"
    seed: Integer = 1
    roster: str = Field(min_length=1)  # path of the fleet file
    weights: str = ""  # path of the weights file, which overrides the fleet file's weights; empty: none
    # Files or directories of routing statements; those marked as guards must hold.
    statements: list[str] = []
    # File in which the last good server lists and their history are persisted for a restart; empty: none.
    kept: str = ""
    membership: Membership = Membership()
    door: Door = Door()
    admin: Admin = Admin()
    engines: Engines = Engines()
    module: Module = Module()
    peers: Peers = Peers()
    products: dict[Name, Product] = Field(min_length=1)
    customers: dict[Name, Customer] = {}
    kinds: dict[Name, Kind] = Field(min_length=1)
    rules: list[Rule] = []
    utc_offset_min: Annotated[int, Field(ge=-1440, le=1440)] = 0  # offset of the clock that `rules` use
    load: Load = Load()
    duties: Duties = Duties()
    stop: Stop = Stop()
    logs: Logs = Logs()

    @model_validator(mode="after")
    def check_references(self) -> "Settings":
        peer_count = len(self.peers.admin)
        if peer_count and (peer_count != self.module.gateways or self.module.number >= peer_count):
            raise ValueError(
                f"peers.admin: found {peer_count} entries; allowed: none, or one for each of module.gateways "
                f"({self.module.gateways}), with module.number ({self.module.number}) among them"
            )
        duties = self.duties
        if duties.voters and (not peer_count or max(duties.voters) >= peer_count):
            raise ValueError(
                f"duties.voters: found {duties.voters}; allowed: under {peer_count}, the length of peers.admin"
            )
        if self.module.number in duties.voters and not duties.file:
            raise ValueError(
                f"duties.file: missing; gateway {self.module.number} is a voter and must persist its promises"
            )
        seen = set[str]()
        for number, rule in enumerate(self.rules):
            if rule.name in seen:
                raise ValueError(f"rules.{number}.name: {rule.name!r} stands there twice")
            seen.add(rule.name)
            for field, named, known in (
                ("products", rule.products, list(self.products)),
                ("customers", rule.customers, list(self.customers)),
                ("where.kinds", rule.where.kinds, list(self.kinds)),
            ):
                for name in named:
                    if name not in known:
                        raise ValueError(
                            f"rules.{number}.{field}: found {name!r}; allowed: {', '.join(known) or 'none'}"
                        )
        return self
