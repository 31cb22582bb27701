"""Runs the command line: `python -m stackpitch`."""

from stackpitch.cli.main import main

main()
