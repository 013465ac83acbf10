#!/usr/bin/env bash
# Generates the FlatBuffers code from its schemas, by default where it is committed.
# usage: Utilities/generate.sh [OUTPUT_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --scoped-enums -o "${1:-Source/Wire}" Source/Wire/frame.fbs
flatc --cpp --cpp-std c++17 --scoped-enums -o "${1:-Source/Wire}" Source/Wire/fleet.fbs
