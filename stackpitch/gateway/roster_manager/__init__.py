"""Brings server lists from files into the decision module: watches files, has them checked, applies and
persists lists.

Nothing is decided here. The registrar decides which list comes into force (`membership.registrar`), the
checker what a valid set of files is (`membership.bundle`)."""

from stackpitch.gateway.roster_manager.manager import RosterManager

__all__ = ["RosterManager"]
