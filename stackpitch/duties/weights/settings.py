"""The settings of weights distribution, under `duties.weights`."""

from stackpitch.settings.model import WeightsSettings

__all__ = ["WeightsSettings"]
