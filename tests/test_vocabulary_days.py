"""Days on which the vocabulary changes: the judging on made-up records, and days that are played."""

import json
import re
from pathlib import Path

import pytest
from msgspec import Raw
from play import scenarios
from played_days import ROOT, Played, as_processes, made_up, plays

from stackpitch import settings
from stackpitch.duties.vocabulary.acting.written import Written
from stackpitch.duties.vocabulary.errors import FilesUnread
from stackpitch.duties.vocabulary.judging import Looked
from stackpitch.rehearse.day import Day
from stackpitch.rehearse.director.check import check
from stackpitch.rehearse.judging import judge_vocabulary, vocabulary

SHORT, STORM = "tests/days/vocabulary.jsonnet", "days/vocabulary-storm.jsonnet"
ALL = scenarios(Path(__file__).parent / "scenarios_vocabulary_days")
BROKEN = {"babel": "V1", "across": "V2", "willful": "V3"}
LEG = re.compile(r"(\S+) (\S+) (\S+) (\S+) (\S+): (\S+) -> (\S+) \| (\S+) \| (\S+)( refused)?( unguarded)?")


def by_field(field: str, word: str, made: type) -> dict:
    return {} if word == "-" else {field: [made(word)]}


def record(at: int, line: str) -> list[dict]:
    if leg := LEG.fullmatch(line):
        gateway, engine, known, field, written, asked, sent, meant, said, refused, unguarded = leg.groups()
        return [
            {
                "at": at,
                "who": engine,
                "what": "spoke",
                "key": f"s{at}",
                "leg": 0,
                "gateway": gateway,
                "vocabulary": known,
                "refused": bool(refused),
                "guarded": not unguarded,
                "profile": "",
                "written": written,
                "asked": by_field(field, asked, int),
                "ids": by_field(field, sent, int),
                "meant": by_field(field, meant, str),
                "said": by_field(field, said, str),
            }
        ]
    who, what, *rest = line.split()
    if who == "verdict":
        word = rest[2].replace("_", " ") if len(rest) > 2 else "yes"
        return [
            {
                "at": at,
                "who": "network",
                "what": "call",
                "call": at,
                "to": int(what),
                "verdict": rest[0],
                "digests": rest[1].split(","),
            },
            {"at": at, "who": "network", "what": "answered", "call": at, "copy": 0, "word": word},
        ]
    return [
        {
            "at": at,
            "who": who,
            "what": what,
            "vocabulary": rest[0],
            "state": rest[1],
            "key": "s",
            "leg": 0,
            "gateway": "g0",
        }
    ]


@pytest.mark.parametrize("lines", [lines for _, lines in ALL], ids=[title for title, _ in ALL])
def test_judged(lines: list[str]) -> None:
    told = [one for one in lines if not one.startswith(("#", ">"))]
    breaches = judge_vocabulary([made for at, line in enumerate(told) for made in record(at, line)])
    found = {
        name: count
        for rule, name in vocabulary.NAMES.items()
        if (count := sum(one.rule == rule for one in breaches))
    }
    assert found == {one.split()[1]: int(one.split()[2]) for one in lines if one.startswith(">")}, breaches


def test_token_ids_wait_for_the_files_that_say_what_they_mean() -> None:
    """Found by a day as processes: a gateway that had just started sent ids on as they came."""
    written = Written(Looked())
    for fields in ({"stop_token_ids": Raw(b"[5]")}, {"sampling_profile": Raw(b'"p0"')}):
        with pytest.raises(FilesUnread):
            written.read(fields, None, "consulta")
    assert not written.read({"stop": Raw(b'"x"'), "stop_token_ids": Raw(b"[]")}, None, "consulta").ids


def kept(found: dict, folder: Path) -> None:
    """All rules, and that the day caused what it is for."""
    assert found["exit"] == 0 and not any(found["rules"].values()), found["breaches"]
    assert set(found["rules"]) >= {"O1", "O2", "O3", "V1", "V2", "V3"}
    records = [
        json.loads(line) for path in sorted(folder.glob("*.jsonl")) for line in path.read_text().splitlines()
    ]
    words = {one["change"] for one in records if one["what"] == "call" and "change" in one}
    assert words >= {"allowed", "mixed", "called off", "done"}
    assert all(one["taken"] for one in records if one["what"] == "word")
    assert any(one["what"] == "end" and one["status"] == 400 for one in records), (
        "what lost its meaning is refused"
    )
    spoke = [one for one in records if one["what"] == "spoke"]
    assert any(one["ids"] == one["asked"] for one in spoke) and any(
        one["ids"] != one["asked"] for one in spoke
    )


@plays(lambda seed: [made_up(SHORT, "play=made up", f"seed={seed}")])
@pytest.mark.parametrize("seed", [1, 3, 6])
def test_a_change_of_vocabulary_keeps_all_rules(seed: int, played: list[Played]) -> None:
    kept(played[0].found, played[0].folder)


@plays(lambda: [as_processes(SHORT, "play=as processes")])
def test_the_same_as_processes(played: list[Played]) -> None:
    kept(played[0].found, played[0].folder)


@plays(lambda: [made_up(STORM, "seed=31")])
def test_a_gateway_that_slept_through_a_change_moves_no_state_across(played: list[Played]) -> None:
    """Its list is older than its engines: they refuse what is meant for their old vocabulary."""
    found = played[0].found
    assert found["exit"] == 0 and not any(found["rules"].values()), found["breaches"]


@plays(lambda name: [made_up(SHORT, "play=made up", more=("--broken", name))])
@pytest.mark.parametrize("name", BROKEN)
def test_gateways_broken_on_purpose_are_caught(name: str, played: list[Played]) -> None:
    found = played[0].found
    assert found["rules"][BROKEN[name]] > 0 and found["exit"] == 1, found["rules"]


@pytest.mark.parametrize(
    "wrong, said",
    [
        (
            {"vocabulary": {"new_products": ["none"]}},
            "vocabulary.new_products: found 'none'; allowed: aviso, consulta",
        ),
        ({"duties": {}}, "vocabulary: found without its duty"),
        (
            {"vocabulary": None},
            "troubles.0.kind: found 'vocabulary-word'; allowed where the day has vocabulary",
        ),
    ],
)
def test_days_that_can_not_be_played_say_so(wrong: dict, said: str) -> None:
    told = settings.evaluate(ROOT / SHORT, {"play": "made up", "seed": "1"})
    with pytest.raises(ValueError, match=re.escape(said)):
        check(Day.model_validate(told | {"troubles": told["troubles"][:1]} | wrong))
