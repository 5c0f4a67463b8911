"""Runs a controller. Imports nothing that a controller does not need, and nothing that is off."""

import logging
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pepperlatch.controller.parts import Core, Part
    from pepperlatch.features import Features

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def serve(path: str, features_path: Path | None = None) -> int:
    """Run a controller until something kills it; 2 if a file cannot be used."""
    from pepperlatch import features
    from pepperlatch.settings import SettingsError, load

    try:
        settings = load(path)
    except SettingsError as error:
        print(f"settings {path}: {error}", file=sys.stderr)
        return 2
    try:
        wanted = features.load(features_path) if features_path is not None else features.Features()
    except features.FeaturesError as error:
        print(f"features {features_path}: {error}", file=sys.stderr)
        return 2
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "error").lower(), logging.ERROR)
    logging.basicConfig(level=level, format=f"%(levelname).1s {settings.node} %(message)s", stream=sys.stderr)

    import trio

    from pepperlatch.controller import daemon

    trio.run(daemon.serve, settings, _parts(wanted))
    return 0


def _parts(wanted: "Features") -> "list[Callable[[Core], Part]]":
    """What is switched on; the rest is not even imported."""
    parts: list[Callable[[Core], Part]] = []
    if wanted.pipelines.on:
        from pepperlatch.pipelines.part import Pipelines

        parts.append(lambda core: Pipelines(core, wanted.pipelines))
    return parts
