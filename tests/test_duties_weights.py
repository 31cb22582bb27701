"""Weights over several processes of the program: an origin, gateways at sites, an owner that is stopped at its grant."""

import json
import signal
import subprocess
import sys
import urllib.request

import pytest
from duties_stage import ROOT, Fleet, order

from stackpitch.duties.weights.manifest import made

ORIGIN = """
import json, sys
from pathlib import Path
from stackpitch.loop import RealWorld
from stackpitch.rehearse.origin import Origin
folder, port = Path(sys.argv[1]), int(sys.argv[2])
world = RealWorld()
origin = Origin(world, {f"/{one.name}": one.read_bytes() for one in folder.iterdir()})
def body(group):
    listener = world.listen(("127.0.0.1", port))
    group.spawn(origin.serve(group, listener), "origin")
    seen = 0
    while True:
        yield from world.sleep(200)
        for one in origin.served[seen:]:
            print(json.dumps([one.at, one.path, one.first, one.size]), flush=True)
        seen = len(origin.served)
world.run(world.group(body))
"""


class Sites(Fleet):
    """Sites by name with their gateways; all behind one shared link; models of random bytes at the origin."""

    def __init__(self, folder, sites, models, shared, own, voters=(0, 1, 2), broken=None):
        super().__init__(folder, sum(map(len, sites.values())), list(voters))
        self.port, self.sites, self.shared, self.own = self.beside, sites, shared, own
        (folder / "origin").mkdir()
        self.models = {}
        for name, (size, priority) in models.items():
            (folder / "origin" / name).write_bytes(random_bytes(size, name))
            self.models[name] = priority
        self.wanted(1, self.models)
        with open(folder / "origin.log", "ab") as log:
            self.origin = subprocess.Popen(
                [sys.executable, "-c", ORIGIN, str(folder / "origin"), str(self.port)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def __exit__(self, *_):
        super().__exit__()
        self.origin.kill()
        self.origin.wait()

    def wanted(self, version, models):
        listed = {
            name: {
                "version": "v1",
                "priority": priority,
                "sites": list(self.sites),
                "origin": f"127.0.0.1:{self.port}",
                "path": f"/{name}",
                "manifest": made((self.folder / "origin" / name).read_bytes(), 1 << 16).model_dump(),
            }
            for name, priority in models.items()
        }
        beside = self.folder / "wanted.new"
        beside.write_text(
            json.dumps(
                {
                    "version": version,
                    "links": {"up": {"bytes_per_s": self.shared, "sites": list(self.sites)}},
                    "sites": {
                        name: {"bytes_per_s": self.own, "gateways": numbers}
                        for name, numbers in self.sites.items()
                    },
                    "models": listed,
                }
            )
        )
        beside.rename(self.folder / "wanted")

    def settings(self, number):
        found = super().settings(number)
        site = next(name for name, numbers in self.sites.items() if number in numbers)
        found["module"]["zone"] = site
        found["duties"]["weights"] = {
            "wanted": str(self.folder / "wanted"),
            "folder": str(self.folder / f"models-{site}"),
        }
        return found

    def placed(self, site, name):
        return any(
            one.is_file()
            and one.stat().st_size == (self.folder / "origin" / name).stat().st_size
            and one.read_bytes() == (self.folder / "origin" / name).read_bytes()
            for one in (self.folder / f"models-{site}").rglob("*")
            if "part" not in one.name
        )

    def given(self):
        """What the origin gave: (when, path, first, size)."""
        return [
            json.loads(line)
            for line in (self.folder / "origin.log").read_text().splitlines()
            if line.startswith("[")
        ]

    def most_a_second(self):
        rows = self.given()
        return max(sum(size for at, _, _, size in rows if begin <= at < begin + 10_000) for begin, *_ in rows)


def random_bytes(size, seed):
    import random

    return random.Random(seed).randbytes(size)


@pytest.mark.parametrize("kind", ["grant"])
def test_an_owner_stopped_at_its_grant_and_woken_after_its_successor_planned(tmp_path, kind):
    """Its grant is turned down, the shared link's sum holds across the change, and all that is wanted comes into place."""
    sites = {"north": [0], "south": [1], "hall": [2, 3]}
    with Sites(
        tmp_path, sites, {"large": (3_000_000, 1), "small": (600_000, 0)}, shared=600_000, own=500_000
    ) as fleet:
        first = 1  # of the duty's order
        fleet.start(0, 2, 3)
        for number in (0, 2, 3):
            fleet.signal(number, signal.SIGSTOP)
        fleet.start(first, broken=f"stop-at-{kind}")
        for number in (0, 2, 3):
            fleet.signal(number, signal.SIGCONT)
        fleet.wait(lambda: any(word == "owner" and number == first for word, number, _ in fleet.words()), 10)
        term = next(line["term"] for word, number, line in fleet.words() if word == "owner")
        fleet.wait(lambda: fleet.stopped(first), 12, "it never stopped itself")
        later, its_term = fleet.new_owner(term)
        fleet.wait(lambda: len(fleet.given()) > 8, 8, "its successor granted nothing")
        fleet.signal(first, signal.SIGCONT)
        refused = fleet.wait(
            lambda: [
                line
                for word, _, line in fleet.words()
                if word == "turned down" and line["sender"] == first and line["kind"] == kind
            ],
            5,
        )
        assert refused[0]["term"] == term and order(refused[0]["known"]) >= order(its_term)
        fleet.wait(
            lambda: all(fleet.placed(site, name) for site in sites for name in fleet.models),
            40,
            "not all came into place",
        )
        for number in range(4):

            def rows(number: int = number) -> dict[str, str]:
                text = (
                    urllib.request.urlopen(f"http://127.0.0.1:{fleet.ports[number]}/metrics", timeout=3)
                    .read()
                    .decode()
                )
                return dict(
                    line.rsplit(" ", 1)
                    for line in text.splitlines()
                    if line.startswith("stackpitch_weights_")
                )

            def there(rows=rows) -> bool:
                found = rows()
                states = [
                    float(found[f'stackpitch_weights_versions{{state="{state}"}}'])
                    for state in ("placed", "released")
                ]
                return sum(states) == (2 if number < 3 else 0)  # noqa: B023 (called in this turn)

            fleet.wait(there, 5, "the metrics don't tell what lies on the disk")
            found = rows()
            assert found["stackpitch_weights_disk_trouble"] == "0.0", (number, found)
            assert found['stackpitch_weights_versions{state="failed"}'] == "0.0", found
        assert fleet.most_a_second() <= 600_000 * 1.15 + (1 << 17), (
            "a second's bytes over the shared link, and a burst"
        )
        once = sum(size for _, _, _, size in fleet.given())
        assert once <= 1.5 * 3_600_000, f"once a region: {once}"
        assert later != first
