#!/bin/sh
# The stand-ins of this review are plain modules for Node.js and need no build; this checks that they load.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs; do node --check "$file"; done
