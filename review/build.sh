#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules in review/support, which Node runs as they are. This checks that each
# of them can be loaded; the program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.mjs [1-5]/*.mjs; do node --check "$file"; done
