"""W4: a version is put in service at a site only when its copy lies in place there and its vocabulary's change was allowed.

What counts is the network's: the owner's call that was taken (`service`), and calls that tell of a change. One that the owner
makes to itself does not pass there. `LATE`: the director looks at places now and then, and an owner tells of a change while
it already goes by it.
"""

from collections.abc import Iterable

from stackpitch.loop import MS, Time
from stackpitch.rehearse.judging.weights.country import Country
from stackpitch.rehearse.records import Record
from stackpitch.rehearse.rules import Breach

LATE: Time = 500 * MS
ALLOWED = ("allowed", "mixed", "done")


def early(records: Iterable[Record], country: Country, rule: int) -> list[Breach]:
    told: dict[int, Record] = {}
    placed: dict[tuple[str, str, str], Time] = {}
    allowed: dict[str, Time] = {}  # since when, by the vocabulary's digest
    served: list[tuple[Time, str, str, str]] = []
    for one in records:
        if one["what"] == "call" and "serves" in one:
            told[one["call"]] = one
        elif one["what"] == "call" and one.get("change") in ALLOWED:
            allowed.setdefault(one["digests"][1], one["at"])
        elif one["what"] == "placed":
            placed.setdefault((one["site"], one["model"], one["version"]), one["at"])
        elif one["what"] == "answered" and one.get("word") == "yes" and one["call"] in told:
            call = told.pop(one["call"])
            if call["serves"][1]:
                served.append((one["at"], country.site(call["to"]) or "", *call["serves"]))
    found = []
    for at, site, model, version in served:
        if placed.get((site, model, version), at + LATE + 1) > at + LATE:
            found.append(breach(rule, at, site, model, version, "which did not lie in place"))
        vocabulary = country.vocabularies.get((model, version), "")
        if vocabulary and allowed.get(vocabulary, at + LATE + 1) > at + LATE:
            found.append(
                breach(rule, at, site, model, version, f"while a change to {vocabulary[:16]} was not allowed")
            )
    return found


def breach(rule: int, at: Time, site: str, model: str, version: str, why: str) -> Breach:
    return Breach(
        rule,
        f"{site} {model}",
        f"{site} was told to serve {model} {version}, {why}",
        [f"taken at {at / 10:.1f} ms"],
    )
