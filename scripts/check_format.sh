#!/usr/bin/env bash
# Fails when a source file is not formatted; with --fix it formats them.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(find src platform tests examples benchmarks -name '*.h' -o -name '*.cpp')
if [[ "${1:-}" == "--fix" ]]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
    echo "format: ${#files[@]} files"
fi
