"""The only I/O of duties: calls over the admin port, the voter's file, timers. What is decided is decided elsewhere."""

from stackpitch.duties.carrier.duties import Duties
from stackpitch.duties.carrier.figures import Figures

__all__ = ["Duties", "Figures"]
