"""A randomized soak of real gateway processes on loopback, and the preloaded library of faults that it uses."""
