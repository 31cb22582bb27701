"""Field types and the base class that all models of the schema share."""

from ipaddress import AddressValueError, IPv4Address
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

Port = Annotated[int, Field(ge=0, le=65535)]
Milliseconds = Annotated[float, Field(ge=0)]
PositiveFloat = Annotated[float, Field(gt=0)]
MAX_WHOLE = 2**63 - 1  # what the store and messages between gateways can hold
Whole = Annotated[int, Field(ge=0, le=MAX_WHOLE)]
Integer = Annotated[int, Field(ge=-MAX_WHOLE, le=MAX_WHOLE)]
Count = Annotated[int, Field(ge=1, le=MAX_WHOLE)]
Name = Annotated[str, Field(min_length=1, max_length=80, pattern=r"^[A-Za-z0-9._-]+$")]


class StrictModel(BaseModel):
    """Base of all models: frozen, without unknown fields, type conversions, infinities or NaN."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


def _check_host_port(text: str) -> str:
    """Rejects host names: a lookup would block the event loop, and a failed one would end the gateway."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        if port.isdecimal() and 0 < int(port) < 65536:
            return text
    except AddressValueError:
        pass
    raise ValueError("allowed: an IPv4 address, a colon and a port from 1 to 65535")


HostPort = Annotated[str, AfterValidator(_check_host_port)]
