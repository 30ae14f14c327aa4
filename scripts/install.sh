#!/usr/bin/env bash
# Installs the Debian 12 packages needed to build, test and lint plantainwall.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy curl
    libcpprest-dev libjsonrpccpp-dev libjsoncpp-dev prometheus-cpp-dev libcli11-dev liblog4cplus-dev
    libtomlplusplus-dev libxxhash-dev libsodium-dev libssl-dev libmsgsl-dev zlib1g-dev librapidcheck-dev
    libboost-dev libboost-system-dev libboost-thread-dev libboost-test-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
"${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
