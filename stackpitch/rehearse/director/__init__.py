"""Plays a day: starts engines, gateways and clients as processes, brings the troubles, gathers the records."""

from stackpitch.rehearse.director.check import check
from stackpitch.rehearse.director.outcome import Outcome, judge
from stackpitch.rehearse.director.play import play

__all__ = ["Outcome", "check", "judge", "play"]
