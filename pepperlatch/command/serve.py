"""Runs a controller. Imports nothing that a controller does not need, and nothing that is off."""

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pepperlatch.controller.extensions import Extension, ExtensionContext
    from pepperlatch.features import Features


def serve(path: str, features_path: Path | None = None) -> int:
    """Run a controller until something kills it; 2 if a file cannot be used."""
    from pepperlatch import features, logs
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
    context = logs.configure(settings.node, os.environ)

    import trio

    from pepperlatch.controller import daemon

    def made(node: daemon.Node) -> None:
        context.token = lambda: node.leadership.term.token if node.leadership.term is not None else None

    trio.run(daemon.serve, settings, _parts(wanted), made)
    return 0


def _parts(wanted: "Features") -> "list[Callable[[ExtensionContext], Extension]]":
    """What is switched on; the rest is not even imported."""
    parts: list[Callable[[ExtensionContext], Extension]] = []
    if wanted.pipelines.on:
        from pepperlatch.pipelines.extension import PipelinesExtension

        parts.append(lambda core: PipelinesExtension(core, wanted.pipelines))
    if wanted.console.on:
        from pepperlatch.console.extension import Console

        parts.append(lambda core: Console(core, wanted.console))
    return parts
