"""Operators' routing rules."""

from typing import Annotated, Literal

from pydantic import Field

from stackpitch.settings.model.base import Integer, Name, StrictModel

Clock = Annotated[str, Field(pattern=r"^([01]\d|2[0-3]):[0-5]\d-([01]\d|2[0-3]):[0-5]\d$")]


class Hours(StrictModel):
    """`clock` is the begin and end of the span, as 22:00-06:00; `days` are those on which it begins."""

    clock: Clock
    days: list[Literal["mon", "tue", "wed", "thu", "fri", "sat", "sun"]] = []  # empty: every day


class Where(StrictModel):
    """Selects the servers that match every list that is not empty."""

    servers: list[Name] = []
    cells: list[Integer] = []
    zones: list[str] = []
    kinds: list[Name] = []
    roles: list[Literal["reader", "writer", "mixed"]] = []


class Rule(StrictModel):
    """A routing rule. It only narrows the choice of servers, so it can't override any of the five rules."""

    name: Annotated[str, Field(min_length=1, max_length=80)]
    how: Literal["only", "prefer", "avoid", "never"]
    where: Where
    products: list[Name] = []  # empty: all
    customers: list[Name] = []  # empty: all, also generations without a customer
    hours: list[Hours] = []  # empty: always
