#!/usr/bin/env bash
# Prints the Debian packages that deploy/system.toml lists for the deployed build, one on each line.
set -euo pipefail
sed -n 's/^packages = \[\(.*\)\]$/\1/p' "$(dirname "$0")/../deploy/system.toml" | tr ',' '\n' | tr -d ' "' | grep -v '^$'
