#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=../../target/review-bytecode exec python3 case.py .
