"""Times below zero and classes that are named twice are faults of the settings, told with the field's path."""

import pytest
from platform_script import SETTINGS

from stackpitch.benchlink import settings as reading

PAY = SETTINGS["classes"][1]


@pytest.mark.parametrize("field", ["aimMs", "deadlineMs", "keyTtlMs"])
def test_a_negative_time(field: str) -> None:
    with pytest.raises(reading.InvalidSetting, match=rf"config.classes\[0\].{field}"):
        reading.products(reading.SettingsSection(SETTINGS | {"classes": [PAY | {field: -1}]}))


def test_a_class_that_is_named_twice() -> None:
    with pytest.raises(reading.InvalidSetting, match=r"config.classes\[1\].name"):
        reading.products(reading.SettingsSection(SETTINGS | {"classes": [PAY, PAY | {"effect": "free"}]}))
