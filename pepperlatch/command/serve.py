"""Runs a controller. Imports only what a controller needs, and only the features that are switched on."""

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pepperlatch.controller.extensions import Extension, ExtensionContext
    from pepperlatch.features import Features


def serve(path: str, features_path: Path | None = None) -> int:
    """Run a controller until its process ends; returns exit code 2 at once if a file cannot be used.

    Called by `run.py` and `pepperlatch serve`. `path` is the settings file; without `features_path` every optional
    feature is off. An error is printed to standard error, since logging is not configured yet.
    """
    from pepperlatch import features, logs
    from pepperlatch.settings import SettingsError, load

    try:
        settings = load(path)
    except SettingsError as error:
        print(f"settings {path}: {error}", file=sys.stderr)
        return 2
    try:
        enabled = features.load(features_path) if features_path is not None else features.Features()
    except features.FeaturesError as error:
        print(f"features {features_path}: {error}", file=sys.stderr)
        return 2
    context = logs.configure(settings.node, os.environ)

    import trio

    from pepperlatch.controller import daemon

    def add_token_to_logs(node: daemon.Node) -> None:
        context.token = lambda: node.leadership.term.token if node.leadership.term is not None else None

    trio.run(daemon.serve, settings, _extensions(enabled), add_token_to_logs)
    return 0


def _extensions(enabled: "Features") -> "list[Callable[[ExtensionContext], Extension]]":
    """Constructors of the features that are switched on; the modules of the others are not imported."""
    extensions: list[Callable[[ExtensionContext], Extension]] = []
    if enabled.pipelines.on:
        from pepperlatch.pipelines.extension import PipelinesExtension

        extensions.append(lambda context: PipelinesExtension(context, enabled.pipelines))
    if enabled.console.on:
        from pepperlatch.console.extension import Console

        extensions.append(lambda context: Console(context, enabled.console))
    return extensions
