"""What is switched on: `deploy/features.toml`, one table a subsystem. A missing file means all is off."""

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec


class FeaturesError(Exception):
    """The file cannot be used; the text names the field."""


class Pipelines(msgspec.Struct, forbid_unknown_fields=True):
    """`repeats`: classes of jobs that may be asked for again under the same key."""

    on: bool = False
    repeats: list[str] = []


class Public(msgspec.Struct, forbid_unknown_fields=True):
    """For members. `listen`: address of a listener of its own, none if empty. `teams`: shown to all; empty: every team.

    `names`: whether ids of jobs are shown, or words in their place that stand for the same job all along.
    """

    listen: str = ""
    teams: list[str] = []
    names: bool = False


class Console(msgspec.Struct, forbid_unknown_fields=True):
    """`metrics`: /metrics on the operators' listener; needs the group `metrics` of the optional libraries.

    `trace_share`: of the jobs, whose spans go into the log; needs the group `tracing` unless it is 0.
    """

    on: bool = False
    metrics: bool = False
    trace_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    public: Public = msgspec.field(default_factory=Public)


class Features(msgspec.Struct, forbid_unknown_fields=True):
    pipelines: Pipelines = msgspec.field(default_factory=Pipelines)
    console: Console = msgspec.field(default_factory=Console)


def parse(text: str) -> Features:
    try:
        return msgspec.convert(tomllib.loads(text), Features)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise FeaturesError(str(error)) from None


def load(path: Path) -> Features:
    """Raises FeaturesError if the file is there and cannot be used."""
    try:
        return parse(path.read_text("utf-8"))
    except FileNotFoundError:
        return Features()
    except (OSError, UnicodeDecodeError) as error:
        raise FeaturesError(str(error)) from None
