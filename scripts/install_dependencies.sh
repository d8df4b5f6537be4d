#!/usr/bin/env bash
# Installs the missing Debian packages that the build and the tests need.
set -euo pipefail
Packages=(cmake ninja-build g++ ccache clang-format clang-tidy python3
  librestinio-dev libasio-dev libfmt-dev libhttp-parser-dev libwebsocketpp-dev
  nlohmann-json3-dev libboost1.81-dev libgflags-dev liblog4cplus-dev
  libcurl4-openssl-dev libssl-dev libjemalloc-dev catch2 libtrompeloeil-cpp-dev)
Missing=()
for Package in "${Packages[@]}"; do
  dpkg-query -W -f='${Status}' "$Package" 2>/dev/null | grep -q 'install ok installed' || Missing+=("$Package")
done
[ ${#Missing[@]} -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq "${Missing[@]}" >/dev/null
