#!/usr/bin/env bash
# Installs what building and testing needs on Debian 12: what the deployed build needs by deploy/system.toml,
# and what the other programs, the tests and the tools need besides.
set -euo pipefail
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
export DEBIAN_FRONTEND=noninteractive
mapfile -t deployed < <("$(dirname "$0")/deployed-packages.sh")
$sudo apt-get update -qq
$sudo apt-get install -y -qq --no-install-recommends "${deployed[@]}" \
    clang-format clang-tidy ccache git ca-certificates curl openssl procps flatbuffers-compiler doctest-dev \
    librapidcheck-dev spin libasio-dev libcivetweb-dev libcurl4-openssl-dev libbenchmark-dev > /dev/null
