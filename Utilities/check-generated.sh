#!/usr/bin/env bash
# Fails where the committed FlatBuffers code is not what flatc makes of the schema.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v flatc > /dev/null; then
    echo "check-generated: flatc is not installed, the committed code was not compared"
    exit 0
fi
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT
Utilities/generate.sh "$fresh"
diff -u Source/Wire/frame_generated.h "$fresh/frame_generated.h" || {
    echo "check-generated: Source/Wire/frame_generated.h is stale; run Utilities/generate.sh and commit it" >&2
    exit 1
}
