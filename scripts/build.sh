#!/usr/bin/env bash
# Builds a preset: release (the default), address or thread.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
