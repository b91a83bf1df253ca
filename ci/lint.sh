#!/usr/bin/env bash
# Runs the formatter and the linter on all sources: lint.sh BUILD (a build folder with compile_commands.json).
# Headers are checked through the sources that include them.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
size_and_naming_checks=readability-function-size,readability-function-cognitive-complexity,readability-identifier-length,readability-identifier-naming
git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run -Werror
echo "clang-format: clean"
git ls-files '*.cpp' | grep -v -e _fuzz.cpp -e _test.cpp |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2>/dev/null
# Tests are exempt from the checks of size and naming, because the linter counts the code of the test macros and each
# test case is one function.
git ls-files '*_test.cpp' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet --checks="-${size_and_naming_checks//,/,-}" 2>/dev/null
echo "clang-tidy: clean"
