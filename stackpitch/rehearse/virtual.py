"""A day in one process and in made-up time: the same gateways, engines, clients and director on a `VirtualWorld`."""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from stackpitch import settings as settings_package
from stackpitch.gateway.serve import serve
from stackpitch.loop import Coro
from stackpitch.loop.virtual import VirtualWorld
from stackpitch.rehearse import director
from stackpitch.rehearse.broken import BREAKS
from stackpitch.rehearse.clients import ClientSettings, run_clients
from stackpitch.rehearse.day import Day
from stackpitch.rehearse.director import Outcome
from stackpitch.rehearse.engine import EngineSettings, run_engine
from stackpitch.rehearse.memorydisk import MemoryDisk
from stackpitch.rehearse.network import NetworkSettings, run_network
from stackpitch.rehearse.origin import OriginSettings, run_origin
from stackpitch.settings import Settings

APPLIED: list[str] = []  # what has been broken in this process; a patch is applied once


def world(seed: int) -> VirtualWorld:
    made: list[VirtualWorld] = []

    def programs(command: Sequence[str]) -> Coro[Any]:
        """What `Director.command` starts: the words after the interpreter, -m and the package."""
        run: dict[str, Callable[..., Coro[Any]]] = {
            "serve": gateway,
            "engine": engine,
            "clients": clients,
            "network": network,
            "origin": origin,
            "broken": gateway,
        }
        if command[3] == "broken" and command[4] not in APPLIED:
            APPLIED.append(command[4])
            BREAKS[command[4]]()
        return run[command[3]](made[0], Path(command[-1]))

    made.append(VirtualWorld(seed, programs=programs, file_system=MemoryDisk()))
    return made[0]


def play(day: Day, keep: Path | None, say: Callable[[str], None], broken: str | None = None) -> Outcome:
    """Plays and judges a day, as `director.play` does; the same seed gives the same records, byte for byte.
    Gateways that were `broken` stay so as long as this process runs, and are all broken."""
    if any(one.kind == "edits" for one in day.troubles):
        raise ValueError("edits need the real world: they are about files and the processes that read them")
    one = world(day.seed)
    try:
        return director.play(one, day, keep, broken, say)
    finally:
        one.close()


def gateway(one: VirtualWorld, path: Path) -> Coro[None]:
    """Lists are read in this process: there is no other to have them checked in. Its log shows errors alone, as all
    gateways of the day write to one."""
    read = settings_package.read(Settings, path)
    yield from serve(one, read.model_copy(update={"logs": read.logs.model_copy(update={"level": "error"})}))


def engine(one: VirtualWorld, path: Path) -> Coro[None]:
    yield from run_engine(one, msgspec.convert(settings_package.evaluate(path), EngineSettings))


def clients(one: VirtualWorld, path: Path) -> Coro[None]:
    yield from run_clients(one, msgspec.convert(settings_package.evaluate(path), ClientSettings))


def network(one: VirtualWorld, path: Path) -> Coro[None]:
    yield from run_network(one, msgspec.convert(settings_package.evaluate(path), NetworkSettings))


def origin(one: VirtualWorld, path: Path) -> Coro[None]:
    yield from run_origin(one, msgspec.convert(settings_package.evaluate(path), OriginSettings))
