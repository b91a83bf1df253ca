#!/usr/bin/env bash
# Runs the tests of one build folder: ctest.sh BUILD. Those listed in KNOWN-RED.txt ("NAME: cause, issue N", three at
# most) run too and are printed, but do not decide; one of them that passes does: it has to come off the list.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
list=KNOWN-RED.txt
known=""
if [ -s "$list" ]; then
  [ "$(wc -l <"$list")" -le 3 ] || { echo "$list: three lines at most" >&2; exit 1; }
  known=$(sed 's/:.*//; s/\./\\./g' "$list" | paste -sd'|')
fi
if [ -z "$known" ]; then
  exec ctest --test-dir "$build" --output-on-failure -j "$(nproc)"
fi
ctest --test-dir "$build" --output-on-failure -j "$(nproc)" -E "^($known)\$"
while IFS=: read -r name cause; do
  if ctest --test-dir "$build" --no-tests=error -R "^${name//./\\.}\$" >/dev/null; then
    echo "KNOWN-RED $name passes now: take it off $list" >&2
    exit 1
  fi
  echo "KNOWN-RED $name fails, as listed:$cause"
done <"$list"
