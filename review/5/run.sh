#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=3 110 node review/5/case.js
code=$?
if [ "$code" -gt 1 ]; then
	exit 2
fi
exit "$code"
