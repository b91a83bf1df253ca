#!/usr/bin/env bash
# Builds the project twice, plain and with ASan and UBSan, and runs all tests in both builds.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
cmake -S . -B build-asan -G Ninja -DREACHRIDGE_SANITIZE=ON >/dev/null
cmake --build build-asan
ci/ctest.sh build-asan
ci/ctest.sh build
