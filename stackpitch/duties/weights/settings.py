"""This duty's settings, under `duties.weights`."""

from stackpitch.settings.model import WeightsSettings

__all__ = ["WeightsSettings"]
