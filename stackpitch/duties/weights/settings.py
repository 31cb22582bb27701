"""This duty's settings, under `duties.weights`."""

from typing import Annotated

from pydantic import Field

from stackpitch.settings.model import Part


class WeightsSettings(Part):
    wanted: Annotated[str, Field(min_length=1)]  # the wanted file; the same at every gateway
    folder: Annotated[str, Field(min_length=1)]  # where this gateway's site keeps its models; made if it is missing
