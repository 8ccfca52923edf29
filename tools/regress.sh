#!/usr/bin/env bash
# Scores and hunts site files with the users' bench and prints one table line for
# each: score, gate, mean worth of the standard days with trouble, hunted days and
# broken ones. Output of every run stays in the output directory.
#
#   tools/regress.sh BENCH OUT JOBS WHY SITE:DAYS...
#
# DAYS is the number of days to hunt; 0 hunts none.
set -euo pipefail
bench=$1 out=$2 jobs=$3 why=$4
shift 4
mkdir -p "$out"
echo "| site | score | gate | mean worth, days with trouble | hunted | broken |"
echo "|---|---|---|---|---|---|"
for entry in "$@"; do
  site=${entry%:*} days=${entry##*:}
  name=$(basename "$site" .toml)
  # A failed gate or a broken rule is a result, not an error of this script.
  "$bench" score "$site" --jobs "$jobs" --why "$why" >"$out/$name.score" 2>&1 || true
  broken="-"
  if [ "$days" -gt 0 ]; then
    "$bench" hunt "$site" --days "$days" --jobs "$jobs" --why "$why" >"$out/$name.hunt" 2>&1 || true
    broken=$(sed -nE 's/^[0-9]+ days on .*, ([0-9]+) with a rule broken$/\1/p' "$out/$name.hunt")
  fi
  score=$(sed -nE 's/^score on the standard days[^:]*: ([0-9.]+).*/\1/p' "$out/$name.score")
  gate=$(sed -nE 's/^GATE ([a-z]+).*/\1/p' "$out/$name.score")
  worth=$(awk '$1 ~ /^(trouble|scale)-/ && $2 ~ /\// { sum += $4; n++ } END { if (n) printf "%.3f", sum / n }' "$out/$name.score")
  echo "| $name | ${score:-not finished} | ${gate:-not judged} | ${worth:--} | $days | ${broken:-not finished} |"
done
