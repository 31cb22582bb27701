"""Settings of the tasks that gateways coordinate: voting replicas, leases and the tasks themselves."""

from typing import Annotated

from pydantic import Field, model_validator

from stackpitch.settings.model.base import Count, Name, PositiveFloat, StrictModel


class WeightsSettings(StrictModel):
    """The task `weights`: distributes model weights to the sites."""

    wanted: Annotated[str, Field(min_length=1)]  # file of the wanted models; the same at every gateway
    # Directory of the models at this gateway's site; created if it is missing.
    folder: Annotated[str, Field(min_length=1)]


class VocabularySettings(StrictModel):
    """The task `vocabulary`: checks what sampling parameters mean after a change of tokenizer."""

    # File that lists the vocabularies; the same at every gateway.
    vocabularies: Annotated[str, Field(min_length=1)]
    profiles: Annotated[str, Field(min_length=1)]  # sampling profiles; the same at every gateway
    # Share of the revenue whose parameters may lose their meaning without an operator's confirmation.
    most_share: Annotated[float, Field(ge=0, le=1)] = 0.0
    judge_ms: PositiveFloat = 120000  # time limit of an evaluation


class Duties(StrictModel):
    """Coordinated tasks; off while `voters` is empty. All but `file` must be the same at all gateways."""

    fleet: str = ""  # its name is part of every call, and calls from another fleet are dropped
    voters: list[Annotated[int, Field(ge=0, le=1023)]] = Field(default=[], max_length=7)  # by `module.number`
    names: list[Name] = Field(default=[], max_length=16)  # the tasks that are on
    # Where this gateway persists its promises as a voter; on a disk that outlives the process.
    file: str = ""
    # An operator raises it after a majority of the voters' files was lost.
    generation: Annotated[int, Field(ge=0, le=1023)] = 0
    lease_ms: Annotated[float, Field(ge=200, le=60000)] = 3000
    # Share by which a clock may run fast or slow against true time.
    drift: Annotated[float, Field(ge=0, le=0.1)] = 0.01
    call_ms: PositiveFloat = 250  # time limit of a call between gateways, including the connect
    announce_ms: PositiveFloat = 60000  # interval at which an owner announces itself to each gateway
    max_calls: Count = 64  # concurrent calls from this gateway; further ones wait
    weights: WeightsSettings | None = None  # allowed if `names` has `weights`
    vocabulary: VocabularySettings | None = None  # allowed if `names` has `vocabulary`

    @model_validator(mode="after")
    def check_consistency(self) -> "Duties":
        if self.voters and not self.fleet:
            raise ValueError("fleet: missing; allowed: a name, the same at all gateways")
        if len(set(self.voters)) != len(self.voters):
            raise ValueError(f"voters: found {self.voters}; allowed: each number once")
        if len(set(self.names)) != len(self.names):
            raise ValueError(f"names: found {self.names}; allowed: each name once")
        for name, task_settings in (("weights", self.weights), ("vocabulary", self.vocabulary)):
            if task_settings is not None and name not in self.names:
                raise ValueError(
                    f"{name}: set, but duties.names lacks it; allowed: with {name!r} among duties.names"
                )
        if self.voters and self.call_ms * 4 > self.lease_ms:
            raise ValueError(
                f"call_ms: found {self.call_ms:g}; allowed: up to a quarter of lease_ms ({self.lease_ms:g})"
            )
        return self
