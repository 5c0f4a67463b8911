"""The `pepperlatch` command. Heavy parts are imported by the subcommand that needs them."""

import argparse
import logging
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pepperlatch.controller.parts import Core, Part
    from pepperlatch.features import Features

REMOTE = {
    "submit": "submit a job from a JSON file",
    "status": "show a job",
    "cancel": "cancel a job",
    "admin": "operators' settings and views",
}
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


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="pepperlatch", description="a cluster scheduler")
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("serve", help="run a controller node")
    run.add_argument("--config", required=True, metavar="FILE", help="settings file (TOML)")
    for name, text in REMOTE.items():
        command = commands.add_parser(name, help=text)
        command.add_argument(
            "--node", required=True, metavar="HOST:PORT", help="address of a controller (for admin: its own listener)"
        )
        if name == "admin":
            command.add_argument("what", choices=["settings", "view", "set"])
            command.add_argument("values", nargs="*", metavar="NAME=VALUE")
        else:
            command.add_argument("job", help="file, or - for standard input" if name == "submit" else "job id")
    args = parser.parse_args(argv)
    if args.command == "serve":
        return serve(args.config)
    from pepperlatch.command import client

    return client.run(args)


if __name__ == "__main__":
    sys.exit(main())
