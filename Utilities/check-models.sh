#!/usr/bin/env bash
# Checks every Promela model under Tests/Model, and that each of its broken variants is caught.
# A model names its variants in its first line: // variants: NAME NAME
set -euo pipefail
cd "$(dirname "$0")/.."
readonly depth=2000000
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify MODEL [VARIANT]: prints the number of errors the verifier found.
verify() {
    local folder="$work/$(basename "$1" .pml)-${2:-whole}"
    mkdir -p "$folder"
    cp "$1" "$folder/model.pml"
    (
        cd "$folder"
        spin -a ${2:+-D"$2"} model.pml > spin.log 2>&1
        gcc -O2 -w -DSAFETY -DVECTORSZ=4096 -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c
        ./pan -m"$depth" > pan.log 2>&1 || true
        if grep -q 'max search depth too small\|out of memory' pan.log; then
            echo incomplete
        else
            sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
        fi
    )
}

holding=0
caught=0
variants=0
failures=0
for model in Tests/Model/*.pml; do
    [ -e "$model" ] || continue
    errors=$(verify "$model")
    if [ "$errors" = 0 ]; then
        holding=$((holding + 1))
        echo "$model: holds"
    else
        failures=$((failures + 1))
        echo "$model: FAILS (errors: ${errors:-none reported})"
        cat "$work/$(basename "$model" .pml)-whole/"{spin,pan}.log
    fi
    for variant in $(sed -n '1s|^// variants:||p' "$model"); do
        variants=$((variants + 1))
        errors=$(verify "$model" "$variant")
        if [ -n "$errors" ] && [ "$errors" != 0 ] && [ "$errors" != incomplete ]; then
            caught=$((caught + 1))
            echo "$model without its guard ($variant): caught"
        else
            echo "$model without its guard ($variant): NOT CAUGHT (errors: ${errors:-none reported})"
        fi
    done
done
echo "models: $holding hold, $caught of $variants broken variants caught"
[ "$failures" -eq 0 ] && [ "$caught" -eq "$variants" ] && [ "$holding" -gt 0 ]
