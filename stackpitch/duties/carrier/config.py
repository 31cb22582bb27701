"""What the carrier is made with."""

from dataclasses import dataclass

from stackpitch.loop import Time


@dataclass(frozen=True, slots=True)
class DutiesConfig:
    """From settings; times in ticks. `addresses`: each gateway's admin port by number, our own too."""

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
