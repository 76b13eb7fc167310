#!/usr/bin/env bash
# Builds what the scripts of this review start beside the gateway: the project's store stand-in.
set -euo pipefail
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc --project tsconfig.json
