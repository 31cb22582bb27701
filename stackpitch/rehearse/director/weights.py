"""Models of a day: their bytes, the wanted file as it changes, and what comes into place at the sites.

wanted: version, grant_ms, links, sites, models    as the file says from then on, without the pieces' digests
placed: site, model, version, whole                the digest of what was seen in a place, whenever it is another one
gone: site, model, version                         nothing lies there any more
lies: as placed, for all that lies there at the day's end
"""

import os
from collections.abc import Iterator
from typing import Any

import msgspec
from blake3 import blake3

from stackpitch.duties.weights.manifest import made
from stackpitch.duties.weights.wanted import checked
from stackpitch.loop import MS, SECOND, Coro, FileSystem, Random, Time
from stackpitch.rehearse.director.places import HOST
from stackpitch.rehearse.director.settings import WANTED, site_folder
from stackpitch.rehearse.director.stage import Stage

LOOK: Time = 100 * MS  # at the sites' folders
PART = 1 << 20
Copy = tuple[str, str, str]  # site, model, version


class Weights:
    """`manifests` by model and version. `seen` has an entry for each copy that lies in place."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.version = stage, 0
        self.manifests: dict[tuple[str, str], dict[str, Any]] = {}
        self.seen: dict[Copy, str] = {}

    def lay_out(self) -> None:
        """Before the origin and the gateways start. Raises WantedRejected."""
        weights, origin = self.stage.day.weights, self.stage.origin
        assert weights is not None and origin is not None
        for name, model in weights.models.items():
            for version in model.versions():
                data = Random(f"{self.stage.day.seed} {name} {version}").randbytes(model.size)
                path = self.stage.folder / f"{name}-{version}.bytes"
                path.write_bytes(data)
                origin.files[f"/{name}/{version}"] = str(path)
                self.manifests[name, version] = made(data, model.piece).model_dump()
        self.write(0.0)

    def tree(self, at: float) -> dict[str, Any]:
        day, origin = self.stage.day, self.stage.origin
        assert day.weights is not None and origin is not None
        weights, models = day.weights, {}
        began = self.stage.world.wall_ms() - round(at * 1000)
        for name, model in weights.models.items():
            version = model.version(at)
            if version is not None:
                models[name] = {
                    "version": version,
                    "priority": model.priority,
                    "sites": model.sites,
                    "by_unix_ms": None if model.by_s is None else began + round(model.by_s * 1000),
                    "origin": f"{HOST}:{origin.port}",
                    "path": f"/{name}/{version}",
                    "manifest": self.manifests[name, version],
                    "vocabulary": self.vocabulary(name, version),
                }
        return {
            "version": self.version,
            "grant_ms": weights.grant_ms,
            "least_share": weights.least_share,
            "links": {
                name: {"bytes_per_s": weights.rate(name, at), "sites": link.sites}
                for name, link in weights.links.items()
            },
            "sites": {name: site.model_dump() for name, site in weights.sites.items()},
            "models": models,
        }

    def vocabulary(self, model: str, version: str) -> str:
        assert self.stage.day.weights is not None
        which, made = self.stage.day.weights.models[model].comes_with(version), self.stage.vocabularies
        return made.digests[which] if which is not None and made is not None else ""

    def write(self, at: float) -> None:
        """Whole or not at all, as gateways look at any time."""
        self.version += 1
        tree = self.tree(at)
        checked(tree, WANTED)
        beside = self.stage.folder / f"{WANTED}.new"
        beside.write_bytes(msgspec.json.encode(tree))
        os.replace(beside, self.stage.folder / WANTED)
        models = {
            name: {
                "version": one["version"],
                "priority": one["priority"],
                "sites": one["sites"],
                "vocabulary": one["vocabulary"],
                **{key: one["manifest"][key] for key in ("size", "piece", "whole")},
            }
            for name, one in tree["models"].items()
        }
        self.stage.recorder.note(
            "wanted",
            version=self.version,
            grant_ms=tree["grant_ms"],
            links=tree["links"],
            sites=tree["sites"],
            models=models,
        )

    def edit(self) -> Coro[None]:
        assert self.stage.day.weights is not None
        for at in self.stage.day.weights.times():
            yield from self.stage.world.sleep(self.stage.start + int(at * SECOND) - self.stage.world.now())
            self.write(at)
            self.stage.say(f"the wanted file's version {self.version}")

    def watch(self) -> Coro[None]:
        while True:
            yield from self.look()
            yield from self.stage.world.sleep(LOOK)

    def look(self) -> Coro[None]:
        found = yield from self.stage.world.run_blocking(lambda: set(self.copies()))
        for copy in sorted(found - self.seen.keys()):
            whole = yield from self.stage.world.run_blocking(lambda copy=copy: self.digest(copy))  # type: ignore[misc]
            if whole is not None:
                self.seen[copy] = whole
                self.note("placed", copy, whole)
        for copy in sorted(self.seen.keys() - found):
            del self.seen[copy]
            self.note("gone", copy, "")

    def at_the_end(self) -> Coro[None]:
        for copy in sorted((yield from self.stage.world.run_blocking(lambda: set(self.copies())))):
            whole = yield from self.stage.world.run_blocking(lambda copy=copy: self.digest(copy))  # type: ignore[misc]
            if whole is not None:
                self.note("lies", copy, whole)

    def note(self, what: str, copy: Copy, whole: str) -> None:
        self.stage.recorder.note(what, site=copy[0], model=copy[1], version=copy[2], whole=whole)

    def folder(self, site: str) -> str:
        return str(self.stage.folder / site_folder(site))

    def copies(self) -> Iterator[Copy]:
        assert self.stage.day.weights is not None
        volume = self.stage.world.file_system()
        for site in self.stage.day.weights.sites:
            for model in volume.list_folder(self.folder(site)):
                for version in volume.list_folder(f"{self.folder(site)}/{model}/placed"):
                    yield site, model, version

    def digest(self, copy: Copy) -> str | None:
        """None: it went meanwhile."""
        site, model, version = copy
        volume: FileSystem = self.stage.world.file_system()
        try:
            file = volume.open(f"{self.folder(site)}/{model}/placed/{version}")
        except OSError:
            return None
        try:
            whole, at = blake3(), 0
            while data := volume.read(file, at, PART):
                whole.update(data)
                at += len(data)
            return whole.hexdigest()
        finally:
            volume.close(file)
