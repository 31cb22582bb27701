"""The judging of owners on made-up records of network and director: each breach is caught, and nothing else."""

from pathlib import Path

import pytest
from play import scenarios

from stackpitch.rehearse.judging import NAMES, OwnerFigures, judge_owners

ALL = scenarios(Path(__file__).parent / "scenarios_owners")
FIGURES = OwnerFigures((0, 1, 2), 5, ("weights",))
GATEWAYS = {f"g{number}": number for number in range(5)}
VOTERS = (0, 1, 2)


class Made:
    """Records from lines; times in milliseconds. See the head of the scenarios' file."""

    def __init__(self) -> None:
        self.records, self.calls = [], 0

    def note(self, at, who, what, **facts):
        self.records.append({"at": round(float(at) * 10), "who": who, "what": what, **facts})

    def call(self, at, sender, to, kind, stamp, rest=()):
        self.calls += 1
        term, _, start = stamp.partition(".")
        facts = {"ticks": 30_000} if kind == "lease" else {}
        self.note(
            at,
            "network",
            "call",
            call=self.calls,
            sender=sender,
            to=to,
            duty="weights",
            kind=kind,
            stamp=[int(term), int(start or 1)],
            **facts,
        )
        words = list(rest) or ["yes", float(at) + 2, float(at) + 4]
        passed, copy = float(at) + 1, 0
        while words:
            word, answered, *words = words
            if word == "again":
                copy, passed = copy + 1, float(answered)
                word, answered, *words = words
            self.note(passed, "network", "passed", call=self.calls, copy=copy)
            self.note(
                answered, "network", "answered", call=self.calls, copy=copy, word=word.replace("_", " ")
            )
            if words and words[0] != "again":
                self.note(words.pop(0), "network", "delivered", call=self.calls)

    def line(self, at, what, *rest):
        if ">" in what:
            sender, _, to = what.partition(">")
            self.call(at, int(sender), int(to), rest[0], rest[1], rest[2:])
        elif what == "lease":  # OWNER STAMP VOTERS: a round in which these say yes
            for to in (int(one) for one in rest[2:]):
                self.call(at, int(rest[0]), to, "lease", rest[1])
        elif what in ("release", "owner"):  # OWNER STAMP: to all others whom it concerns
            for to in VOTERS if what == "release" else range(5):
                if to != int(rest[0]):
                    self.call(at, int(rest[0]), to, what, rest[1])
        elif what in ("cut", "hold", "slow", "repeat", "off"):
            paths = [(int(one[0]), int(one[2])) for one in rest[1:]]
            self.note(
                at,
                "network",
                "fault",
                name=rest[0],
                on=what != "off",
                kind=what,
                paths=paths,
                strength=2000.0,
            )
        elif what == "end":
            self.note(at, "director", "over")
        else:
            for number in rest:
                number, _, signal = number.partition("/")
                if what == "up":
                    self.note(at, "director", "started", name=f"g{number}")
                    self.note(at, "director", "listens", name=f"g{number}")
                else:
                    facts = {"signal": int(signal or 9)} if what == "killed" else {}
                    self.note(at, "director", what, name=f"g{number}", **facts)


@pytest.mark.parametrize("lines", [lines for _, lines in ALL], ids=[title for title, _ in ALL])
def test_owners(lines):
    made, wanted = Made(), {}
    for line in lines:
        if line.startswith(">"):
            wanted[line.split()[1]] = int(line.split()[2])
        elif not line.startswith("#"):
            made.line(*line.split())
    made.records.sort(key=lambda one: one["at"])
    breaches = judge_owners(made.records, FIGURES, GATEWAYS)
    found = {}
    for one in breaches:
        found[NAMES[one.rule]] = found.get(NAMES[one.rule], 0) + 1
    assert found == wanted, [(one.text, one.story) for one in breaches]
