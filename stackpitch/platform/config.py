"""What the platform tells a gateway at its start, and again with SIGHUP."""

from collections.abc import Mapping
from typing import Any

import msgspec

from stackpitch.benchlink.settings import InvalidSetting, SettingsSection
from stackpitch.loop.world import Address
from stackpitch.wire.platform import ServerList, parse_server_list

MINIMUMS = {"sockets": 32, "memory_mb": 24}  # under these there is no room to work
LACKS = "missing, of the wrong kind or out of range"
BYTES = frozenset(
    map(str, range(256))
)  # as addresses are commonly written; a long list is read several times quicker


class ConfigError(Exception):
    """A configuration that can't be used; its text names the field."""


class UnreadableConfig(ConfigError):
    """The file can't be read now, or is no whole JSON: it may be in a moment."""

    remedy = "look at the file's rights, the disk and the limit of descriptors; write it beside and rename it into place"


class Config(msgspec.Struct, frozen=True):
    """What was read, whole."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # descriptors that the process may hold
    memory_mb: int
    known: ServerList
    settings: SettingsSection


def parse_address(text: str, field: str) -> Address:
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    numeric = len(parts) == 4 and (
        BYTES.issuperset(parts) or all(one.isascii() and one.isdigit() and int(one) < 256 for one in parts)
    )
    if not numeric or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65_536:
        raise ConfigError(f"{field}: found {text[:60]!r}; an IPv4 address with a port is wanted")
    return host, int(port)


def seeded(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: found {text[:60]!r}; hex digits are wanted") from None


def known(values: Any) -> ServerList:
    try:
        return parse_server_list(msgspec.json.encode(values))
    except ValueError as wrong:
        raise ConfigError(f"known: {wrong}") from None


def read(given: Mapping[str, str]) -> Config:
    """`given`: the process's environment. Raises BadConfig, of which Unreadable where another try may help."""
    path = given.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: missing")
    try:
        with open(path, "rb") as file:  # pathlib would bring in urllib
            tree = msgspec.json.decode(file.read())
    except (OSError, msgspec.DecodeError, ValueError, RecursionError) as wrong:
        raise UnreadableConfig(f"RELAY_CONFIG: {wrong}") from None
    try:
        top = SettingsSection(tree)
        limits = top.section("limits")
        name = top.get("name", str, given.get("RELAY_NAME", "gateway"))
        seed = top.get("seed", (str, int), "0")
        for field, least in MINIMUMS.items():
            if (found := limits.number(field, least)) < least:
                raise ConfigError(f"limits.{field}: found {found}; {least} at least are wanted")
        return Config(
            name,
            parse_address(top.get("listen", str, given.get("RELAY_LISTEN")), "listen"),
            parse_address(top.get("discovery", str, given.get("RELAY_DISCOVERY")), "discovery"),
            seeded(seed) if isinstance(seed, str) else seed,
            int(limits.number("sockets", 1024)),
            int(limits.number("memory_mb", 128)),
            known(top.values.get("known", {})),
            top.section("settings"),
        )
    except InvalidSetting as lack:
        raise ConfigError(f"{lack}: {LACKS}") from None
    except ValueError as wrong:  # a number of thousands of digits
        raise ConfigError(f"RELAY_CONFIG: {wrong}") from None


def parts(settings: SettingsSection, take: Any) -> Any:
    """One of the readers of `benchlink.settings`, its complaint as a BadConfig."""
    try:
        return take(settings)
    except InvalidSetting as lack:
        raise ConfigError(f"{lack}: {LACKS}") from None
