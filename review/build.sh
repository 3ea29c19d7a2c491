#!/bin/sh
# Builds the programs of the cases, with their stand-ins, into target/review. Needs only a C++20 compiler and
# the header-only JSON library, both among the packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review/case$number"
done
