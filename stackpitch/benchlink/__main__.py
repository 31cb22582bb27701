"""Plays the bench's wire on standard input and output."""

import sys

from stackpitch.benchlink.codec import WireError
from stackpitch.benchlink.host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as wrong:
        sys.exit(f"benchlink: {wrong}")
    except (BrokenPipeError, KeyboardInterrupt):
        sys.exit(1)
