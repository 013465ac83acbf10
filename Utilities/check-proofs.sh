#!/usr/bin/env bash
# Fails if docs/PROOFS.md names a test in backticks that CTest does not know. Test names contain a colon and a space;
# other text in backticks is ignored.
# usage: Utilities/check-proofs.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
known=$(ctest --test-dir "${1:-build}" -N | sed -n 's/^ *Test *#[0-9]*: //p')
missing=0
named=0
while IFS= read -r name; do
    named=$((named + 1))
    if ! grep -Fxq -- "$name" <<< "$known"; then
        echo "docs/PROOFS.md names a test that does not exist: $name" >&2
        missing=$((missing + 1))
    fi
done < <(grep -o '`[a-z][^`]*: [^`]*`' docs/PROOFS.md | tr -d '`' | sort -u)
echo "proofs: $named tests named, $missing missing"
[ "$missing" -eq 0 ] && [ "$named" -gt 0 ]
