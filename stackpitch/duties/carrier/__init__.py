"""The only I/O of duties: calls over the admin port, the voter's file, timers. What is decided is decided elsewhere."""

from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.duties.carrier.duties import Duties

__all__ = ["Duties", "DutiesConfig"]
