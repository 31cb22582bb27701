"""Days on which the vocabulary changes: the judging on made-up records, and days that are played."""

import re
from pathlib import Path

import pytest
from play import scenarios

from stackpitch.rehearse.judging import judge_vocabulary, vocabulary

ALL = scenarios(Path(__file__).parent / "scenarios_vocabulary_days")
LEG = re.compile(r"(\S+) (\S+) (\S+) (\S+) (\S+): (\S+) -> (\S+) \| (\S+) \| (\S+)( refused)?( unguarded)?")


def by_field(field: str, word: str, made: type) -> dict:
    return {} if word == "-" else {field: [made(word)]}


def record(at: int, line: str) -> list[dict]:
    if leg := LEG.fullmatch(line):
        gateway, engine, known, field, written, asked, sent, meant, said, refused, unguarded = leg.groups()
        return [{"at": at, "who": engine, "what": "spoke", "key": f"s{at}", "leg": 0, "gateway": gateway, "vocabulary": known,
                 "refused": bool(refused), "guarded": not unguarded, "profile": "",
                 "written": written, "asked": by_field(field, asked, int),
                 "ids": by_field(field, sent, int), "meant": by_field(field, meant, str), "said": by_field(field, said, str)}]
    who, what, *rest = line.split()
    if who == "verdict":
        word = rest[2].replace("_", " ") if len(rest) > 2 else "yes"
        return [{"at": at, "who": "network", "what": "call", "call": at, "to": int(what),
                 "verdict": rest[0], "digests": rest[1].split(",")},
                {"at": at, "who": "network", "what": "answered", "call": at, "copy": 0, "word": word}]
    return [{"at": at, "who": who, "what": what, "vocabulary": rest[0], "state": rest[1], "key": "s", "leg": 0,
             "gateway": "g0"}]


@pytest.mark.parametrize("lines", [lines for _, lines in ALL], ids=[title for title, _ in ALL])
def test_judged(lines: list[str]) -> None:
    told = [one for one in lines if not one.startswith(("#", ">"))]
    breaches = judge_vocabulary([made for at, line in enumerate(told) for made in record(at, line)])
    found = {name: count for rule, name in vocabulary.NAMES.items() if (count := sum(one.rule == rule for one in breaches))}
    assert found == {one.split()[1]: int(one.split()[2]) for one in lines if one.startswith(">")}, breaches
