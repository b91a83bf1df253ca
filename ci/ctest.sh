#!/usr/bin/env bash
# Runs the tests of one build folder: ctest.sh BUILD. Tests listed in KNOWN-RED.txt (at most three lines
# "NAME: cause, issue N") run as well. Their failures are printed and do not change the exit status. If a listed test
# passes, the exit status is 1, because the test must be removed from the list.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
known_failures=KNOWN-RED.txt
known_pattern=""
if [ -s "$known_failures" ]; then
  [ "$(wc -l <"$known_failures")" -le 3 ] || { echo "$known_failures: has more than three lines" >&2; exit 1; }
  known_pattern=$(sed 's/:.*//; s/\./\\./g' "$known_failures" | paste -sd'|')
fi
if [ -z "$known_pattern" ]; then
  exec ctest --test-dir "$build" --output-on-failure -j "$(nproc)"
fi
ctest --test-dir "$build" --output-on-failure -j "$(nproc)" -E "^($known_pattern)\$"
while IFS=: read -r name cause; do
  if ctest --test-dir "$build" --no-tests=error -R "^${name//./\\.}\$" >/dev/null; then
    echo "KNOWN-RED $name passes now: remove it from $known_failures" >&2
    exit 1
  fi
  echo "KNOWN-RED $name fails, as listed:$cause"
done <"$known_failures"
