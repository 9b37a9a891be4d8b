#!/bin/sh
# Starts a platform, the databases of a deployment and one proxy a zone as processes of
# their own, rolls a bundle, and prints their addresses and process numbers. Everything
# ends with this script (Ctrl-C), and only what it has started.
#
#   lab/experiments/deployment.sh [DIRECTORY OF THE PROGRAMS] [NUMBER OF PROXIES] [WORKERS]
set -eu
programs=${1:-target/release}
proxies=${2:-1}
workers=${3:-1}
work=$(mktemp -d)
started=
finish() {
    for process in $started; do kill "$process" 2>/dev/null || true; done
    rm -rf "$work"
}
trap finish EXIT INT TERM

wait_for_line() {
    while [ ! -s "$1" ]; do sleep 0.1; done
}

"$programs/hookpoint-lab" platform > "$work/platform" 2> "$work/platform.log" &
started="$started $!"
"$programs/hookpoint-lab" database > "$work/database" 2> "$work/database.log" &
database=$!
started="$started $database"
wait_for_line "$work/platform"
wait_for_line "$work/database"
platform=$(sed 's/.*"url":"\([^"]*\)".*/\1/' "$work/platform")
"$programs/hookpoint" key generate > "$work/key"
"$programs/hookpoint" key public --key "$work/key" > "$work/public"
public=$(awk "NR == 1 {print \$NF}" "$work/public")

# One object a database: group, database, zone, url.
tr '{' '\n' < "$work/database" | sed -n \
    's|.*"group":"\([^"]*\)","database":"\([^"]*\)","zone":"\([^"]*\)","url":"postgresql://\([^@]*\)@\([^/]*\)/.*|\1 \2 \3 \4 \5|p' \
    > "$work/databases"
{
    echo 'description = "deployment"'
    echo '[zones]'
    awk '{print $3}' "$work/databases" | sort -u | sed 's/.*/& = "region"/'
    awk '!seen[$1]++ {printf "[groups.%s]\ndatabase = \"%s\"\nuser = \"%s\"\n", $1, $1, $4}' "$work/databases"
    awk '{printf "[databases.%s]\ngroup = \"%s\"\nzone = \"%s\"\naddress = \"%s\"\nslots = 5\n", $2, $1, $3, $5}' "$work/databases"
} > "$work/bundle.toml"

secret=0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
zones=$(awk '{print $3}' "$work/databases" | sort -u | head -n "$proxies")
for zone in $zones; do
    cat > "$work/$zone.toml" <<SETTINGS
[node]
zone = "$zone"
region = "region"
[callers]
workers = $workers
[backends]
workers = $workers
[tokens]
keys = ["$secret"]
[peers]
keys = ["$secret"]
[platform]
urls = ["$platform"]
[bundles]
trusted_keys = ["$public"]
SETTINGS
    "$programs/hookpoint" proxy --settings "$work/$zone.toml" \
        > "$work/$zone.out" 2> "$work/$zone.log" &
    process=$!
    started="$started $process"
    wait_for_line "$work/$zone.out"
    echo "proxy process $process $(cat "$work/$zone.out")"
done
"$programs/hookpoint" bundle --platform "$platform" prepare "$work/bundle.toml"
"$programs/hookpoint" bundle --platform "$platform" approve --key "$work/key" 1
"$programs/hookpoint" bundle --platform "$platform" roll 1
echo "databases process $database"
cat "$work/databases"
echo "ready; logs in $work"
wait
