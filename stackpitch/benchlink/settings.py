"""Reads an instance's settings into the module's plain types and arguments."""

from typing import Any

from stackpitch.interface import Customer, Effect, Product, Role

EFFECTS: dict[str, Effect] = {
    "free": "idempotent",
    "guarded": "deduplicated",
    "single_shot": "side-effecting",
}
MOST = 1e15  # of any figure, in the settings' own units
ROLES: dict[str, Role] = {"read": "reader", "write": "writer", "both": "mixed"}


class InvalidSetting(Exception):
    """A setting that is absent, of the wrong kind or out of range; its text is the setting's path."""


class SettingsSection:
    """A part of the settings object that names what it lacks. Unknown keys are left alone."""

    def __init__(self, values: Any, path: str = "config") -> None:
        if not isinstance(values, dict):
            raise InvalidSetting(path)
        self.values, self.path = values, path

    def get(self, key: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
        value = self.values.get(key, default)
        if isinstance(value, bool) and kind is not bool or not isinstance(value, kind):
            raise InvalidSetting(f"{self.path}.{key}")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        return self._finite(self.get(key, (int, float), default), key)

    def numbers(self, key: str, least: float = 0) -> list[float]:
        """Each `least` at least."""
        found = []
        for i, value in enumerate(self.get(key, list, [])):
            if isinstance(value, bool) or not isinstance(value, (int, float)):
                raise InvalidSetting(f"{self.path}.{key}[{i}]")
            found.append(self._finite(value, f"{key}[{i}]"))
            if found[i] < least:
                raise InvalidSetting(f"{self.path}.{key}[{i}]")
        return found

    def _finite(self, value: float, key: str) -> float:
        if not abs(value) < MOST:  # NaN as well
            raise InvalidSetting(f"{self.path}.{key}")
        return float(value)

    def ticks(self, key: str, default: float | None = None) -> int:
        """A span of time, in tenths of a millisecond; none is negative."""
        found = self.number(key, default)
        if found < 0:
            raise InvalidSetting(f"{self.path}.{key}")
        return int(found * 10 + 1e-6)

    def section(self, key: str) -> "SettingsSection":
        return SettingsSection(self.values.get(key), f"{self.path}.{key}")

    def sections(self, key: str) -> list["SettingsSection"]:
        return [
            SettingsSection(item, f"{self.path}.{key}[{i}]") for i, item in enumerate(self.get(key, list, []))
        ]


def products(config: SettingsSection) -> dict[str, Product]:
    extra = config.section("extra")
    per_ktok, gaps = extra.numbers("aimUsPer1000PromptTokens"), extra.numbers("tokenAimMs")
    found = {}
    for i, one in enumerate(config.sections("classes")):
        effect = EFFECTS.get(one.get("effect", str))
        if effect is None:
            raise InvalidSetting(f"{one.path}.effect")
        name = one.get("name", str)
        if name in found:  # which of the two a request is of could not be told
            raise InvalidSetting(f"{one.path}.name")
        found[name] = Product(
            name=name,
            effect=effect,
            scope=one.get("dedupScope", str, "all"),
            dedup_window=one.ticks("keyTtlMs", 0),
            slo_time=one.ticks("aimMs"),
            slo_per_ktok=int(per_ktok[i] / 100) if i < len(per_ktok) else 0,
            token_gap=int(gaps[i] * 10) if i < len(gaps) else 0,
            time_limit=one.ticks("deadlineMs"),
            revenue=one.number("worth", 1),
            late_revenue=one.number("lateWorth", 0),
        )
    if not found:  # every request would be refused
        raise InvalidSetting(f"{config.path}.classes")
    return found


def customers(config: SettingsSection) -> dict[str, Customer]:
    return {
        one.get("name", str): Customer(
            one.get("name", str), one.number("share", 0), one.number("quotaPerS", 0)
        )
        for one in config.sections("tenants")
    }


def kinds(config: SettingsSection) -> dict[str, tuple[Role, int]]:
    """Each kind of machine: its role and its memory in tokens. A reader's may lack; shares of the others' are what
    throttling goes by."""
    extra = config.section("extra")
    names = config.get("models", list)
    duties, memory = extra.get("dutyByKind", list), extra.numbers("kvTokens", least=1)
    if any(not isinstance(name, str) for name in names):
        raise InvalidSetting(f"{config.path}.models")
    if len(duties) != len(names) or any(not isinstance(duty, str) or duty not in ROLES for duty in duties):
        raise InvalidSetting(f"{extra.path}.dutyByKind")
    read = extra.get("localRead", bool, False) or "read" in duties
    if "both" not in duties and not (read and "write" in duties):  # nothing could ever be answered
        raise InvalidSetting(f"{extra.path}.dutyByKind")
    if any(duty != "read" for duty in duties[len(memory) :]):
        raise InvalidSetting(f"{extra.path}.kvTokens")
    return {
        name: (ROLES[duties[i]], int(memory[i]) if i < len(memory) else 0) for i, name in enumerate(names)
    }


def module_arguments(config: SettingsSection) -> dict[str, Any]:
    """The keyword arguments with which the module is made."""
    bounds, rules, extra = config.section("bounds"), config.section("guarantees"), config.section("extra")
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
        "cold_from": rules.number("coldFrom", 1),
        "warm_up": rules.ticks("warmUpMs", 0),
        "release": extra.ticks("releaseMs", 500),
        "fall_multiple": rules.number("fallMultiple", 1),
    }
