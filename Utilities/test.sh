#!/usr/bin/env bash
# Builds the project and runs all its tests.
# usage: Utilities/test.sh [BUILD_DIR] [CMAKE_OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" > /dev/null
cmake --build "$build"
ctest --test-dir "$build" --output-on-failure -j "$(($(nproc) / 2))"
