#!/usr/bin/env bash
# Installs what building and testing need, from Debian. Run as root.
set -euo pipefail
apt-get update -qq
apt-get install -y -qq g++ cmake ninja-build pkg-config curl \
  clang-format clang-tidy flatbuffers-compiler \
  libabsl-dev libcpp-httplib-dev libflatbuffers-dev libtomlplusplus-dev \
  libgoogle-glog-dev prometheus-cpp-dev libexpected-dev nlohmann-json3-dev \
  libxxhash-dev libssl-dev libuv1-dev libboost1.81-dev libcpputest-dev librapidcheck-dev \
  >/dev/null
