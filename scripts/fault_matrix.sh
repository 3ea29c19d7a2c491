#!/usr/bin/env bash
# Runs the fault matrix on virtual time and prints its table.
set -euo pipefail
cd "$(dirname "$0")/.."
[[ -x build/release/tests/teaselcross_tests ]] || scripts/build.sh release
output=$(mktemp)
trap 'rm -f "$output"' EXIT
build/release/tests/teaselcross_tests --gtest_filter='*fault_matrix*:*planted_defect*:hazards.*:exploration.*:repeats.*' \
    >"$output" || true
grep -E '^(single|unchecked|pairs|repeats|depth) ' "$output" || true
grep -E '^-?[a-z_]+: .* at step' "$output" || true
awk '/^\[  PASSED  \]/ {passed = $4} /^\[  FAILED  \] [0-9]+ test/ {failed = $4} END {print passed + 0 " passed, " failed + 0 " failed"; exit failed > 0}' \
    "$output"
