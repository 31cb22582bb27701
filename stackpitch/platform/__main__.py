"""`python -m stackpitch.platform`: one gateway, in the foreground, from what its environment names."""

import os
import sys

from stackpitch.loop import RealWorld
from stackpitch.platform.config import ConfigError
from stackpitch.platform.serve import serve

if __name__ == "__main__":
    world = RealWorld()
    try:
        world.run(serve(world, os.environ))
    except ConfigError as wrong:
        sys.stderr.write(f"stackpitch: {wrong}\n")
        sys.exit(2)
    except OSError as wrong:
        sys.exit(f"stackpitch: {wrong}")
