#!/usr/bin/env bash
# With TROUBLE=0 the script does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "${BASH_SOURCE[0]}")/case.py"
