"""Sampling parameters as the published HTTP APIs name them, with the bounds that they are checked against."""

from typing import Annotated, Any

from pydantic import Field, model_validator

from stackpitch.settings.model import StrictModel

IDS = ("logit_bias", "stop_token_ids", "allowed_token_ids", "bad_words_ids")  # those that hold token ids
BAN = -100.0  # a bias from here down bans the token

TokenId = Annotated[int, Field(ge=0, le=2_097_151)]
IdText = Annotated[str, Field(pattern=r"^(0|[1-9][0-9]{0,6})$")]
Tokens = Annotated[int, Field(ge=0, le=1_000_000)]


class Bounds(StrictModel):
    """On what a request may ask for as `max_tokens`."""

    least: Annotated[int, Field(ge=1, le=1_000_000)] = 1
    most: Annotated[int, Field(ge=1, le=1_000_000)] = 1_000_000


class Parameters(StrictModel):
    """None: not set."""

    logit_bias: (
        Annotated[dict[IdText, Annotated[float, Field(ge=-100, le=100)]], Field(max_length=4096)] | None
    ) = None
    stop_token_ids: Annotated[list[TokenId], Field(max_length=1024)] | None = None
    allowed_token_ids: Annotated[list[TokenId], Field(min_length=1, max_length=65_536)] | None = None
    bad_words_ids: (
        Annotated[list[Annotated[list[TokenId], Field(min_length=1, max_length=64)]], Field(max_length=1024)]
        | None
    ) = None
    stop: (
        Annotated[list[Annotated[str, Field(min_length=1, max_length=256)]], Field(max_length=16)] | None
    ) = None
    top_k: Annotated[int, Field(ge=-1, le=2_097_152)] | None = None  # -1 and 0: off
    top_p: Annotated[float, Field(gt=0, le=1)] | None = None
    min_p: Annotated[float, Field(ge=0, le=1)] | None = None
    temperature: Annotated[float, Field(ge=0, le=2)] | None = None
    min_tokens: Tokens | None = None
    max_tokens: Annotated[int, Field(ge=1, le=1_000_000)] | None = None
    max_tokens_bounds: Bounds | None = None

    @model_validator(mode="after")
    def lengths_fit(self) -> "Parameters":
        bounds = self.max_tokens_bounds
        if bounds is not None and bounds.least > bounds.most:
            raise ValueError(
                f"max_tokens_bounds: found least {bounds.least} above most {bounds.most}; allowed: up to it"
            )
        if (
            bounds is not None
            and self.max_tokens is not None
            and not bounds.least <= self.max_tokens <= bounds.most
        ):
            raise ValueError(
                f"max_tokens: found {self.max_tokens}; allowed: {bounds.least} to {bounds.most} by its bounds"
            )
        if self.min_tokens is not None and self.max_tokens is not None and self.min_tokens > self.max_tokens:
            raise ValueError(
                f"min_tokens: found {self.min_tokens}; allowed: up to max_tokens, {self.max_tokens}"
            )
        return self

    def given(self) -> dict[str, Any]:
        """Those that are set."""
        return self.model_dump(exclude_none=True)
