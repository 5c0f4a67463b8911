"""What a user of the command line prefers. An option goes before a variable, a variable before the file.

The file is `config.toml` below the user's configuration directory (on Linux `~/.config/pepperlatch/`), or whatever
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

APP = "pepperlatch"


class BadPreferences(Exception):
    """The file or a variable cannot be used; the text names the place."""


class Preferences(msgspec.Struct, forbid_unknown_fields=True):
    nodes: list[str] = []
    admin_nodes: list[str] = []
    team: str = ""
    output: Literal["table", "json"] = "table"
    timeout_s: float = c.MAX_USER_RETRY_S


VARIABLES = {
    "PEPPERLATCH_NODES": "nodes",
    "PEPPERLATCH_ADMIN_NODES": "admin_nodes",
    "PEPPERLATCH_TEAM": "team",
    "PEPPERLATCH_OUTPUT": "output",
    "PEPPERLATCH_TIMEOUT": "timeout_s",
}


def path(environ: Mapping[str, str] = os.environ) -> Path:
    import platformdirs

    named = environ.get("PEPPERLATCH_CONFIG")
    return Path(named) if named else Path(platformdirs.user_config_dir(APP)) / "config.toml"


def load(environ: Mapping[str, str] = os.environ) -> Preferences:
    """The file, then the variables on top. Raises BadPreferences; a file that is not there is none."""
    file = path(environ)
    try:
        values: dict[str, Any] = tomllib.loads(file.read_text("utf-8"))
    except FileNotFoundError:
        values = {}
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise BadPreferences(f"{file}: {error}") from None
    _checked(values, str(file))
    for variable, field in VARIABLES.items():
        if text := environ.get(variable):
            given = [part.strip() for part in text.split(",")] if field in ("nodes", "admin_nodes") else text
            values[field] = _checked({field: given}, variable, strict=False)[field]
    return msgspec.convert(values, Preferences)


def _checked(values: dict[str, Any], place: str, strict: bool = True) -> dict[str, Any]:
    try:
        found = msgspec.convert(values, Preferences, strict=strict)
    except msgspec.ValidationError as error:
        raise BadPreferences(f"{place}: {error}") from None
    return {name: getattr(found, name) for name in values}
