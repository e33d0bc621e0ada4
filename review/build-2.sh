#!/bin/sh
# Builds what the scripts of the second review start beside the program of the deploy file. The stand-ins are plain
# JavaScript without dependencies, so the build only checks that Node.js can read them.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
