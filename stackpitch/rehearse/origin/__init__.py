"""A stand-in for the place that models are published at: plain HTTP with Range, and troubles on demand.

What it gives is recorded from its side: when, to whom, which bytes of what.
"""

from stackpitch.rehearse.origin.run import run_origin
from stackpitch.rehearse.origin.serving import Origin
from stackpitch.rehearse.origin.settings import OriginSettings, OriginTrouble

__all__ = ["Origin", "OriginSettings", "OriginTrouble", "run_origin"]
