"""The judging of weights on made-up records, and short days with weights: kept by the program, and breaks that are caught."""

import json
import re
from pathlib import Path

import pytest
from play import scenarios
from played_days import ROOT, as_processes, made_up, plays

from stackpitch import settings
from stackpitch.rehearse.day import Day
from stackpitch.rehearse.director import check
from stackpitch.rehearse.judging.weights import NAMES, WeightsFigures, judge_weights

ALL = scenarios(Path(__file__).parent / "scenarios_wdays")
HOME = {"north": 0, "south": 2}
BROKEN = {"unpaced": "W1", "classless": "W2", "unchecked": "W3"}
SHORT, RELEASE = "tests/days/weights.jsonnet", "tests/days/release.jsonnet"


class Made:
    """Records from lines. See the head of the scenarios' file."""

    def __init__(self):
        self.records, self.at, self.calls = [], {}, 1000

    def note(self, at, who, what, **facts):
        self.records.append({"at": round(float(at) * 10), "who": who, "what": what, **facts})

    def part(self, at, way, model, first, size, spoilt=False):
        source, _, site = way.partition(">")
        if source == "origin":
            self.note(
                at,
                "origin",
                "served",
                to=HOME[site],
                path=f"/{model}/1",
                first=first,
                size=size,
                spoilt=spoilt,
            )
        else:
            self.note(
                at,
                "network",
                "part",
                call=0,
                sender=HOME[site],
                to=HOME[source],
                path=f"/weights/{model}/1",
                first=first,
                size=size,
                status=206,
            )

    def flow(self, begin, end, way, model, rate, first=0):
        for number, at in enumerate(range(int(begin), int(end), 100)):
            self.part(at, way, model, (int(first) + number * int(rate) // 10) * 1000, int(rate) * 100)

    def wanted(self, at, *words):
        rates = {name: int(rate) * 1000 for name, rate in (one.split("=") for one in words if "=" in one)}
        models = {
            name: {
                "version": "1",
                "priority": int(priority),
                "sites": sites.split(","),
                "size": int(size) * 1000,
                "piece": 50_000,
                "whole": f"whole {name}",
                "vocabulary": "".join(vocabulary),
            }
            for name, priority, size, sites, *vocabulary in (one.split(":") for one in words if ":" in one)
        }
        self.note(
            at,
            "director",
            "wanted",
            grant_ms=1000,
            models=models,
            links={"up": {"bytes_per_s": rates.pop("up"), "sites": list(HOME)}},
            sites={
                name: {"bytes_per_s": rate, "gateways": [HOME[name], HOME[name] + 1]}
                for name, rate in rates.items()
            },
        )

    def line(self, at, what, *rest):
        if at == "flow":
            self.flow(what, *rest)
        elif what == "wanted":
            self.wanted(at, *rest)
        elif what == "owner":
            self.note(
                at,
                "network",
                "call",
                call=int(rest[1]),
                sender=int(rest[0]),
                to=3,
                duty="weights",
                kind="owner",
                stamp=[int(rest[1]), 1],
            )
        elif what == "part":
            self.part(at, rest[0], rest[1], int(rest[2]) * 1000, int(rest[3]) * 1000)
        elif what == "spoilt":
            self.part(at, f"origin>{rest[0]}", rest[1], 0, 1000, True)
        elif what == "turned-away":
            self.note(at, "origin", "turned away", to=HOME[rest[0]], path="/high/1", status=503)
        elif what in ("placed", "gone", "lies"):
            whole = f"whole {rest[1]}" if rest[2] == "good" else "another"
            self.note(at, "director", what, site=rest[0], model=rest[1], version="1", whole=whole)
        elif what == "service":
            self.calls += 1
            self.note(
                at,
                "network",
                "call",
                call=self.calls,
                sender=1,
                to=HOME[rest[0]],
                duty="weights",
                kind="service",
                stamp=[10, 1],
                serves=[rest[1], rest[2]],
            )
            self.note(
                at, "network", "answered", call=self.calls, copy=0, word="yes" if len(rest) < 4 else rest[3]
            )
        elif what == "change":
            self.note(
                at,
                "network",
                "call",
                call=0,
                sender=1,
                to=3,
                duty="vocabulary",
                kind="change",
                stamp=[10, 1],
                change=rest[0],
                digests=["old", rest[1], "profiles"],
            )
        elif what == "disk":
            self.note(at, "director", "disk", site=rest[0], full=rest[1] == "full")
        elif what == "end":
            self.note(at, "director", "over")
        else:
            self.note(at, "director", what, name=f"g{rest[0]}", **({"signal": 9} if what == "killed" else {}))


@pytest.mark.parametrize("lines", [lines for _, lines in ALL], ids=[title for title, _ in ALL])
def test_judged(lines):
    made, wanted = Made(), {}
    for number in range(4):
        made.note(0, "director", "listens", name=f"g{number}")
    for line in lines:
        if line.startswith(">"):
            wanted[line.split()[1]] = int(line.split()[2])
        elif not line.startswith("#"):
            made.line(*line.split())
    made.records.sort(key=lambda one: one["at"])
    found = {}
    breaches = judge_weights(made.records, WeightsFigures(), {f"g{number}": number for number in range(4)})
    for one in breaches:
        found[NAMES[one.rule]] = found.get(NAMES[one.rule], 0) + 1
    assert found == wanted, [(one.text, one.story) for one in breaches]


@pytest.mark.parametrize(
    ("change", "complaint"),
    [
        ({"gateways": 3}, "weights.sites.south.gateways: found [2, 3]; allowed: numbers under gateways (3)"),
        ({"duties": {"voters": [0], "names": ["vocabulary"]}}, "weights: found without its duty"),
        (
            {"weights": {"links": {"uplink": {"bytes_per_s": 2048, "sites": ["west"]}}}},
            "weights.links.uplink.sites: found 'west'; allowed: north, south",
        ),
        (
            {"weights": {"edits": [{"at_s": 1, "link": "radio", "bytes_per_s": 2048}]}},
            "weights.edits.0.link: found 'radio'; allowed: uplink",
        ),
        (
            {
                "weights": {
                    "models": {"base": {"size": 1, "priority": 0, "sites": ["north"], "vocabulary": "new"}}
                }
            },
            "weights.models.base.vocabulary: found 'new'; allowed where the day has vocabulary",
        ),
        (
            {"troubles": [{"kind": "disk-full", "at_s": 1, "names": ["g0"]}]},
            "troubles.0.names: found 'g0'; allowed: north, south",
        ),
        (
            {"troubles": [{"kind": "origin-slow", "at_s": 1, "names": ["owner"]}]},
            "troubles.0.names: found 'owner'; allowed: g0, g1, g2, g3",
        ),
    ],
)
def test_a_day_that_is_wrong_is_turned_down(change, complaint):
    path = ROOT / "tests/days/weights.jsonnet"
    tree = settings.read(Day, path, {"play": "unpaced", "seed": "1"}).model_dump()
    for name, value in change.items():
        tree[name] = tree[name] | value if isinstance(value, dict) else value
    with pytest.raises(ValueError, match=re.escape(complaint)):
        check(Day.model_validate(tree))


def records(folder, name):
    return [json.loads(line) for line in (folder / f"{name}.jsonl").read_text().splitlines()]


def kept(found, folder):
    assert found["exit"] == 0 and not any(found["rules"].values()), found["breaches"]
    assert set(found["rules"]) >= {"O1", "O2", "O3", "W1", "W2", "W3"}
    lies = {(one["site"], one["model"]) for one in records(folder, "director") if one["what"] == "lies"}
    assert lies == {(site, model) for site in ("north", "south") for model in ("base", "urgent")}
    parts, origin = records(folder, "network"), records(folder, "origin")
    assert any(one["what"] == "part" for one in parts), "neighbours give each other what they have"
    assert any(one["what"] == "served" and one["spoilt"] for one in origin)
    told = [one["call"] for one in parts if one["what"] == "call" and one.get("kind") == "service"]
    assert any(one["what"] == "answered" and one["call"] in told and one["word"] == "yes" for one in parts)


@plays(lambda seed: [made_up(SHORT, "play=good", f"seed={seed}")])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_short_day_keeps_all_rules(seed, played):
    kept(played[0].found, played[0].folder)


@plays(lambda: [as_processes(SHORT, "play=good")])
def test_the_same_as_processes(played):
    """Each process's log is its own."""
    kept(played[0].found, played[0].folder)
    assert "weights_bad_piece" in "".join(
        (played[0].folder / f"g{number}.log").read_text() for number in range(4)
    )


@plays(lambda: [as_processes(SHORT, "play=full")])
def test_a_full_disk_of_processes_is_a_limit_on_their_files(played):
    found, folder = played[0].found, played[0].folder
    assert not any(found["rules"].values()), found["breaches"]
    logged = [(folder / f"g{number}.log").read_text() for number in range(4)]
    assert any("weights_disk_full" in one for one in logged[:2]) and not any(
        "weights_disk" in one for one in logged[2:]
    )


@plays(lambda seed: [made_up(RELEASE, "play=release", f"seed={seed}")])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_version_with_another_vocabulary_waits_in_place_until_its_change_is_allowed(seed, played):
    found, folder = played[0].found, played[0].folder
    assert found["exit"] == 0 and not any(found["rules"].values()), found["breaches"]
    assert set(found["rules"]) >= {"O1", "O2", "O3", "V1", "V2", "V3", "W1", "W2", "W3", "W4"}
    passed = records(folder, "network")
    told = {one["call"]: one["serves"] for one in passed if one["what"] == "call" and "serves" in one}
    served = [
        one["at"]
        for one in passed
        if one["what"] == "answered" and one.get("word") == "yes" and told.get(one["call"]) == ["base", "2"]
    ]
    placed = [
        one["at"] for one in records(folder, "director") if one["what"] == "placed" and one["version"] == "2"
    ]
    announced = next(one["at"] for one in records(folder, "director") if one["what"] == "word")
    assert len(placed) == 2 and max(placed) < announced - 5_000 and served, (
        "it was in place, and waited for the change alone"
    )
    assert any(one["what"] == "call" and one.get("change") == "done" for one in passed)


@plays(lambda: [made_up(RELEASE, "play=release", more=("--broken", "hurried"))])
def test_an_owner_that_does_not_wait_for_the_change_is_caught(played):
    found = played[0].found
    assert found["rules"]["W4"] > 0 and found["exit"] == 1, found["rules"]


def broken_and_not(name):
    """The day with the break, and the same one without it, unless that breaks a rule as well."""
    well = [made_up(SHORT, f"play={name}")] if name != "unchecked" else []
    return [made_up(SHORT, f"play={name}", more=("--broken", name)), *well]


@plays(broken_and_not)
@pytest.mark.parametrize("name", BROKEN)
def test_gateways_broken_on_purpose_are_caught(name, played):
    found = played[0].found
    assert found["rules"][BROKEN[name]] > 0 and found["exit"] == 1, found["rules"]
    if name != "unchecked":
        assert not played[1].found["rules"][BROKEN[name]], "it is the break that is caught"
