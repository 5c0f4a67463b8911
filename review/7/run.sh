#!/usr/bin/env bash
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
# VARIANT=cut: the other way to the same end.
# What was sent, answered and run goes to record.txt in this folder.
cd "$(dirname "$0")/../.."
export RECORD=review/7/record.txt PYTHONPYCACHEPREFIX=target/bytecode-review
timeout -k 3 115 python3 "review/7/play${VARIANT:+_$VARIANT}.py"
code=$?
exit $((code > 2 ? 2 : code))
