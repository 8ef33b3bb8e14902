#!/bin/sh
# Installs the Debian packages that the build needs and that are not yet installed.
set -eu
PACKAGES="g++ cmake ninja-build clang clang-format clang-tidy libclang-rt-14-dev libevent-dev libcapnp-dev capnproto liblog4cxx-dev libcxxopts-dev libabsl-dev libboost-dev libboost-test-dev libboost-program-options-dev nlohmann-json3-dev librapidcheck-dev libxxhash-dev libzstd-dev libsodium-dev libtomlplusplus-dev curl"
MISSING=""
for package in $PACKAGES; do
  dpkg -s "$package" >/dev/null 2>&1 || MISSING="$MISSING $package"
done
[ -z "$MISSING" ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $MISSING
