"""Converts the settings object of a simulated gateway to the decision module's types and arguments.

Also used by `stackpitch.platform`, whose configuration holds the same object.
"""

from typing import Any

from stackpitch.interface import Customer, Effect, Product, Role

# Effect by the `effect` of a class.
EFFECTS: dict[str, Effect] = {
    "free": "idempotent",
    "guarded": "deduplicated",
    "single_shot": "side-effecting",
}
MAX_VALUE = 1e15  # exclusive bound of any number in the settings, whatever its unit
# Role by the entries of `dutyByKind`.
ROLES: dict[str, Role] = {"read": "reader", "write": "writer", "both": "mixed"}


class InvalidSetting(Exception):
    """A setting that is missing, of the wrong type or out of range; the message is the setting's path."""


class SettingsSection:
    """An object within the settings. Unknown keys are ignored.

    The getters raise InvalidSetting with the path of the value that is wrong.
    """

    def __init__(self, values: Any, path: str = "config") -> None:
        if not isinstance(values, dict):
            raise InvalidSetting(path)
        self.values, self.path = values, path

    def get(self, key: str, expected: type | tuple[type, ...], default: Any = None) -> Any:
        value = self.values.get(key, default)
        if isinstance(value, bool) and expected is not bool or not isinstance(value, expected):
            raise InvalidSetting(f"{self.path}.{key}")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        return self._finite(self.get(key, (int, float), default), key)

    def numbers(self, key: str, minimum: float = 0) -> list[float]:
        """A list of finite numbers, each at least `minimum`; empty if the key is missing."""
        numbers = []
        for i, value in enumerate(self.get(key, list, [])):
            if isinstance(value, bool) or not isinstance(value, (int, float)):
                raise InvalidSetting(f"{self.path}.{key}[{i}]")
            numbers.append(self._finite(value, f"{key}[{i}]"))
            if numbers[i] < minimum:
                raise InvalidSetting(f"{self.path}.{key}[{i}]")
        return numbers

    def _finite(self, value: float, key: str) -> float:
        if not abs(value) < MAX_VALUE:  # also true of NaN
            raise InvalidSetting(f"{self.path}.{key}")
        return float(value)

    def ticks(self, key: str, default: float | None = None) -> int:
        """A duration in ms, converted to tenths of a millisecond. Raises InvalidSetting on a negative one."""
        milliseconds = self.number(key, default)
        if milliseconds < 0:
            raise InvalidSetting(f"{self.path}.{key}")
        return int(milliseconds * 10 + 1e-6)

    def section(self, key: str) -> "SettingsSection":
        return SettingsSection(self.values.get(key), f"{self.path}.{key}")

    def sections(self, key: str) -> list["SettingsSection"]:
        return [
            SettingsSection(item, f"{self.path}.{key}[{i}]") for i, item in enumerate(self.get(key, list, []))
        ]


def products(config: SettingsSection) -> dict[str, Product]:
    """Products by name, from `classes`."""
    extra = config.section("extra")
    per_ktok, gaps = extra.numbers("aimUsPer1000PromptTokens"), extra.numbers("tokenAimMs")
    by_name = {}
    for i, section in enumerate(config.sections("classes")):
        effect = EFFECTS.get(section.get("effect", str))
        if effect is None:
            raise InvalidSetting(f"{section.path}.effect")
        name = section.get("name", str)
        if name in by_name:  # a request could not tell which of the two it means
            raise InvalidSetting(f"{section.path}.name")
        by_name[name] = Product(
            name=name,
            effect=effect,
            scope=section.get("dedupScope", str, "all"),
            dedup_window=section.ticks("keyTtlMs", 0),
            slo_time=section.ticks("aimMs"),
            slo_per_ktok=int(per_ktok[i] / 100) if i < len(per_ktok) else 0,
            token_gap=int(gaps[i] * 10) if i < len(gaps) else 0,
            time_limit=section.ticks("deadlineMs"),
            revenue=section.number("worth", 1),
            late_revenue=section.number("lateWorth", 0),
        )
    if not by_name:  # every request would be refused
        raise InvalidSetting(f"{config.path}.classes")
    return by_name


def customers(config: SettingsSection) -> dict[str, Customer]:
    """Customers by name, from `tenants`."""
    return {
        section.get("name", str): Customer(
            section.get("name", str), section.number("share", 0), section.number("quotaPerS", 0)
        )
        for section in config.sections("tenants")
    }


def kinds(config: SettingsSection) -> dict[str, tuple[Role, int]]:
    """Role and KV memory, in tokens, of each kind of server.

    The memory of a reader may be missing (0). That of the other roles is required, as throttling depends on
    the share of it that is used.
    """
    extra = config.section("extra")
    names = config.get("models", list)
    roles, memory = extra.get("dutyByKind", list), extra.numbers("kvTokens", minimum=1)
    if any(not isinstance(name, str) for name in names):
        raise InvalidSetting(f"{config.path}.models")
    if len(roles) != len(names) or any(not isinstance(role, str) or role not in ROLES for role in roles):
        raise InvalidSetting(f"{extra.path}.dutyByKind")
    can_read = extra.get("localRead", bool, False) or "read" in roles
    if "both" not in roles and not (can_read and "write" in roles):  # no request could be completed
        raise InvalidSetting(f"{extra.path}.dutyByKind")
    if any(role != "read" for role in roles[len(memory) :]):
        raise InvalidSetting(f"{extra.path}.kvTokens")
    return {name: (ROLES[roles[i]], int(memory[i]) if i < len(memory) else 0) for i, name in enumerate(names)}


def module_arguments(config: SettingsSection) -> dict[str, Any]:
    """The keyword arguments for the constructor of the decision module."""
    bounds, guarantees, extra = (
        config.section("bounds"),
        config.section("guarantees"),
        config.section("extra"),
    )
    via = config.section("report").get("via", str, "") if "report" in config.values else ""
    return {
        "gateways": max(1, int(config.number("balancers", 1))),
        "number": int(config.number("me", 0)),
        "zone": config.get("zone", str, ""),
        "max_legs": int(bounds.number("maxAttempts", 1)),
        "max_retry_after": bounds.ticks("maxRetryAfterMs", 0) if bounds.get("retryAfter", bool, False) else 0,
        "local_reads": extra.get("localRead", bool, False),
        "peers": bounds.get("peers", bool, False),
        "cancels": bounds.get("cancel", bool, False),
        "probes": bounds.get("probes", bool, False) and via == "pull",
        "must_ask": config.get("discovery", str, "pushed") == "on_request",
        "cold_from": guarantees.number("coldFrom", 1),
        "warm_up": guarantees.ticks("warmUpMs", 0),
        "release": extra.ticks("releaseMs", 500),
        "fall_multiple": guarantees.number("fallMultiple", 1),
    }
