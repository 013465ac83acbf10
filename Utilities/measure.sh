#!/usr/bin/env bash
# Measures a policy in a deployment of a given size, with the real daemons and with fakes of engines, services, the log
# and the store; prints one JSON line.
# usage: Utilities/measure.sh --deployment consortium|kuusela --policy naive|current --seed N
# The build folder is SAGESADDLE_BUILD if it is set, else ./build.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${SAGESADDLE_BUILD:-build}
if [ ! -x "$build/bin/sagesaddle-measure" ]; then
    echo "measure.sh: $build/bin/sagesaddle-measure is not built; run Utilities/test.sh first" >&2
    exit 1
fi
exec "$build/bin/sagesaddle-measure" "$@"
