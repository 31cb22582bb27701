"""The gateway's configuration file, read at start and again on SIGHUP."""

from collections.abc import Mapping
from typing import Any

import msgspec

from stackpitch.benchlink.settings import InvalidSetting, SettingsSection
from stackpitch.loop.world import Address
from stackpitch.wire.platform import ServerList, parse_server_list

MINIMUMS = {"sockets": 32, "memory_mb": 24}  # a gateway can't work with less
INVALID_FIELD = "missing, of the wrong kind or out of range"
# The octets of an IPv4 address in their usual spelling; looking them up makes parsing a long list several
# times faster.
OCTETS = frozenset(map(str, range(256)))


class ConfigError(Exception):
    """The configuration can't be used; the message names the field."""


class UnreadableConfig(ConfigError):
    """The file can't be read or is incomplete JSON. A retry may succeed."""

    remedy = "check the file's permissions, the disk and the descriptor limit; write a new file and rename it into place"


class Config(msgspec.Struct, frozen=True):
    """A complete, checked configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # descriptors that the process may hold
    memory_mb: int
    known: ServerList
    settings: SettingsSection


def parse_address(text: str, field: str) -> Address:
    """`text`: an IPv4 address and a port, as in `10.0.0.1:80`. Raises ConfigError, which names `field`."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    numeric = len(parts) == 4 and (
        OCTETS.issuperset(parts)
        or all(part.isascii() and part.isdigit() and int(part) < 256 for part in parts)
    )
    if not numeric or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65_536:
        raise ConfigError(f"{field}: found {text[:60]!r}; an IPv4 address with a port is required")
    return host, int(port)


def parse_seed(text: str) -> int:
    """`text`: hex digits. Raises ConfigError."""
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: found {text[:60]!r}; hex digits are required") from None


def parse_known(values: Any) -> ServerList:
    """The servers to start with until discovery answers. Raises ConfigError."""
    try:
        return parse_server_list(msgspec.json.encode(values))
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None


def read(environ: Mapping[str, str]) -> Config:
    """Reads the file that `RELAY_CONFIG` names in `environ`.

    Raises ConfigError; UnreadableConfig where a retry may help.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: missing")
    try:
        with open(path, "rb") as file:  # pathlib would import urllib
            tree = msgspec.json.decode(file.read())
    except (OSError, msgspec.DecodeError, ValueError, RecursionError) as error:
        raise UnreadableConfig(f"RELAY_CONFIG: {error}") from None
    try:
        top = SettingsSection(tree)
        limits = top.section("limits")
        name = top.get("name", str, environ.get("RELAY_NAME", "gateway"))
        seed = top.get("seed", (str, int), "0")
        for field, minimum in MINIMUMS.items():
            if (value := limits.number(field, minimum)) < minimum:
                raise ConfigError(f"limits.{field}: found {value}; {minimum} is the minimum")
        return Config(
            name,
            parse_address(top.get("listen", str, environ.get("RELAY_LISTEN")), "listen"),
            parse_address(top.get("discovery", str, environ.get("RELAY_DISCOVERY")), "discovery"),
            parse_seed(seed) if isinstance(seed, str) else seed,
            int(limits.number("sockets", 1024)),
            int(limits.number("memory_mb", 128)),
            parse_known(top.values.get("known", {})),
            top.section("settings"),
        )
    except InvalidSetting as missing:
        raise ConfigError(f"{missing}: {INVALID_FIELD}") from None
    except ValueError as error:  # an integer with thousands of digits
        raise ConfigError(f"RELAY_CONFIG: {error}") from None


def convert(settings: SettingsSection, reader: Any) -> Any:
    """Calls a reader of `benchlink.settings` and turns its Missing into a ConfigError."""
    try:
        return reader(settings)
    except InvalidSetting as error:
        raise ConfigError(f"{error}: {INVALID_FIELD}") from None
