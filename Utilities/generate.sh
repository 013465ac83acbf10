#!/usr/bin/env bash
# Makes the committed FlatBuffers code from its schema.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --scoped-enums -o "${1:-Source/Wire}" Source/Wire/frame.fbs
flatc --cpp --cpp-std c++17 --scoped-enums -o "${1:-Source/Wire}" Source/Wire/fleet.fbs
