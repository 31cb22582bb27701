"""Settings: Jsonnet templates, their schema, and errors that name the file, the field and what is allowed."""

from stackpitch.settings.load import BadSettings, evaluate, read, schema
from stackpitch.settings.model import LIVE_SETTINGS, Fleet, Listed, Settings, Weights

__all__ = [
    "LIVE_SETTINGS",
    "BadSettings",
    "Fleet",
    "Listed",
    "Settings",
    "Weights",
    "evaluate",
    "read",
    "schema",
]
