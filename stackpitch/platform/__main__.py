"""`python -m stackpitch.platform`: runs one gateway in the foreground, configured by its environment.

Exit code 2: the configuration can't be used; 1: an address is taken or the system refused a resource.
"""

import os
import sys

from stackpitch.loop import RealWorld
from stackpitch.platform.config import ConfigError
from stackpitch.platform.serve import serve

if __name__ == "__main__":
    world = RealWorld()
    try:
        world.run(serve(world, os.environ))
    except ConfigError as error:
        sys.stderr.write(f"stackpitch: {error}\n")
        sys.exit(2)
    except OSError as error:
        sys.exit(f"stackpitch: {error}")
