"""What the decision module is told, and the gateways that it may write to."""

from typing import Annotated

from pydantic import Field

from stackpitch.settings.model.base import Count, HostPort, Milliseconds, PositiveFloat, StrictModel


class Module(StrictModel):
    """What the decision module is told of its deployment."""

    gateways: Count = 1
    number: Annotated[int, Field(ge=0)] = 0
    zone: str = ""
    max_legs: Count = 4
    max_retry_after_ms: Milliseconds = 2000
    local_reads: bool = True
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.3
    warm_up_ms: Milliseconds = 13000
    fall_multiple: PositiveFloat = 2.5
    probes: bool = False  # engines tell their load only when asked: one probe with each generation


class Peers(StrictModel):
    """The other gateways. Words between them are small, may be lost, and come in at each gateway's admin port."""

    admin: list[
        HostPort
    ] = []  # address:port of each gateway's admin port, by `module.number`, our own too; empty: none
    word_ms: PositiveFloat = 50  # for a word, connecting included, after which it is lost
    max_words: Count = 64  # under way at once; more are dropped
