#!/bin/bash
# Builds the stand-ins of the cases into build/review. Needs a C++17 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for folder in review/[0-9]*/; do
  number=$(basename "$folder")
  "${CXX:-c++}" -std=c++17 -O2 -Wall -Wextra -o "build/review/case$number" "review/$number/case.cpp"
done
