#!/usr/bin/env bash
# Runs clang-tidy on the given sources, or on all sources of the project.
# usage: Utilities/lint.sh BUILD_DIR [FILE...]
# Without FILE, the files of each target are checked together, as its unity build compiles them, so that the libraries'
# headers are parsed once for several files. This needs sources that include no other source, which is checked first.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
if [ $# -gt 0 ]; then
    files=("$@")
    database=$build
else
    if git grep -nE '#include "[^"]*\.cpp"' -- '*.cpp' '*.h'; then
        echo "lint: a source includes another source; move what both need into a header" >&2
        exit 1
    fi
    # Two types with the same name in one program are undefined behaviour that no compiler reports.
    doubled=$(git grep -hoE '^(struct|class|enum class) [a-z_0-9]+( final)?( :[^:].*)?( \{)?$' -- 'Source/*.h' 'platform/*.h' |
        awk '{ print ($1 == "enum") ? $3 : $2 }' | sort | uniq -d)
    if [ -n "$doubled" ]; then
        echo "lint: types declared in more than one header; rename one of each: $doubled" >&2
        exit 1
    fi
    database=$build-lint
    # A source whose text is copied into the unity file finds headers of its own folder only through include paths.
    cmake -S . -B "$database" -G Ninja -DCMAKE_UNITY_BUILD=ON -DCMAKE_INCLUDE_CURRENT_DIR=ON > /dev/null
    mapfile -t files < <(sed -n 's/^ *"file": "\(.*\)",\{0,1\}$/\1/p' "$database/compile_commands.json" | sort -u)
    # Third-party libraries that are compiled from source are not linted.
    mapfile -t files < <(grep -lF "#include \"$PWD/" "${files[@]}")
    # Replaces the includes of sources in the unity files by the text of the sources: clang-tidy and its analyser check
    # the text of the main file fully, but not that of included files.
    for group in "${files[@]}"; do
        awk '/^#include "\/.*\.cpp"$/ {
                path = substr($2, 2, length($2) - 2)
                print "#line 1 \"" path "\""
                while ((getline line < path) > 0)
                    print line
                close(path)
                next
            }
            { print }' "$group" > "$group.whole"
        mv "$group.whole" "$group"
    done
fi
printf '%s\n' "${files[@]}" |
    xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$database" 2>&1 |
    { grep -vE '^[0-9]+ warnings? (generated|treated)|^Suppressed|^Use -header-filter' || true; }
test "${PIPESTATUS[1]}" -eq 0
