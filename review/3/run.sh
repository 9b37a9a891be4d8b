#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/release/hookpoint-node ]; then
  echo "build the program first, as deploy/system.toml says" >&2
  exit 2
fi
bash review/build.sh >/dev/null || exit 2
target/review/release/review-standin moved-route review/3/record.txt &
runner=$!
trap 'kill $(pgrep -P "$runner") "$runner" 2>/dev/null' INT TERM
wait "$runner"
