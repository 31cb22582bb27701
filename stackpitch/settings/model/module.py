"""Settings of the decision module, and the other gateways that it exchanges messages with."""

from typing import Annotated

from pydantic import Field

from stackpitch.settings.model.base import Count, HostPort, Milliseconds, PositiveFloat, StrictModel, Whole


class Module(StrictModel):
    """What the decision module knows about its deployment."""

    gateways: Count = 1  # gateways of the deployment
    number: Whole = 0  # of this gateway, from 0
    zone: str = ""
    max_legs: Count = 4  # of a generation
    max_retry_after_ms: Milliseconds = 2000
    local_reads: bool = True  # a writer may prefill a prompt itself
    # Share of a warm server's work that a server can do right after its start.
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.3
    warm_up_ms: Milliseconds = 13000  # from its start until it is warm
    # Load, as a multiple of what a cold server can do, above which it fails.
    fall_multiple: PositiveFloat = 2.5
    probes: bool = False  # engines report load only on request: one probe for each generation


class Peers(StrictModel):
    """Gossip between gateways: small messages that may be lost, received at each gateway's admin port."""

    # address:port of the admin port of each gateway, this one included, by `module.number`; empty: no gossip.
    admin: list[HostPort] = []
    word_ms: PositiveFloat = 50  # time limit of a message, including the connect; then it counts as lost
    max_words: Count = 64  # concurrent messages; further ones are dropped
