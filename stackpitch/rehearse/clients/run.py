"""All clients of a day, until all sessions have ended."""

from pathlib import Path

from stackpitch.loop import Coro, Group, World
from stackpitch.rehearse.clients.sessions import Sessions
from stackpitch.rehearse.clients.settings import ClientSettings
from stackpitch.rehearse.records import Recorder


def run_clients(world: World, settings: ClientSettings) -> Coro[None]:
    """Plays all clients of a day; ends once all sessions have."""
    recorder = Recorder(world, Path(settings.records), "clients")
    sessions = Sessions(world, settings, recorder)

    def body(group: Group) -> Coro[None]:
        yield from sessions.arrive(group)

    yield from world.group(body)
    recorder.note("all-over")
