"""What gateways say with their yes to an owner's announcement: it costs no call, and reaches the owner's work."""

from types import SimpleNamespace

import msgspec
import pytest
from weights_stage import MemoryDisk

from benchmarks.duties import QUIET
from stackpitch.duties.calls import encode_body
from stackpitch.duties.carrier import Duties, DutiesConfig
from stackpitch.duties.weights import forms
from stackpitch.duties.weights.plan.site_states import GatewayState, SiteStates
from stackpitch.duties.weights.settings import WeightsSettings
from stackpitch.duties.weights.wanted import Wanted
from stackpitch.duties.weights.work import WeightsWork
from stackpitch.gateway.admin import Admin
from stackpitch.loop import MS, SECOND
from stackpitch.loop.virtual import VirtualWorld

SIZE, ANNOUNCE = 5, 4 * SECOND


class Present:
    name = "weights"

    def __init__(self, number):
        self.number, self.heard_of = number, {}

    def present(self):
        return {"number": self.number}

    def announced(self, number, body):
        if body is None:
            self.heard_of.pop(number, None)
        else:
            self.heard_of[number] = msgspec.json.decode(body)["number"]

    def run_as_owner(self, tenure, value):
        while True:
            yield from tenure.world.sleep(SECOND)

    def serve(self):
        yield from ()


def test_each_announcement_brings_what_every_gateway_says_and_forgets_who_is_gone():
    works, made, worlds = [Present(number) for number in range(SIZE)], {}, []

    def programs(command):
        number, world = int(command[0]), worlds[0]
        figures = DutiesConfig(
            "hall",
            number,
            tuple(("127.0.0.1", 1000 + one) for one in range(SIZE)),
            (0, 1, 2),
            ("weights",),
            f"/votes{number}",
            0,
            SECOND,
            0.01,
            200 * MS,
            ANNOUNCE,
            64,
        )
        duties = made[number] = Duties(world, QUIET, figures, [works[number]])
        listener = world.listen(figures.addresses[number])

        def body(group):
            group.spawn(
                Admin(world, {}, {"/duty": duties.handle_request}, Duties.LARGEST).serve(group, listener),
                "admin",
            )
            group.spawn(duties.run(), "duties")
            yield from world.sleep(1000 * SECOND)

        return world.group(body)

    world = VirtualWorld(1, programs=programs)
    worlds.append(world)

    def owner():
        return next(
            number
            for number, one in made.items()
            if one.receiver.lease_managers["weights"].candidate.stage == "owner"
        )

    def main():
        children = [world.spawn_child([str(number)]) for number in range(SIZE)]
        yield from world.sleep(10 * SECOND)
        ours = works[owner()]
        assert ours.heard_of == {number: number for number in range(SIZE)}
        gone = next(number for number in (3, 4) if number != ours.number)
        before = sum(
            count for (kind, _), count in made[ours.number].peer_calls.counts.items() if kind == "owner"
        )
        children[gone].signal(9)
        yield from world.sleep(2 * ANNOUNCE)
        assert ours.heard_of == {number: number for number in range(SIZE) if number != gone}
        after = sum(
            count for (kind, _), count in made[ours.number].peer_calls.counts.items() if kind == "owner"
        )
        assert after - before <= 2 * SIZE + 8, "two rounds, and tries of the one that is gone"

    world.run(main())
    world.close()


def test_revenue_that_waits_is_that_of_all_gateways_of_the_site(tmp_path):
    world = VirtualWorld(1)
    told = WeightsSettings(wanted=str(tmp_path / "wanted"), folder=str(tmp_path))
    work = WeightsWork(
        world, SimpleNamespace(number=1, gateways=4), told, 1, str, revenue=lambda: 2.5, disk=MemoryDisk()
    )
    assert work.present() == forms.Present(2.5)
    wanted = Wanted.model_validate(
        {
            "version": 1,
            "links": {"up": {"bytes_per_s": 2000, "sites": ["a", "b"]}},
            "models": {},
            "sites": {
                "a": {"bytes_per_s": 2000, "gateways": [1, 3]},
                "b": {"bytes_per_s": 2000, "gateways": [2]},
            },
        }
    )
    sites = SiteStates(wanted, work.waiting)
    heard = GatewayState(forms.Report("a", 1, forms.Mark(1, 0), 4.0), 0)
    for number, revenue in ((1, 3.0), (2, 9.0), (3, 5.0)):
        work.announced(number, encode_body(forms.Present(revenue)))
    assert sites.revenue("a", heard) == 9.0, "the receiver's own as it said last, the other's as announced"
    work.announced(3, encode_body(None))
    assert sites.revenue("a", heard) == 4.0, "a gateway of an older version says nothing"
    for body in (b"[1]", b'{"revenue": -1}', b'{"revenue": "x"}'):
        work.announced(3, encode_body(forms.Present(5.0)))
        with pytest.raises(msgspec.DecodeError):
            work.announced(3, msgspec.Raw(body))
        assert sites.revenue("a", heard) == 4.0
