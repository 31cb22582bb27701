"""What lies on a site's disk, which several gateways may share: placed versions, which is released, what may be removed."""

from collections.abc import Callable

from stackpitch.duties.weights.errors import DiskTrouble
from stackpitch.duties.weights.placing.disk import QUEUE
from stackpitch.duties.weights.placing.folder import Folder, Released
from stackpitch.loop import Coro, World


class SiteDisk:
    """`lying`: models on the disk and their placed versions. `releases`: the newest word on each model, of this gateway or of
    another one of the site. `outdated`: of `lying`, what the release in force has put out of use; goes as it is removed, or
    by a newer release. All are bounded by what lies there."""

    def __init__(self, world: World, folder: Folder) -> None:
        self.world, self.folder = world, folder
        self.lying: dict[str, list[str]] = {}
        self.releases: dict[str, Released] = {}
        self.outdated: dict[str, set[str]] = {}

    def look(self) -> Coro[list[DiskTrouble]]:
        """What is wrong with single models; it is as if nothing lay there, and the next release mends a marker. Raises
        DiskTrouble."""

        def looked() -> tuple[dict[str, list[str]], dict[str, Released], list[DiskTrouble]]:
            lying, releases, wrong = dict[str, list[str]](), dict[str, Released](), list[DiskTrouble]()
            for model in self.folder.models():
                try:
                    lying[model] = self.folder.versions(model)
                    releases[model] = self.folder.released(model)
                except DiskTrouble as one:
                    wrong.append(one)
            return lying, releases, wrong

        self.lying, found, wrong = yield from self.world.run_blocking(looked, QUEUE)
        for model, one in found.items():
            mine = self.releases.get(model)
            if mine is None or (one.stamp, one.serial) > (mine.stamp, mine.serial):  # another gateway's
                self.releases[model] = one
                self.outdated.pop(model, None)
        return wrong

    def outdate(self, model: str, wanted: set[str]) -> None:
        """What lies there now and is neither released nor wanted. What comes into place later is another release's matter:
        it may be another gateway's of this site, that fetched what this one has never been told of."""
        self.outdated[model] = set(self.lying.get(model, ())) - wanted - {self.releases[model].version}

    def clear(self, model: str, wanted: set[str], used: Callable[[str], bool]) -> Coro[list[str]]:
        """What was removed; partial files of this gateway's own alone. Raises DiskTrouble."""
        released = self.releases.get(model, Released())
        if not released.stamp.term:
            return []  # nothing was ever decided about it here
        if released.version and not wanted:
            return []  # after a restart, before the owner has said what it wants
        outdated = self.outdated.get(model, set())
        gone = [
            self.folder.placed(model, version)
            for version in self.lying.get(model, ())
            if version in outdated and version not in wanted and not used(version)
        ]
        kept = {f"{version}.{self.folder.number}" for version in wanted}

        def clear() -> None:
            for path in gone:
                self.folder.remove(path)
            for name in self.folder.partials(model):
                if name.endswith(f".{self.folder.number}") and name not in kept:
                    self.folder.remove(f"{self.folder.model(model)}/partial/{name}")

        yield from self.world.run_blocking(clear, QUEUE)
        self.lying[model] = [
            version for version in self.lying.get(model, ()) if self.folder.placed(model, version) not in gone
        ]
        outdated.intersection_update(self.lying[model])
        return gone
