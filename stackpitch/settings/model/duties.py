"""Work for the whole fleet: who votes, who may own it, and by what times."""

from typing import Annotated

from pydantic import Field, model_validator

from stackpitch.settings.model.base import Count, Name, PositiveFloat, StrictModel


class WeightsSettings(StrictModel):
    """The duty `weights`: models to the sites."""

    wanted: Annotated[str, Field(min_length=1)]  # the wanted file; the same at every gateway
    folder: Annotated[
        str, Field(min_length=1)
    ]  # where this gateway's site keeps its models; made if it is missing


class VocabularySettings(StrictModel):
    """The duty `vocabulary`: what sampling parameters mean after a change of tokenizer."""

    vocabularies: Annotated[
        str, Field(min_length=1)
    ]  # the file that names vocabularies; the same at every gateway
    profiles: Annotated[str, Field(min_length=1)]  # the sampling profiles; the same at every gateway
    most_share: Annotated[float, Field(ge=0, le=1)] = (
        0.0  # of the revenue that may lose its meaning without a confirmation
    )
    judge_ms: PositiveFloat = 120000  # for judging, after which it is given up


class Duties(StrictModel):
    """Off while `voters` is empty. All but `file` has to be the same at all gateways of the fleet."""

    fleet: str = ""  # its name, in every call: what comes from another fleet is dropped
    voters: list[Annotated[int, Field(ge=0, le=1023)]] = Field(default=[], max_length=7)  # by `module.number`
    names: list[Name] = Field(default=[], max_length=16)  # the duties
    file: str = ""  # where this gateway keeps what it promised as a voter; on a disk that outlives it
    generation: Annotated[int, Field(ge=0, le=1023)] = (
        0  # raised by an operator once a majority of the files is lost
    )
    lease_ms: Annotated[float, Field(ge=200, le=60000)] = 3000
    drift: Annotated[float, Field(ge=0, le=0.1)] = (
        0.01  # share that a clock may gain or lose against true time
    )
    call_ms: PositiveFloat = (
        250  # for a call between gateways, connecting included, after which it counts as lost
    )
    announce_ms: PositiveFloat = 60000  # in which an owner tells each gateway once more that it is there
    max_calls: Count = 64  # under way at once from this gateway; others wait
    weights: WeightsSettings | None = None  # with `weights` among the names
    vocabulary: VocabularySettings | None = None  # with `vocabulary` among the names

    @model_validator(mode="after")
    def whole(self) -> "Duties":
        if self.voters and not self.fleet:
            raise ValueError("fleet: missing; allowed: a name, the same at all gateways")
        if len(set(self.voters)) != len(self.voters):
            raise ValueError(f"voters: found {self.voters}; allowed: each number once")
        if len(set(self.names)) != len(self.names):
            raise ValueError(f"names: found {self.names}; allowed: each name once")
        for name, part in (("weights", self.weights), ("vocabulary", self.vocabulary)):
            if part is not None and name not in self.names:
                raise ValueError(
                    f"{name}: set, and no duty of that name; allowed: with {name!r} among duties.names"
                )
        if self.voters and self.call_ms * 4 > self.lease_ms:
            raise ValueError(
                f"call_ms: found {self.call_ms:g}; allowed: up to a quarter of lease_ms ({self.lease_ms:g})"
            )
        return self
