"""Structured logs on standard error, as JSON lines or for a console."""

import logging
import sys

import structlog

Log = structlog.stdlib.BoundLogger
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def make_logger(name: str, level: str, form: str) -> Log:
    """The log of the gateway `name`. `level`: a key of LEVELS; `form`: `console`, else JSON."""
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if form == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    log: Log = structlog.wrap_logger(
        structlog.WriteLogger(sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    )
    return log.bind(gateway=name)
