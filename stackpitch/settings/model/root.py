"""All settings of a gateway."""

from typing import Annotated

from pydantic import Field, model_validator

from stackpitch.settings.model.base import Name, StrictModel
from stackpitch.settings.model.duties import Duties
from stackpitch.settings.model.fleet import Membership
from stackpitch.settings.model.module import Module, Peers
from stackpitch.settings.model.rules import Rule
from stackpitch.settings.model.traffic import Admin, Customer, Door, Engines, Kind, Load, Logs, Product, Stop

# Settings that a running gateway takes over; all others need a restart, and are told as such.
LIVE_SETTINGS = frozenset(
    {"products", "customers", "rules", "utc_offset_min", "weights", "statements", "membership"}
)


class Settings(StrictModel):
    name: Name = "gateway"
    seed: int = 1
    roster: str = Field(min_length=1)  # file of the fleet
    weights: str = ""  # file of weights by server name, over those of the fleet's file; empty: none
    statements: list[str] = []  # files or folders of routing statements; those marked as guards must hold
    kept: str = ""  # file where the last good lists and their history are kept for a restart; empty: nowhere
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
    utc_offset_min: Annotated[int, Field(ge=-1440, le=1440)] = 0  # of the clock that the rules' hours go by
    load: Load = Load()
    duties: Duties = Duties()
    stop: Stop = Stop()
    logs: Logs = Logs()

    @model_validator(mode="after")
    def rules_name_what_is_there(self) -> "Settings":
        listed = len(self.peers.admin)
        if listed and (listed != self.module.gateways or self.module.number >= listed):
            raise ValueError(
                f"peers.admin: found {listed} entries; allowed: none, or one for each of module.gateways "
                f"({self.module.gateways}), with module.number ({self.module.number}) among them"
            )
        duties = self.duties
        if duties.voters and (not listed or max(duties.voters) >= listed):
            raise ValueError(
                f"duties.voters: found {duties.voters}; allowed: under {listed}, as many as peers.admin has"
            )
        if self.module.number in duties.voters and not duties.file:
            raise ValueError(
                f"duties.file: missing; gateway {self.module.number} is a voter and has to keep its word"
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
                for one in named:
                    if one not in known:
                        raise ValueError(
                            f"rules.{number}.{field}: found {one!r}; allowed: {', '.join(known) or 'none'}"
                        )
        return self
