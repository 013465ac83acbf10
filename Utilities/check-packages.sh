#!/usr/bin/env bash
# Fails if the gateway's build read a system header of a package that is neither listed in deploy/system.toml nor a
# dependency of a listed one. Machines that build the deployment have no other packages installed.
# usage: Utilities/check-packages.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
listed=$(Utilities/deployed-packages.sh)

# The listed packages and their dependencies, direct and indirect, as far as they are installed here.
allowed=$listed
queue=$listed
while [ -n "$queue" ]; do
    # shellcheck disable=SC2086  # split into one argument for each name
    queue=$(dpkg-query -W -f '${Depends}, ${Pre-Depends}\n' $queue 2> /dev/null | tr ',|' '\n\n' |
        sed 's/([^)]*)//g; s/:any//g; s/[[:space:]]//g' | grep -v '^$' | sort -u | grep -vxF "$allowed" || true)
    allowed=$(printf '%s\n%s\n' "$allowed" "$queue" | sort -u)
done

mapfile -t objects < <(ninja -C "$build" -t inputs sagesaddle-gateway | grep '\.o$')
headers=$(ninja -C "$build" -t deps "${objects[@]}" | sed -n 's/^    \(\/usr\/.*\)$/\1/p' | xargs -r realpath | sort -u)
if [ -z "$headers" ]; then
    echo "check-packages: $build holds no dependencies of sagesaddle-gateway; build it there with Ninja first" >&2
    exit 1
fi
packages=$(xargs -r dpkg -S <<< "$headers" | sed 's/: .*//; s/:.*//' | sort -u)
lacking=$(grep -vxF "$allowed" <<< "$packages" || true)
if [ -n "$lacking" ]; then
    echo "check-packages: the gateway's build reads headers of packages that deploy/system.toml does not list:" $lacking >&2
    exit 1
fi
echo "packages: $(wc -l <<< "$headers") system headers of $(wc -l <<< "$packages") packages, all listed or implied"
