"""The verdict and the figures of a day."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from stackpitch.loop import MS, SECOND
from stackpitch.rehearse import judging, rules
from stackpitch.rehearse.day import Day
from stackpitch.rehearse.records import Record


@dataclass(slots=True)
class Outcome:
    """All that a day gave."""

    day: str
    breaches: list[rules.Breach]
    worth: dict[str, rules.Worth]
    legs: int
    generations: int
    ends: dict[str, int]
    modes: dict[str, int] = field(default_factory=dict)
    finished: bool = True
    edits: dict[str, int] = field(default_factory=dict)
    names: dict[int, str] = field(default_factory=lambda: dict(rules.NAMES))  # of the rules that were judged

    def as_json(self) -> dict[str, Any]:
        counts = {name: sum(one.rule == rule for one in self.breaches) for rule, name in self.names.items()}
        total = self.worth.get("all", rules.Worth())
        return {
            "day": self.day,
            "rules": counts,
            "kept": not self.breaches and self.finished,
            "g": round(total.g, 4),
            "generations": self.generations,
            "legs": self.legs,
            "legs_per_generation": round(self.legs / max(1, self.generations), 3),
            "ends": self.ends,
            "finished": self.finished,
            "by_part": {name: round(one.g, 4) for name, one in sorted(self.worth.items())},
            "modes": self.modes,
            "edits": self.edits,
            "breaches": [
                {"rule": self.names[one.rule], "key": one.key, "text": one.text, "story": one.story}
                for one in self.breaches
            ],
        }


def judge(day: Day, records: list[Record], places: dict[str, tuple[str, int]], finished: bool) -> Outcome:
    """The verdict and the figures of a day's records."""
    figures = rules.RuleFigures(
        int(day.rules.answer_slack_ms * 10),
        int(day.rules.drain_grace_ms * 10),
        int(day.rules.release_ms * 10),
        int(day.engines.connect_ms * 10),
        day.module.max_legs,
    )
    products = {
        name: rules.Effects(one.effect, one.scope, int(one.memory_ms * 10))
        for name, one in day.products.items()
    }
    breaches = rules.Checker(records, figures, products, places).verdict()
    names = dict(rules.NAMES)
    if day.duties.voters:
        names |= judging.NAMES
        breaches += judging.judge_owners(
            records, owner_figures(day), {f"g{number}": number for number in range(day.gateways)}
        )
    if day.vocabulary is not None:
        names |= judging.vocabulary.NAMES
        breaches += judging.judge_vocabulary(records)
    if day.weights is not None:
        names |= judging.weights.NAMES
        told = judging.weights.WeightsFigures(
            int(day.weights.burst_ms * MS), int(day.weights.place_s * SECOND)
        )
        breaches += judging.weights.judge_weights(
            records, told, {f"g{number}": number for number in range(day.gateways)}
        )
    ends: dict[str, int] = {}
    for one in records:
        if one["what"] == "end":
            ends[one["how"]] = ends.get(one["how"], 0) + 1
    return Outcome(
        day.name,
        breaches,
        rules.worth(records, dict(day.products)),
        sum(one["what"] == "leg" for one in records),
        len({one["key"] for one in records if one["what"] == "ask"}),
        dict(sorted(ends.items())),
        finished=finished,
        names=names,
    )


def owner_figures(day: Day) -> judging.OwnerFigures:
    duties = day.duties
    return judging.OwnerFigures(
        tuple(duties.voters),
        day.gateways,
        tuple(duties.names),
        int((duties.lease_ms + day.rules.owner_ms) * MS),
        int(day.rules.handover_ms * MS),
    )


def modes(folder: Path) -> dict[str, int]:
    """What the gateways' modules logged, counted by mode."""
    found: dict[str, int] = {}
    for path in sorted(folder.glob("g*.log")):
        for line in path.read_bytes().splitlines():
            try:
                tree = msgspec.json.decode(line)
            except msgspec.DecodeError:
                found["(other output)"] = found.get("(other output)", 0) + 1
                continue
            name = f"mode {tree['mode']}" if tree.get("event") == "mode" else str(tree.get("event"))
            found[name] = found.get(name, 0) + 1
    return dict(sorted(found.items()))
