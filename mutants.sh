#!/usr/bin/env bash
# Mutation test: removes one protection of the product at a time and runs the scenario or test group that must fail
# without it. Usage: mutants.sh [NAME...]. Without names, all rows of mutants.txt run.
# Each row: name | file | text to replace | replacement | scenario or tests:GROUP | seeds.
# Prints one line per row:
#   seen    the scenario or test group fails without the protection, as required
#   UNSEEN  the scenario or test group passes without the protection
#   STALE   the text to replace is not in the file
#   BROKEN  the changed source does not build
#   SLOW    the test group did not end within 600 s, so the result is unknown
# The exit status is 1 if any row is not "seen".
set -uo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$work"
launcher=()
command -v ccache >/dev/null && launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
cmake -S "$work" -B "$work/build" -G Ninja "${launcher[@]}" >/dev/null
cmake --build "$work/build" --target simulator >/dev/null
exit_status=0
while IFS='@' read -r name file text replacement check seeds; do
  [[ -z "$name" || "$name" == \#* ]] && continue
  if (($#)) && [[ " $* " != *" $name "* ]]; then continue; fi
  text=${text//'\n'/$'\n'}
  replacement=${replacement//'\n'/$'\n'}
  cp "$work/$file" "$work/original"
  # The text is matched word by word, so that line breaks of the formatter do not matter.
  if ! TEXT="$text" REPLACEMENT="$replacement" perl -0pi -e '
    BEGIN { $pattern = join("\\s*", map { quotemeta } $ENV{TEXT} =~ /\w+|[^\w\s]/g); $replacement = $ENV{REPLACEMENT}; }
    $replaced = s/$pattern/$replacement/;
    END { exit !$replaced }' "$work/$file"; then
    echo "STALE   $name: the text to replace is not in $file"
    exit_status=1
    continue
  fi
  target=simulator
  [[ "$check" == tests:* ]] && target=tests
  if ! cmake --build "$work/build" --target $target >"$work/log" 2>&1; then
    echo "BROKEN  $name: the changed source does not build"
    exit_status=1
  elif [[ $target == tests ]]; then
    output=$(timeout 600 "$work/build/tests" -g "${check#tests:}" 2>&1)
    if (($? == 124)); then
      echo "SLOW    $name: $check did not end within 600 s"
      exit_status=1
    elif grep -q '^OK (' <<<"$output"; then
      echo "UNSEEN  $name: $check"
      exit_status=1
    else echo "seen    $name: $check: $(grep -o 'TEST([a-z_]*, [a-zA-Z0-9_]*' <<<"$output" | sort -u | sed 's/TEST(//' | tr '\n' ' ')"; fi
  else
    output=$("$work/build/simulator" --seeds "$seeds" "$work/scenarios/$check.txt" 2>&1)
    violated_rules=$(grep -E '^     ' <<<"$output" | sed 's/^ *//; s/:.*//' | sort | uniq -c | sort -rn | awk '{print $2 "x" $1}' | head -4 | tr '\n' ' ')
    failed_runs=$(grep -c '^FAIL' <<<"$output")
    if ((failed_runs)) || ! grep -q ' failed$' <<<"$output"; then echo "seen    $name: $check, $failed_runs runs: ${violated_rules:-crash}"; else
      echo "UNSEEN  $name: $check seeds $seeds"
      exit_status=1
    fi
  fi
  cp "$work/original" "$work/$file"
done <mutants.txt
exit $exit_status
