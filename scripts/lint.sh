#!/usr/bin/env bash
# Runs clang-tidy on the sources, in parallel. The build has to be there.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(find src platform -name '*.cpp')
# The precompiled header is GCC's.
database=build/lint
mkdir -p "$database"
sed -E 's/-Winvalid-pch -include [^ ]+//' build/release/compile_commands.json >"$database/compile_commands.json"
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p "$database" --quiet 2>/dev/null
echo "lint: ${#files[@]} files"
