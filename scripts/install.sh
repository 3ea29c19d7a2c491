#!/usr/bin/env bash
# Installs the packages that the build needs, unless they are there. Debian 12.
set -euo pipefail

packages=(
    build-essential cmake ninja-build pkg-config
    libboost1.81-dev libboost-program-options1.81-dev
    libgrpc++-dev libprotobuf-dev libprotobuf32
    liblog4cplus-dev libexpected-dev nlohmann-json3-dev libvalijson-dev libxxhash-dev
    prometheus-cpp-dev libgtest-dev librapidcheck-dev
)
[[ "${1:-}" == "--checks" ]] && packages+=(clang-format clang-tidy)
[[ "${1:-}" == "--reports" ]] && packages+=(gnuplot-nox)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "ok installed" || missing+=("$package")
done
if ((${#missing[@]} > 0)); then
    as_root=()
    [[ $(id -u) == 0 ]] || as_root=(sudo)
    "${as_root[@]}" apt-get update -q
    "${as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
