#!/usr/bin/env bash
# Builds the project and runs all its tests. The tests listed in KNOWN-RED.txt run last and are printed; their failure
# does not fail the run.
# usage: Utilities/test.sh [BUILD_DIR] [CMAKE_OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
Utilities/build.sh "$build" "$@"

# An entry of KNOWN-RED.txt: test name | command and seed | what was seen | issue
known=()
if [ -s KNOWN-RED.txt ]; then
    mapfile -t known < <(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | sed 's/[[:space:]]*$//' | grep -v '^$' || true)
fi
# Escapes a test name for ctest's regular expressions.
quoted() { printf '%s' "$1" | sed 's/[][\.*^$+?(){}|]/\\&/g'; }
excluded=()
for name in "${known[@]}"; do
    excluded+=("^$(quoted "$name")\$")
done
selection=()
if [ ${#excluded[@]} -gt 0 ]; then
    selection=(-E "$(IFS='|'; printf '%s' "${excluded[*]}")")
fi
# Most tests wait for processes and timers; one processor is left to the processes that they start.
atOnce=$(($(nproc) > 2 ? $(nproc) - 1 : 1))
ctest --test-dir "$build" --output-on-failure --no-tests=error -j "$atOnce" "${selection[@]}"
# Entries may also name what is no test of the suite, such as a script of a review.
tests=$(ctest --test-dir "$build" -N | sed -n 's/^ *Test *#[0-9]*: //p')
for name in "${known[@]}"; do
    if ! grep -Fxq -- "$name" <<< "$tests"; then
        echo "KNOWN RED, not run here since it is no test of this suite: $name"
    elif ctest --test-dir "$build" --no-tests=error -R "^$(quoted "$name")\$" > /dev/null; then
        echo "KNOWN RED, passing now, take it out of KNOWN-RED.txt: $name"
    else
        echo "KNOWN RED: $name"
    fi
done
