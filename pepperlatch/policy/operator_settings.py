"""Settings that operators change at run time through the administration API (`PUT /admin/settings`)."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting; `reason` says why its default is as it is, and is shown to operators."""

    default: float
    minimum: float
    maximum: float
    unit: str
    reason: str


OPERATOR_SETTINGS: dict[str, Setting] = {
    "drain_threshold": Setting(0.30, 0.0, 1.0, "share", "the paper's static threshold for an underused machine"),
    "drain_every_s": Setting(10.0, 1.0, 3600.0, "s", "the design's round; the paper says only 'regular'"),
    "drain_age_s": Setting(600.0, 0.0, 86400.0, "s", "a move restarts a task, so only young tasks are moved"),
    "drain_lost_s": Setting(8.0, 0.0, 86400.0, "s", "unsaved run time that a move may throw away; replicas lose none"),
    "idle_s": Setting(
        30.0,
        0.0,
        3600.0,
        "s",
        "an idle machine is kept about as long as a new one takes to boot and fetch; a spot one for the same money",
    ),
    "spare_jobs": Setting(
        1.0, 0.0, 20.0, "jobs", "largest services for which room is kept, so that a new or lost one starts at once"
    ),
}


class InvalidSetting(ValueError):
    """An unknown setting, or a value that is no number or out of bounds. The message begins with the setting's name."""


class OperatorSettings:
    """The values in force: the defaults, replaced by those that the state service holds.

    Stored settings that this version does not know are ignored. Raises `InvalidSetting` for a stored value that is not
    valid.
    """

    def __init__(self, stored: dict[str, Any] | None = None) -> None:
        self._values = {name: setting.default for name, setting in OPERATOR_SETTINGS.items()}
        for name, value in (stored or {}).items():
            if name in OPERATOR_SETTINGS:
                self._values[name] = validated(name, value)

    def __getitem__(self, name: str) -> float:
        return self._values[name]

    def values(self) -> dict[str, float]:
        return dict(self._values)


def validated(name: str, value: object) -> float:
    """The value as a number; raises `InvalidSetting` if it is none, out of bounds, or the setting is unknown."""
    setting = OPERATOR_SETTINGS.get(name)
    if setting is None:
        raise InvalidSetting(f"{name}: no such setting")
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidSetting(f"{name}: must be a number")
    if not setting.minimum <= value <= setting.maximum:
        raise InvalidSetting(f"{name}: must be from {setting.minimum} to {setting.maximum} {setting.unit}")
    return float(value)
