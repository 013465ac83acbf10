#!/usr/bin/env bash
# Fails if the committed FlatBuffers code differs from what flatc generates from the schemas. Without flatc nothing is
# compared, and the script succeeds.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v flatc > /dev/null; then
    echo "check-generated: flatc is not installed, the committed code was not compared"
    exit 0
fi
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT
Utilities/generate.sh "$fresh"
for name in frame fleet; do
    diff -u "Source/Wire/${name}_generated.h" "$fresh/${name}_generated.h" || {
        echo "check-generated: Source/Wire/${name}_generated.h is stale; run Utilities/generate.sh and commit it" >&2
        exit 1
    }
done
