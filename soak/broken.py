"""`python -m soak.broken MUTANT`: a gateway that is broken on purpose, from what its environment names."""

import os
import signal
import sys

from soak.mutants import MUTANTS
from stackpitch.loop import RealWorld
from stackpitch.platform.serve import serve

if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    MUTANTS[sys.argv[1]].apply()
    world = RealWorld()
    world.run(serve(world, os.environ))
