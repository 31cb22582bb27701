"""The click commands, one module for each group."""

from stackpitch.cli.commands.expect import expect
from stackpitch.cli.commands.fleet import fleet
from stackpitch.cli.commands.rehearse import rehearse
from stackpitch.cli.commands.serving import broken, checker, serve
from stackpitch.cli.commands.settings import settings
from stackpitch.cli.commands.standins import clients, engine, network, origin

ALL = (serve, engine, settings, rehearse, expect, fleet, checker, clients, network, origin, broken)

__all__ = ["ALL"]
