#!/usr/bin/env bash
# Prints the simulator's digests of all scenarios under their own seeds, or compares two such lists:
#   digests.sh SIMULATOR SCENARIOS > FILE
#   digests.sh --compare BEFORE AFTER      names the runs that differ; exit status 1 if there are any
# A change that only renames, moves, splits or types leaves every digest as it was (docs/measurements.md).
set -euo pipefail
compare() { # before, after
  local list differences status=0
  for list in "$1" "$2"; do
    [ -s "$list" ] || { echo "digests.sh: '$list' is missing or empty" >&2; return 2; }
  done
  differences=$(diff <(sort "$1") <(sort "$2")) || status=$?
  if ((status > 0)); then
    grep '^[<>]' <<<"$differences"
    return "$status"
  fi
  echo "$(wc -l <"$2") digests, all equal"
}
if [ "$1" = --compare ]; then
  compare "$2" "$3"
  exit
fi
simulator=$1
find "$2" -name '*.txt' -print0 | sort -z |
  xargs -0 -P "${JOBS:-$(nproc)}" -n 1 sh -c '"$0" --digest "$1" | grep "^digest " || true' "$simulator" | sort
