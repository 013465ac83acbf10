#!/usr/bin/env bash
# Installs the Debian 12 packages that building and testing need: those that deploy/system.toml lists for the deployed
# build, and those of the other programs, the tests and the tools.
set -euo pipefail
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
export DEBIAN_FRONTEND=noninteractive
mapfile -t deployed < <("$(dirname "$0")/deployed-packages.sh")
$sudo apt-get update -qq
$sudo apt-get install -y -qq --no-install-recommends "${deployed[@]}" \
    clang-format clang-tidy ccache git ca-certificates curl openssl procps flatbuffers-compiler doctest-dev \
    librapidcheck-dev spin libasio-dev libcivetweb-dev libcurl4-openssl-dev libbenchmark-dev > /dev/null
