"""Brings lists from files into the module: watches, has them checked, asks the registrar, applies, keeps.

Nothing is decided here. Which list comes into force is the registrar's matter (`membership.registrar`), what a good set
is the checker's (`membership.bundle`).
"""

from stackpitch.gateway.roster_manager.manager import RosterManager

__all__ = ["RosterManager"]
