#!/usr/bin/env bash
# Builds the stand-ins of the review's cases (bytecode only, below target/). They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review-bytecode python3 -m compileall -q review
