# Creates the local environment in .venv if it is missing or out of date.
# Sourced by the other scripts; leaves the repository as working directory.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
stamp=.venv/.installed
wanted=$(cat constraints.txt requirements-dev.txt pyproject.toml packages/*/pyproject.toml platform/pyproject.toml | sha256sum)
if [ "$(cat "$stamp" 2>/dev/null || true)" != "$wanted" ]; then
  python3.11 -m venv .venv
  .venv/bin/python -m pip install --quiet -c constraints.txt setuptools
  .venv/bin/python -m pip install --quiet -c constraints.txt -r requirements-dev.txt \
    -e packages/core -e packages/daemon -e packages/client -e packages/testing -e packages/bench -e platform
  printf '%s' "$wanted" > "$stamp"
fi
