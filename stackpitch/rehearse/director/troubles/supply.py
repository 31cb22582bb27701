"""Troubles on the way of weights: an origin that is ill for some or all gateways, a site's disk that is full."""

import resource

import msgspec

from stackpitch.loop import Coro, Time
from stackpitch.rehearse.day import Trouble
from stackpitch.rehearse.director.calls import call
from stackpitch.rehearse.director.places import HOST
from stackpitch.rehearse.director.settings import site_folder
from stackpitch.rehearse.director.stage import Stage
from stackpitch.rehearse.memorydisk import MemoryDisk
from stackpitch.rehearse.origin.settings import Kind, OriginTrouble

KINDS: dict[str, Kind] = {"origin-corrupt": "spoil", "origin-slow": "slow", "origin-refuse": "refuse"}
LARGEST = 192 * 1024  # bytes of a file on a disk that counts as full: voters' files and logs stay below it
UNAVAILABLE = 503


class Supply:
    """Brings one trouble, and takes it away after `lasts`. `strength`: for a corrupt origin the share of its answers with a
    wrong byte, for a slow one bytes a second of each answer, for one that refuses the status, if it is a failure's."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage

    def bring(self, trouble: Trouble, lasts: Time) -> Coro[None]:
        self.stage.say(f"{trouble.kind} x{trouble.strength:g} at {', '.join(trouble.names) or 'all'}")
        if trouble.kind == "disk-full":
            self.fill(trouble.names, True)
            yield from self.stage.world.sleep(lasts)
            self.fill(trouble.names, False)
        else:
            kind = KINDS[trouble.kind]
            strength = {
                "spoil": round(trouble.strength * 1000),
                "slow": round(trouble.strength),
                "refuse": round(trouble.strength) if trouble.strength >= 400 else UNAVAILABLE,
            }[kind]
            numbers = [self.stage.posts[name].number for name in trouble.names]
            yield from self.tell(OriginTrouble(kind, strength, numbers))
            yield from self.stage.world.sleep(lasts)
            yield from self.tell(OriginTrouble(kind, 0))
        self.stage.say(f"{trouble.kind} over")

    def fill(self, sites: list[str], on: bool) -> None:
        """In memory no file of the site grows. A process gets a limit on its files' size, whose error counts as a full disk;
        one that is started meanwhile has none."""
        assert self.stage.day.weights is not None
        volume = self.stage.world.file_system()
        for site in sites:
            self.stage.recorder.note("disk", site=site, full=on)
            if isinstance(volume, MemoryDisk):
                folder = str(self.stage.folder / site_folder(site))
                (volume.full.add if on else volume.full.discard)(folder)
                continue
            for number in self.stage.day.weights.sites[site].gateways:
                child = self.stage.posts[f"g{number}"].child
                if child is not None and child.code() is None:
                    _, hard = resource.prlimit(child.pid, resource.RLIMIT_FSIZE)
                    resource.prlimit(child.pid, resource.RLIMIT_FSIZE, (LARGEST if on else hard, hard))

    def tell(self, trouble: OriginTrouble) -> Coro[None]:
        """Raises RuntimeError if the origin does not take it."""
        assert self.stage.origin is not None
        answer = yield from call(
            self.stage.world, (HOST, self.stage.origin.control), "/trouble", msgspec.json.encode(trouble)
        )
        if answer is None or answer.status != 200:
            raise RuntimeError(
                f"the origin did not take {trouble.kind}: {'no answer' if answer is None else answer.status}"
            )
