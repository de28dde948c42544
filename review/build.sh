#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build/. Needs only the C++ compiler and the standard library.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for program in store server clients; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/$program" "standin/$program.cpp" standin/http.cpp
done
