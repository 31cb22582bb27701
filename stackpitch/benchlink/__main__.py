"""Runs the simulator adapter on standard input and output."""

import sys

from stackpitch.benchlink.codec import WireError
from stackpitch.benchlink.host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        sys.exit(f"benchlink: {error}")
    except (BrokenPipeError, KeyboardInterrupt):
        sys.exit(1)
