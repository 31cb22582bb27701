"""Operators' rules on where work goes."""

from typing import Annotated, Literal

from pydantic import Field

from stackpitch.settings.model.base import Name, StrictModel

Clock = Annotated[str, Field(pattern=r"^([01]\d|2[0-3]):[0-5]\d-([01]\d|2[0-3]):[0-5]\d$")]


class Hours(StrictModel):
    """`clock` from and to, as 22:00-06:00; the days are those on which it begins."""

    clock: Clock
    days: list[Literal["mon", "tue", "wed", "thu", "fri", "sat", "sun"]] = []  # empty: every day


class Where(StrictModel):
    """Servers that are meant in each of the ways that say something."""

    servers: list[Name] = []
    cells: list[int] = []
    zones: list[str] = []
    kinds: list[Name] = []
    roles: list[Literal["reader", "writer", "mixed"]] = []


class Rule(StrictModel):
    """An operators' rule on where work goes. It only narrows: none of the five rules can be overridden by it."""

    name: Annotated[str, Field(min_length=1, max_length=80)]
    how: Literal["only", "prefer", "avoid", "never"]
    where: Where
    products: list[Name] = []  # empty: all
    customers: list[Name] = []  # empty: all, also none
    hours: list[Hours] = []  # empty: always
