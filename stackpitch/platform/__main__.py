"""`python -m stackpitch.platform`: runs one gateway in the foreground, configured by its environment.

Exit code 2: the configuration can't be used; 1: an address is taken or the system refused a resource.
"""

import signal

# Held back until its handler is installed: it would end a process that is starting.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

import os  # noqa: E402
import sys  # noqa: E402

from stackpitch.loop import RealWorld  # noqa: E402
from stackpitch.platform.config import ConfigError  # noqa: E402
from stackpitch.platform.serve import serve  # noqa: E402

if __name__ == "__main__":
    world = RealWorld()
    try:
        world.run(serve(world, os.environ))
    except ConfigError as error:
        sys.stderr.write(f"stackpitch: {error}\n")
        sys.exit(2)
    except OSError as error:
        sys.exit(f"stackpitch: {error}")
