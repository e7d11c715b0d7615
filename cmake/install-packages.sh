#!/usr/bin/env bash
# Installs the Debian packages the build and the tests need; does nothing when all are present.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev python3
    libboost1.81-dev libboost-test1.81-dev libboost-json1.81-dev libboost-system1.81-dev
    libeigen3-dev libflatbuffers-dev libgflags-dev liblog4cplus-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
    state=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
    [ "$state" = installed ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
