#!/usr/bin/env bash
# Installs what building and testing needs on Debian 12.
set -euo pipefail
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
export DEBIAN_FRONTEND=noninteractive
$sudo apt-get update -qq
$sudo apt-get install -y -qq --no-install-recommends \
    g++ cmake ninja-build clang-format clang-tidy ccache git ca-certificates curl openssl procps \
    libcivetweb-dev prometheus-cpp-dev libflatbuffers-dev flatbuffers-compiler libdocopt-dev \
    libeasyloggingpp-dev doctest-dev libtomlplusplus-dev nlohmann-json3-dev librapidcheck-dev \
    spin libssl-dev libasio-dev libcurl4-openssl-dev libxxhash-dev libbenchmark-dev pkg-config libevent-dev libhttp-parser-dev libb64-dev > /dev/null
