#!/usr/bin/env bash
# Configures and builds the project.
# usage: Utilities/build.sh [BUILD_DIR] [CMAKE_OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
launcher=()
if command -v ccache > /dev/null; then
    # Clones in other folders share the compiler cache.
    export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=true
    launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
fi
cmake -S . -B "$build" -G Ninja "${launcher[@]}" "$@" > /dev/null
cmake --build "$build"
