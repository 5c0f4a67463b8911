"""What is switched on: `deploy/features.toml`, one table a subsystem. A missing file means all is off."""

import tomllib
from pathlib import Path

import msgspec


class FeaturesError(Exception):
    """The file cannot be used; the text names the field."""


class Pipelines(msgspec.Struct, forbid_unknown_fields=True):
    """`repeats`: classes of jobs that may be asked for again under the same key."""

    on: bool = False
    repeats: list[str] = []


class Features(msgspec.Struct, forbid_unknown_fields=True):
    pipelines: Pipelines = msgspec.field(default_factory=Pipelines)


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
