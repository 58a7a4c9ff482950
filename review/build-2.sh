#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2. No dependency but a C++17 compiler.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
"${CXX:-g++}" -std=c++17 -O1 -pthread -o target/review-2/cases review/standin-2/*.cpp
