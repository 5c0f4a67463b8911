"""Runs a controller node: python3 run.py --config FILE."""

import argparse
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE / "target" / "deps")]

# The build leaves the bytecode of this project's modules below target/; without it every start would compile them
# again, which takes a quarter of a start's processor time. All other modules have their bytecode beside them, so those
# that are needed are imported before the bytecode folder is switched.
import base64  # noqa: E402, F401
import statistics  # noqa: E402, F401
import tomllib  # noqa: E402, F401

import h11  # noqa: E402, F401
import msgspec  # noqa: E402, F401
import orjson  # noqa: E402, F401
import trio  # noqa: E402, F401

sys.pycache_prefix = str(HERE / "target" / "bytecode")

from pepperlatch.command.serve import serve  # noqa: E402

if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="run a pepperlatch controller node")
    parser.add_argument("--config", required=True, metavar="FILE", help="settings file (TOML)")
    sys.exit(serve(parser.parse_args().config, HERE / "deploy" / "features.toml"))
