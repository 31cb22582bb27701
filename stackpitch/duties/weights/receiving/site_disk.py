"""The disk of a site, which several gateways may share: placed versions, which one is released, what may be removed."""

from collections.abc import Callable

from stackpitch.duties.weights.errors import DiskTrouble
from stackpitch.duties.weights.placing.disk import QUEUE
from stackpitch.duties.weights.placing.folder import Folder, Released
from stackpitch.loop import Coro, World


class SiteDisk:
    """What is known of the site's disk. All tables are bounded by what is on the disk.

    `placed`: the placed versions of each model. `releases`: the newest release of each model, by this gateway or another
    one of the site. `outdated`: the part of `placed` that the current release has put out of use; entries go when they are
    removed from the disk, or with a newer release.
    """

    def __init__(self, world: World, folder: Folder) -> None:
        self.world, self.folder = world, folder
        self.placed: dict[str, list[str]] = {}
        self.releases: dict[str, Released] = {}
        self.outdated: dict[str, set[str]] = {}

    def scan(self) -> Coro[list[DiskTrouble]]:
        """Reads the disk. Returns the errors of single models. Raises DiskTrouble if the whole disk fails.

        A model with an error counts as absent; the next release rewrites a broken marker.
        """

        def read() -> tuple[dict[str, list[str]], dict[str, Released], list[DiskTrouble]]:
            placed, releases, errors = dict[str, list[str]](), dict[str, Released](), list[DiskTrouble]()
            for model in self.folder.models():
                try:
                    placed[model] = self.folder.versions(model)
                    releases[model] = self.folder.released(model)
                except DiskTrouble as error:
                    errors.append(error)
            return placed, releases, errors

        self.placed, releases, errors = yield from self.world.run_blocking(read, QUEUE)
        for model, release in releases.items():
            known = self.releases.get(model)
            if known is None or (release.stamp, release.serial) > (
                known.stamp,
                known.serial,
            ):  # another gateway released it
                self.releases[model] = release
                self.outdated.pop(model, None)
        return errors

    def mark_outdated(self, model: str, wanted: set[str]) -> None:
        """Marks as outdated what is placed now and is neither released nor wanted.

        What is placed later is left to another release: another gateway of this site may have fetched a version that this
        one was never told of.
        """
        self.outdated[model] = set(self.placed.get(model, ())) - wanted - {self.releases[model].version}

    def clear(self, model: str, wanted: set[str], used: Callable[[str], bool]) -> Coro[list[str]]:
        """Removes outdated versions, and unwanted partial files of this gateway only.

        Returns the paths of the removed versions. Raises DiskTrouble.
        """
        released = self.releases.get(model, Released())
        if not released.stamp.term:
            return []  # the model was never released here
        if released.version and not wanted:
            return []  # after a restart, before the owner has sent what is wanted
        outdated = self.outdated.get(model, set())
        removable = [
            self.folder.placed(model, version)
            for version in self.placed.get(model, ())
            if version in outdated and version not in wanted and not used(version)
        ]
        kept_names = {f"{version}.{self.folder.number}" for version in wanted}

        def clear() -> None:
            for path in removable:
                self.folder.remove(path)
            for name in self.folder.partials(model):
                if name.endswith(f".{self.folder.number}") and name not in kept_names:
                    self.folder.remove(f"{self.folder.model(model)}/partial/{name}")

        yield from self.world.run_blocking(clear, QUEUE)
        self.placed[model] = [
            version
            for version in self.placed.get(model, ())
            if self.folder.placed(model, version) not in removable
        ]
        outdated.intersection_update(self.placed[model])
        return removable
