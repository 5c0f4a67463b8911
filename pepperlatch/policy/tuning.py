"""Operators' own settings: name, unit, bounds, default and reason; changed through the administration API."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Knob:
    default: float
    low: float
    high: float
    unit: str
    reason: str


KNOBS: dict[str, Knob] = {
    "drain_threshold": Knob(0.30, 0.0, 1.0, "share", "the paper's static threshold for an underused machine"),
    "drain_every_s": Knob(10.0, 1.0, 3600.0, "s", "the design's round; the paper says only 'regular'"),
    "drain_age_s": Knob(600.0, 0.0, 86400.0, "s", "a move restarts a task, so only young tasks are moved"),
    "drain_lost_s": Knob(8.0, 0.0, 86400.0, "s", "unsaved run time that a move may throw away; replicas lose none"),
    "idle_s": Knob(
        30.0,
        0.0,
        3600.0,
        "s",
        "an idle machine is kept about as long as a new one takes to boot and fetch; a spot one for the same money",
    ),
    "spare_jobs": Knob(
        1.0, 0.0, 20.0, "jobs", "largest services for which room is kept, so that a new or lost one starts at once"
    ),
}


class BadValue(ValueError):
    """The message names the field."""


class Tuning:
    """The settings in force: defaults, overlaid by what the state service holds."""

    def __init__(self, stored: dict[str, Any] | None = None) -> None:
        self._values = {name: knob.default for name, knob in KNOBS.items()}
        for name, value in (stored or {}).items():
            if name in KNOBS:
                self._values[name] = checked(name, value)

    def __getitem__(self, name: str) -> float:
        return self._values[name]

    def values(self) -> dict[str, float]:
        return dict(self._values)


def checked(name: str, value: object) -> float:
    knob = KNOBS.get(name)
    if knob is None:
        raise BadValue(f"{name}: no such setting")
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadValue(f"{name}: must be a number")
    if not knob.low <= value <= knob.high:
        raise BadValue(f"{name}: must be from {knob.low} to {knob.high} {knob.unit}")
    return float(value)
