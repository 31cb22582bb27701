"""Negative times and duplicate class names are errors in the settings, reported with the field's path."""

import pytest
from platform_script import SETTINGS

from stackpitch.benchlink import settings as settings_parser

PAY = SETTINGS["classes"][1]


@pytest.mark.parametrize("field", ["aimMs", "deadlineMs", "keyTtlMs"])
def test_a_negative_time(field: str) -> None:
    with pytest.raises(settings_parser.InvalidSetting, match=rf"config.classes\[0\].{field}"):
        settings_parser.products(settings_parser.SettingsSection(SETTINGS | {"classes": [PAY | {field: -1}]}))


def test_a_duplicate_class_name() -> None:
    with pytest.raises(settings_parser.InvalidSetting, match=r"config.classes\[1\].name"):
        settings_parser.products(
            settings_parser.SettingsSection(SETTINGS | {"classes": [PAY, PAY | {"effect": "free"}]})
        )
