#!/usr/bin/env bash
# Builds all stand-ins of the second review into target/review-2/. Needs the C++ compiler that deploy/system.toml names, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$(basename "$source" .cpp)"
done
