"""The settings of coordinated tasks, as the carrier uses them."""

from dataclasses import dataclass

from stackpitch.loop import Time


@dataclass(frozen=True, slots=True)
class DutiesConfig:
    """The settings of the duties; times in ticks.

    `addresses`: each gateway's admin port by number, this gateway's included. `voters`: the gateways that
    are voting replicas. `max_clock_drift`: against true time, as a fraction. `max_calls`: in flight at
    once.
    """

    fleet: str
    number: int
    addresses: tuple[tuple[str, int], ...]
    voters: tuple[int, ...]
    names: tuple[str, ...]
    file: str
    generation: int
    lease_duration: Time
    max_clock_drift: float
    call_timeout: Time
    announce_period: Time
    max_calls: int

    @property
    def gateways(self) -> int:
        return len(self.addresses)
