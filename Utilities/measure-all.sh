#!/usr/bin/env bash
# Compares the policies over several seeds, and prints the median, minimum and maximum of each measure.
# usage: Utilities/measure-all.sh RESULTS [SEED...]
# Appends the JSON line of each run to the file RESULTS. The four runs of a seed (two deployments, two policies) run in
# parallel, so that other load on the machine affects all of them. The build folder is found as in measure.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
results=${1:?usage: Utilities/measure-all.sh RESULTS [SEED...]}
shift
seeds=("$@")
[ ${#seeds[@]} -gt 0 ] || seeds=(1 2 3 4 5)
runs=$(mktemp)
trap 'rm -f "$runs"' EXIT
for seed in "${seeds[@]}"; do
    for deployment in consortium kuusela; do
        for policy in naive current; do
            Utilities/measure.sh --deployment "$deployment" --policy "$policy" --seed "$seed" >> "$runs" &
        done
    done
    wait
    tail -n 4 "$runs" >> "$results"
done

# Prints the values of a numeric member in the JSON lines of a deployment and policy, sorted.
valuesOf() { # deployment policy measure
    grep "\"deployment\":\"$1\",\"policy\":\"$2\"" "$runs" | sed -E "s/.*\"$3\":([-0-9.e]+).*/\1/" | sort -g
}
summary() { awk '{ v[NR] = $1 } END { m = int((NR + 1) / 2); printf "%.4g (%.4g to %.4g)", v[m], v[1], v[NR] }'; }
for deployment in consortium kuusela; do
    printf '%s, seeds %s\n' "$deployment" "${seeds[*]}"
    for measure in attainment_per_accelerator attainment moves worst_team_attainment mean_team_attainment \
        refused_inside_rate refused_inside_rate_outside_faults \
        refused_inside_rate_outside_faults_of_keeping_teams overcommits executed_twice p50_ms p99_ms; do
        printf '| %s | %s | %s |\n' "$measure" "$(valuesOf "$deployment" naive "$measure" | summary)" \
            "$(valuesOf "$deployment" current "$measure" | summary)"
    done
done
