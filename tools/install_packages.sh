#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -eu
packages=(g++ cmake ninja-build ccache clang-format clang-tidy
  libboost1.81-dev libwebsocketpp-dev nlohmann-json3-dev libcxxopts-dev
  liblog4cplus-dev libcriterion-dev libssl-dev libxxhash-dev libsqlite3-dev zlib1g-dev curl openssl)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}"
