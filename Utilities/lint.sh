#!/usr/bin/env bash
# Runs clang-tidy over the project's sources, or over those given.
# usage: Utilities/lint.sh BUILD_DIR [FILE...]
# doctest_main.cpp is left out of a whole run: it is doctest's own implementation, set off by one macro.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' ':!Tests/Support/doctest_main.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "$build" 2>&1 |
    { grep -vE '^[0-9]+ warnings? (generated|treated)|^Suppressed|^Use -header-filter' || true; }
test "${PIPESTATUS[1]}" -eq 0
