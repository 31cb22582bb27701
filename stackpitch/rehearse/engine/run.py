"""A stand-in engine from its start to SIGTERM."""

import signal
from pathlib import Path

from stackpitch.loop import Coro, Group, World
from stackpitch.rehearse.engine.control import Control
from stackpitch.rehearse.engine.door import Door
from stackpitch.rehearse.engine.machine import Machine
from stackpitch.rehearse.engine.settings import EngineSettings
from stackpitch.rehearse.engine.steps import Steps
from stackpitch.rehearse.records import Recorder


def run_engine(world: World, settings: EngineSettings) -> Coro[None]:
    """Runs one until SIGTERM."""
    recorder = Recorder(world, Path(settings.records), settings.name)
    made = Machine(world, settings, recorder)
    if settings.tokenizer:
        from stackpitch.rehearse.meaning import Meaning  # the library is for days with vocabularies alone

        made.meaning = Meaning(settings.tokenizer)
    control, door, steps = Control(made), Door(made), Steps(made)
    caught = world.signals(signal.SIGTERM, signal.SIGINT)

    def body(group: Group) -> Coro[None]:
        made.control = world.listen((settings.host, settings.control_port))
        made.listener = world.listen((settings.host, settings.port))
        recorder.note(
            "up",
            role=settings.role,
            cell=settings.cell,
            cold=settings.born_cold,
            **({"vocabulary": settings.vocabulary} if settings.vocabulary else {}),
        )
        group.spawn(control.controlled(group), "controlled")
        group.spawn(door.serve(group), "serve")
        group.spawn(steps.work(), "work")
        yield from caught()
        recorder.note("down")
        group.cancel()

    yield from world.group(body)
