#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They need Python 3.11 only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -m compileall -q standin
