#!/usr/bin/env bash
# Formats all C++ files of the project; with --check, reports the files that are not formatted and changes nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '_generated\.h$')
if [ "${1:-}" = --check ]; then
    clang-format --dry-run --Werror $files
else
    clang-format -i $files
fi
