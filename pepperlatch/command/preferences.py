"""A user's preferences for the command line. An option overrides an environment variable, which overrides the file.

The file is `config.toml` below the user's configuration directory (on Linux `~/.config/pepperlatch/`), or the file that
PEPPERLATCH_CONFIG names:

    nodes = ["10.0.0.1:8080", "10.0.0.2:8080"]        # PEPPERLATCH_NODES, comma-separated
    admin_nodes = ["10.0.0.1:8081"]                   # PEPPERLATCH_ADMIN_NODES
    team = "night-duty"                               # PEPPERLATCH_TEAM
    output = "table"                                  # PEPPERLATCH_OUTPUT
    timeout_s = 60.0                                  # PEPPERLATCH_TIMEOUT
"""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Literal

import msgspec

from pepperlatch.constants import core as c

APPLICATION_NAME = "pepperlatch"


class PreferencesError(Exception):
    """The file or a variable cannot be used; the text names which of them and what is wrong."""


class Preferences(msgspec.Struct, forbid_unknown_fields=True):
    """The file's fields. Nodes are HOST:PORT; `timeout_s` is how long one request is retried, in seconds."""

    nodes: list[str] = []
    admin_nodes: list[str] = []
    team: str = ""
    output: Literal["table", "json"] = "table"
    timeout_s: float = c.MAX_USER_RETRY_S


FIELD_OF_VARIABLE = {
    "PEPPERLATCH_NODES": "nodes",
    "PEPPERLATCH_ADMIN_NODES": "admin_nodes",
    "PEPPERLATCH_TEAM": "team",
    "PEPPERLATCH_OUTPUT": "output",
    "PEPPERLATCH_TIMEOUT": "timeout_s",
}


def file_path(environ: Mapping[str, str] = os.environ) -> Path:
    """The preferences file, whether it exists or not."""
    import platformdirs

    configured = environ.get("PEPPERLATCH_CONFIG")
    return Path(configured) if configured else Path(platformdirs.user_config_dir(APPLICATION_NAME)) / "config.toml"


def load(environ: Mapping[str, str] = os.environ) -> Preferences:
    """The preferences of the file, overridden by the variables that are set. Raises PreferencesError.

    A missing file counts as an empty one.
    """
    file = file_path(environ)
    try:
        values: dict[str, Any] = tomllib.loads(file.read_text("utf-8"))
    except FileNotFoundError:
        values = {}
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise PreferencesError(f"{file}: {error}") from None
    _validated(values, str(file))
    for variable, field in FIELD_OF_VARIABLE.items():
        if text := environ.get(variable):
            value = [part.strip() for part in text.split(",")] if field in ("nodes", "admin_nodes") else text
            values[field] = _validated({field: value}, variable, strict=False)[field]
    return msgspec.convert(values, Preferences)


def _validated(values: dict[str, Any], source: str, strict: bool = True) -> dict[str, Any]:
    """The given fields with their types checked; not `strict`, texts are converted to numbers. Raises PreferencesError.

    `source` is the file or variable that an error names.
    """
    try:
        checked = msgspec.convert(values, Preferences, strict=strict)
    except msgspec.ValidationError as error:
        raise PreferencesError(f"{source}: {error}") from None
    return {name: getattr(checked, name) for name in values}
