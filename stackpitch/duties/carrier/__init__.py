"""The I/O of coordinated tasks ("duties"): calls over the admin port, the voting replica's file, and timers.

The decisions, and the constants behind them, are in `duties.ownership` and `duties.record`.
"""

from stackpitch.duties.carrier.config import DutiesConfig
from stackpitch.duties.carrier.duties import Duties

__all__ = ["Duties", "DutiesConfig"]
