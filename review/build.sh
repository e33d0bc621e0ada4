#!/bin/sh
# Checks the scripts of the cases. They are plain JavaScript with stand-ins of their own, so nothing is compiled.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
