#!/usr/bin/env bash
# Verifies every Promela model under Tests/Model, and checks that the verifier finds an error in each of its broken
# variants. The first line of a model names its variants: // variants: NAME NAME
set -euo pipefail
cd "$(dirname "$0")/.."
readonly depth=2000000
# Number of verifiers that run in parallel; each uses at most 2048 MB.
readonly atOnce=4
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# folderOf MODEL [VARIANT]: prints the working folder of a verification.
folderOf() { printf '%s/%s-%s' "$work" "$(basename "$1" .pml)" "${2:-whole}"; }

# verify MODEL [VARIANT]: writes the number of errors that the verifier found, or `incomplete`, to the file `errors` in
# the working folder.
verify() {
    local folder
    folder=$(folderOf "$@")
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
        fi > errors
    )
}

# variantsOf MODEL: prints the names of the broken variants.
variantsOf() { sed -n '1s|^// variants:||p' "$1"; }

running=0
for model in Tests/Model/*.pml; do
    [ -e "$model" ] || continue
    for variant in '' $(variantsOf "$model"); do
        if [ "$running" -ge "$atOnce" ]; then
            wait -n || true
            running=$((running - 1))
        fi
        verify "$model" ${variant:+"$variant"} &
        running=$((running + 1))
    done
done
wait

holding=0
caught=0
variants=0
failures=0
for model in Tests/Model/*.pml; do
    [ -e "$model" ] || continue
    errors=$(cat "$(folderOf "$model")/errors" || true)
    if [ "$errors" = 0 ]; then
        holding=$((holding + 1))
        echo "$model: holds"
    else
        failures=$((failures + 1))
        echo "$model: FAILS (errors: ${errors:-none reported})"
        cat "$(folderOf "$model")/"{spin,pan}.log
    fi
    for variant in $(variantsOf "$model"); do
        variants=$((variants + 1))
        errors=$(cat "$(folderOf "$model" "$variant")/errors" || true)
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
