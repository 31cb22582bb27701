"""The rule checker on made-up records: it must catch each rule's breach, and nothing else."""

import json
from pathlib import Path

import pytest
from play import scenarios

from stackpitch.rehearse.rules import NAMES, Checker, Effects, RuleFigures

ALL = scenarios(Path(__file__).parent / "scenarios_rules")
FIGURES = RuleFigures(answer_slack=600, drain_grace=10_000, release=5000, connect=2500, max_legs=4)
PRODUCTS = {
    "chat": Effects("idempotent", "all", 0),
    "order": Effects("side-effecting", "all", 0),
    "note": Effects("deduplicated", "cell", 50_000),
}
PLACES = {"r1": ("a", 1), "w1": ("a", 1), "w2": ("a", 1), "w9": ("a", 2)}
NUMBERS = ("leg", "number", "limit_ms", "came", "budget")


def record(line: str) -> dict:
    at, who, what, *facts = line.split()
    found = {"at": int(at) * 10, "who": who, "what": what}
    for fact in facts:
        name, _, value = fact.partition("=")
        found[name] = float(value) if name in NUMBERS else json.loads(value) if value[0] == "{" else value
    if what in ("ask", "end", "after"):
        found.setdefault("number", 0)
    if what == "end":
        found["first"] = int(found["first"]) * 10 if "first" in found else None
    return found


@pytest.mark.parametrize("lines", [lines for _, lines in ALL], ids=[title for title, _ in ALL])
def test_rules(lines: list[str]) -> None:
    wanted = {line.split()[1]: int(line.split()[2]) for line in lines if line.startswith(">")}
    records = [record(line) for line in lines if not line.startswith((">", "#"))]
    breaches = Checker(records, FIGURES, PRODUCTS, PLACES).verdict()
    found: dict[str, int] = {}
    for one in breaches:
        found[NAMES[one.rule]] = found.get(NAMES[one.rule], 0) + 1
    assert found == wanted, [one.text for one in breaches]
