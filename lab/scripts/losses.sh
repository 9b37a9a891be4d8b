#!/usr/bin/env bash
# Tells where a day's worth was lost, from the text that the users' bench prints of one day:
#   lab/scripts/losses.sh REPORT...
# For each two seconds with a loss: its part of the whole day's worth, and how many requests were
# late, refused and failed. Then the prices. The parts and the rest add up to the whole loss.
set -euo pipefail
[ $# -gt 0 ] || { echo "usage: $0 REPORT..." >&2; exit 2; }
for report in "$@"; do
  [ -r "$report" ] || { echo "$report: cannot be read" >&2; exit 1; }
  echo "== $report"
  awk '
    /^worth /        { print; next }
    /^from second/   { windows = 1; next }
    /^$/             { windows = 0 }
    /^  -0\.0/       { if ($1 <= -0.0005) prices[++count] = $0; price -= $1 }
    windows          { asked[$1] = $2; late[$1] = $4; refused[$1] = $5; failed[$1] = $6; worth[$1] = $8; order[++n] = $1; all += $2 }
    END {
      for (i = 1; i <= n; i++) {
        second = order[i]
        lost = asked[second] * (1 - worth[second]) / all
        total += lost
        if (lost >= 0.0005)
          printf "  from %2d s: %.4f of the day (late %d, refused %d, failed %d)\n", second, lost, late[second], refused[second], failed[second]
      }
      printf "  all windows: %.4f\n", total
      for (i = 1; i <= count; i++) print prices[i]
      printf "  all prices: %.4f\n", price
    }' "$report"
done
