"""A change of vocabulary for the fleet: announced, judged, allowed or held, in service mixed, done, or called off."""

from stackpitch.duties.vocabulary.change.keeping import read, written
from stackpitch.duties.vocabulary.change.machine import Machine
from stackpitch.duties.vocabulary.change.states import Change, Record, Summary, Wording

__all__ = ["Change", "Machine", "Record", "Summary", "Wording", "read", "written"]
