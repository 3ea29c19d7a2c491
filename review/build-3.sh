#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -pthread -Wall -Wextra -I review/standins-3 review/standins-3/cases.cpp -o target/review-3/cases
