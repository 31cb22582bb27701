"""A simulated machine: clock, network, disk and processes, deterministic for a given seed.

Code that uses a world cannot tell it from the real one. Computation takes no simulated time; the clock jumps
from one due event to the next, so a simulated minute takes only as long as its work, and the same seed gives
the same order of events. Files that a program opens by itself are real; those of `files()` are in memory.
"""

from stackpitch.loop.virtual.disk import Disk, VirtualFiles
from stackpitch.loop.virtual.stream import WINDOW
from stackpitch.loop.virtual.world import EPOCH_MS, VirtualWorld

__all__ = ["EPOCH_MS", "WINDOW", "Disk", "VirtualFiles", "VirtualWorld"]
