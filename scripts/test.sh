#!/usr/bin/env bash
# Installs, builds without warnings, checks format and lint, and runs the tests: all that CI checks.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install.sh --checks
scripts/build.sh release
scripts/check_format.sh
scripts/check_words.sh
scripts/lint.sh
scripts/run_tests.sh
scripts/soak.sh --seconds 6 1 2 2
# Regression: an instance that is frozen while it stops (605, 624).
scripts/soak.sh --seconds 12 605 605
scripts/soak.sh --seconds 12 624 624
# Regression: a confirmed configuration that is late at instances short of room (8001).
scripts/soak.sh --seconds 20 --instances 12 --targets 430 8001 8001
