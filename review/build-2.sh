#!/usr/bin/env bash
# Checks the stand-ins of the second review.  They need no build: they use the
# standard library only, and the entries use what the deploy file has built.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
test -d target/deps || { echo 'build the deploy file first'; exit 1; }
for file in review/standin2/fleet.py review/*/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo 'the stand-ins of the second review are ready'
