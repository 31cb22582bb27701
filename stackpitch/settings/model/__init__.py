"""The schema of the settings. Times are in milliseconds here, in whole tenths of one in the rest of the code.

Sizes are in bytes or tokens.
"""

from stackpitch.settings.model.base import (
    Count,
    HostPort,
    Milliseconds,
    Name,
    Port,
    PositiveFloat,
    StrictModel,
)
from stackpitch.settings.model.duties import Duties, VocabularySettings, WeightsSettings
from stackpitch.settings.model.fleet import Fleet, Listed, Membership, Weights
from stackpitch.settings.model.module import Module, Peers
from stackpitch.settings.model.root import LIVE_SETTINGS, Settings
from stackpitch.settings.model.rules import Hours, Rule, Where
from stackpitch.settings.model.traffic import Admin, Customer, Door, Engines, Kind, Load, Logs, Product, Stop

__all__ = [
    "LIVE_SETTINGS",
    "Admin",
    "Count",
    "Customer",
    "Door",
    "Duties",
    "Engines",
    "Fleet",
    "HostPort",
    "Hours",
    "Kind",
    "Listed",
    "Load",
    "Logs",
    "Membership",
    "Milliseconds",
    "Module",
    "Name",
    "Peers",
    "Port",
    "PositiveFloat",
    "Product",
    "Rule",
    "Settings",
    "Stop",
    "StrictModel",
    "VocabularySettings",
    "Weights",
    "WeightsSettings",
    "Where",
]
