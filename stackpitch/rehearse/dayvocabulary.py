"""The part of a day in which a model's next version comes with another vocabulary."""

from typing import Annotated, Literal

from pydantic import Field

from stackpitch.settings.model import Name, StrictModel

Share = Annotated[float, Field(ge=0, le=1)]
Which = Literal["old", "new"]


class Vocabularies(StrictModel):
    """Two tokenizer.json files are made from the day's seed, and sampling profiles for products and customers. Engines begin
    on the old one. Shares are of the share before."""

    words: Annotated[int, Field(ge=20, le=600)] = 80  # that both are trained on, all in all
    common: Share = 0.8  # of those: in both
    new_products: list[Name] = []  # whose default is the new one
    profiles: Annotated[int, Field(ge=1, le=1000)] = 12  # named p0, p1, ... over products and customers
    limit: Share = 0.5  # of revenue that may lose its meaning before a change is held
    # Of generations:
    share: Share = 0.4  # say token ids
    profiled: Share = 0.2  # name a sampling profile instead of saying any
    named: Share = 0.2  # say which of the two they are written for
    lost: Share = 0.1  # say an id whose text is no token of the other one
