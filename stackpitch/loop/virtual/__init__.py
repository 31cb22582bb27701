"""A made-up machine: simulated clock and network, processes as groups of tasks, everything from one seed.

Users of a world can't tell it from the real one. Computing takes no time here; time goes from one thing that is due to
the next, so a minute takes as long as its work does, and the same seed gives the same order of everything. Files that a
program opens by itself are the real ones, those of `files()` are in memory.
"""

from stackpitch.loop.virtual.disk import Disk, VirtualFiles
from stackpitch.loop.virtual.stream import WINDOW
from stackpitch.loop.virtual.world import EPOCH_MS, VirtualWorld

__all__ = ["EPOCH_MS", "WINDOW", "Disk", "VirtualFiles", "VirtualWorld"]
