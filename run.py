"""Runs a controller node: python3 run.py --config FILE."""

import argparse
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE / "target" / "deps")]

from pepperlatch.command.serve import serve  # noqa: E402

if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="run a pepperlatch controller node")
    parser.add_argument("--config", required=True, metavar="FILE", help="settings file (TOML)")
    sys.exit(serve(parser.parse_args().config, HERE / "deploy" / "features.toml"))
