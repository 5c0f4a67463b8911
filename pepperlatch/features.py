"""Switches of the optional subsystems: `deploy/features.toml`, one table for each. Without the file all are off.

Unknown fields are errors.
"""

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec


class FeaturesError(Exception):
    """The file cannot be used; the text names the field. The node does not start."""


class Pipelines(msgspec.Struct, forbid_unknown_fields=True):
    """The switch of the pipelines. `repeats`: classes of jobs that may be run again under the same key."""

    on: bool = False
    repeats: list[str] = []


class Public(msgspec.Struct, forbid_unknown_fields=True):
    """The members' view.

    `listen`: address of its own listener, none if empty. `teams`: teams whose jobs are shown, all if empty. `names`:
    whether ids of jobs are shown; if not, each job has a pseudonym that stays the same.
    """

    listen: str = ""
    teams: list[str] = []
    names: bool = False


class Console(msgspec.Struct, forbid_unknown_fields=True):
    """The switch of the console, the metrics and the traces.

    `metrics`: serve /metrics on the operators' listener; needs the group `metrics` of the optional libraries.
    `trace_share`: share of the jobs whose spans go into the log; needs the group `tracing` unless it is 0.
    """

    on: bool = False
    metrics: bool = False
    trace_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    public: Public = msgspec.field(default_factory=Public)


class Features(msgspec.Struct, forbid_unknown_fields=True):
    """Contents of the file, a table for each subsystem."""

    pipelines: Pipelines = msgspec.field(default_factory=Pipelines)
    console: Console = msgspec.field(default_factory=Console)


def parse(text: str) -> Features:
    """Features from the file's text. Raises FeaturesError."""
    try:
        return msgspec.convert(tomllib.loads(text), Features)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise FeaturesError(str(error)) from None


def load(path: Path) -> Features:
    """Features from a file, all off if there is none. Raises FeaturesError if the file cannot be used."""
    try:
        return parse(path.read_text("utf-8"))
    except FileNotFoundError:
        return Features()
    except (OSError, UnicodeDecodeError) as error:
        raise FeaturesError(str(error)) from None
