#!/usr/bin/env bash
# Builds the cases and their stand-ins; they need a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -Wall -Wextra)
g++ "${flags[@]}" -c review/harness/harness.cpp -o "$out/harness.o"
for main in review/[0-9]/main.cpp; do
    number=$(basename "$(dirname "$main")")
    g++ "${flags[@]}" "$main" "$out/harness.o" -o "$out/case$number"
done
