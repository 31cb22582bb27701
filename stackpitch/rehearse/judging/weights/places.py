"""W3: what is in place is byte for byte the origin's; and what was wanted long enough is in place at the day's end."""

from collections.abc import Iterable

from stackpitch.loop import Time
from stackpitch.rehearse.judging.weights.country import Country
from stackpitch.rehearse.records import Record
from stackpitch.rehearse.rules import Breach


def wrong(records: Iterable[Record], country: Country, rule: int) -> list[Breach]:
    """A digest that was seen in a place and is not the origin's."""
    found: dict[tuple[str, str, str], Breach] = {}
    for one in records:
        if one["what"] in ("placed", "lies"):
            key, right = (
                (one["site"], one["model"], one["version"]),
                country.wholes.get((one["model"], one["version"])),
            )
            if one["whole"] != right and key not in found:
                text = (
                    f"{key[0]} has {key[1]} {key[2]} in place with digest {one['whole'][:16]}; the origin's is "
                    f"{str(right)[:16]}"
                )
                found[key] = Breach(rule, " ".join(key), text, [f"seen at {one['at'] / 10:.1f} ms"])
    return list(found.values())


def missing(records: list[Record], country: Country, place: Time, rule: int) -> list[Breach]:
    """Not in place at the end, though the file has wanted it for `place`."""
    end = records[-1]["at"]
    lies = {(one["site"], one["model"], one["version"]) for one in records if one["what"] == "lies"}
    found = []
    for name, model in country.editions[-1].models.items():
        since = end
        for edition in reversed(country.editions):
            if edition.models.get(name) != model:
                break
            since = edition.at
        if end - since >= place:
            found += [
                Breach(
                    rule,
                    f"{site} {name}",
                    f"{site} has no {name} {model.version} in place at the end, which was "
                    f"wanted for {(end - since) / 10_000:.0f} s",
                    [],
                )
                for site in model.sites
                if (site, name, model.version) not in lies
            ]
    return found
