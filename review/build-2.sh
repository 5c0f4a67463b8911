#!/usr/bin/env bash
# Builds what the cases 4 to 8 start besides the controllers: the stand-ins need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/bytecode-review python3 -m compileall -q review/common-2 review/[4-8]
