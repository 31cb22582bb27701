"""Structured logs on standard error: JSON lines or a console form."""

import logging
import sys

import structlog

Log = structlog.stdlib.BoundLogger
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def make_logger(name: str, level: str, form: str) -> Log:
    shown: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if form == "console":
        shown = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    log: Log = structlog.wrap_logger(
        structlog.WriteLogger(sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            shown,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    )
    return log.bind(gateway=name)
