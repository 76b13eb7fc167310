#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js and need no compiling; this checks that all of them,
# and what they need of the project, are there.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/support/*.js review/[1-5]/case.js; do
	node --check "$file"
done
test -f target/cowsliprudder-entry.mjs
node --input-type=module --eval "await import('smol-toml')"
