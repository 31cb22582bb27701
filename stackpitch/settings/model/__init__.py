"""The schema. Times are milliseconds here and whole tenths of one everywhere else; sizes are bytes or tokens."""

from stackpitch.settings.model.duties import Duties, VocabularySettings, WeightsSettings
from stackpitch.settings.model.fleet import Fleet, Listed, Membership, Weights
from stackpitch.settings.model.module import Module, Peers
from stackpitch.settings.model.parts import Count, HostPort, Milliseconds, Name, Part, Port, Some
from stackpitch.settings.model.rules import Hours, Rule, Where
from stackpitch.settings.model.traffic import Admin, Customer, Door, Engines, Kind, Load, Logs, Product, Stop
from stackpitch.settings.model.whole import LIVE, Settings

__all__ = [
    "LIVE",
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
    "Part",
    "Peers",
    "Port",
    "Product",
    "Rule",
    "Settings",
    "Some",
    "Stop",
    "VocabularySettings",
    "Weights",
    "WeightsSettings",
    "Where",
]
