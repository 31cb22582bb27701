"""Brings server lists from files into the decision module.

It watches the files, has them checked, and applies and persists lists. Nothing is decided here: the registrar
decides which list comes into force (`membership.registrar`), the checker what a valid set of files is
(`membership.bundle`).
"""

from stackpitch.gateway.roster_manager.manager import RosterManager

__all__ = ["RosterManager"]
