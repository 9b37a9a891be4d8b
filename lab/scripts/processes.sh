#!/usr/bin/env bash
# A fleet of processes of their own, before the laboratory's stand-ins: what
# docs/OPERATIONS.md says to do by hand, from wrong settings to a second signal. Prints
# what it saw. Ends with 0 when each step went as it should, and with 1 at the first
# that did not. Every wait is bounded, and what was started is stopped.
#
#   cargo build --release --locked -p hookpoint -p hookpoint-lab
#   lab/scripts/processes.sh [DIRECTORY OF THE BINARIES]
#
# Needs psql and curl.
set -Eeuo pipefail
cd "$(dirname "$0")/../.."

binaries="$(cd "${1:-target/release}" && pwd)"
hookpoint="$binaries/hookpoint"
laboratory="$binaries/hookpoint-lab"
work="$(mktemp -d)"
declare -A pids=()

finish() {
  set +e
  for name in "${!pids[@]}"; do
    { kill -KILL "${pids[$name]}" && wait "${pids[$name]}"; } 2>/dev/null
  done
  rm -rf "$work"
}
trap finish EXIT
trap 'echo "FAILED: the command at line $LINENO" >&2' ERR

fail() {
  echo "FAILED: $*" >&2
  tail -n 5 "$work"/*.log >&2 || true
  exit 1
}

step() {
  echo "== $*"
}

# Starts a process in the background under a name; its first line goes to NAME.json.
launch() {
  local name="$1"
  shift
  : >"$work/$name.json"
  "$@" >"$work/$name.json" 2>"$work/$name.log" &
  pids[$name]=$!
  for _ in $(seq 200); do
    [ -s "$work/$name.json" ] && return 0
    kill -0 "${pids[$name]}" 2>/dev/null || fail "$name did not start"
    sleep 0.1
  done
  fail "$name said nothing"
}

# Starts a proxy with the settings of a zone.
proxy() {
  local name="$1" zone="$2"
  shift 2
  launch "$name" "$hookpoint" proxy --settings "$work/$zone.toml" "$@"
  echo "$name: node $(field "$name" node) in $zone"
}

# The value of a field in the first line of a process.
field() {
  sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$work/$1.json" | head -n 1
}

# Repeats a command until its output holds a text.
until_says() {
  local text="$1" output=""
  shift
  for _ in $(seq 150); do
    output="$("$@" 2>&1 || true)"
    case "$output" in *"$text"*) return 0 ;; esac
    sleep 0.2
  done
  fail "'$*' never said '$text', but: $output"
}

# Runs a command that has to end with a code and say a text.
expect() {
  local expected="$1" text="$2" output="" code=0
  shift 2
  output="$("$@" 2>&1)" || code=$?
  [ "$code" -eq "$expected" ] || fail "'$*' ended with $code and not with $expected: $output"
  case "$output" in *"$text"*) ;; *) fail "'$*' did not say '$text', but: $output" ;; esac
  case "$output" in *"panicked"* | *"stack backtrace"*) fail "'$*' shows its inside: $output" ;; esac
  echo "  $code: $(head -n 1 <<<"$output" | sed "s#$work/##g")"
}

# Waits for a process that has to end with a code within 30 seconds.
expect_exit() {
  local name="$1" expected="$2" code=0
  for _ in $(seq 300); do
    kill -0 "${pids[$name]}" 2>/dev/null || break
    sleep 0.1
  done
  kill -0 "${pids[$name]}" 2>/dev/null && fail "$name did not end"
  wait "${pids[$name]}" 2>/dev/null || code=$?
  unset "pids[$name]"
  [ "$code" -eq "$expected" ] || fail "$name ended with $code and not with $expected"
  echo "$name: ended with $code"
}

kill_now() {
  { kill -KILL "${pids[$1]}" && wait "${pids[$1]}"; } 2>/dev/null || true
  unset "pids[$1]"
}

# Statements in a session of its own through a proxy; a token may follow.
query() {
  local address
  address="$(field "$1" callers)"
  PGOPTIONS="${3:+-c hookpoint.token=$3}" timeout 30 psql -X -q -A -t -v ON_ERROR_STOP=1 \
    "host=${address%:*} port=${address##*:} user=clinic dbname=mensajes-1 connect_timeout=10" <<<"$2"
}

load() {
  local output
  output="$(timeout 60 "$laboratory" load --address "$(field "$1" callers)" --database mensajes-1 \
    --user clinic --mix reads --deployment costa-rica --sessions 5 --seconds 2)"
  output="$(head -n 1 <<<"$output")"
  echo "$1: $output"
  case "$output" in *", 0 failed"*) ;; *) fail "requests failed" ;; esac
}

health() {
  curl -s -m 10 -w ' %{http_code}' "http://$(field "$1" admin)/health"
}

metrics() {
  curl -s -m 10 "http://$(field "$1" admin)/metrics"
}

status() {
  "$hookpoint" fleet status --admin "http://$(field "$1" admin)"
}

explain() {
  "$hookpoint" explain --admin "http://$(field "$1" admin)"
}

settings() {
  cat >"$work/$1.toml" <<EOF
[node]
zone = "$1"
region = "$2"
[peers]
keys = ["000102030405060708090a0b0c0d0e0f"]
[tokens]
keys = ["0f0e0d0c0b0a09080706050403020100"]
[platform]
urls = ["$platform"]
[bundles]
trusted_keys = ["$public"]
EOF
  expect 0 "good settings" "$hookpoint" settings check "$work/$1.toml"
}

# A bundle of the databases that the stand-in has printed, one object an entry.
bundle() {
  echo "description = \"$1\""
  echo "zones = { sj-sala-a = \"san-jose\", al-sala-b = \"alajuela\", lb-sala-c = \"liberia\" }"
  tr '{' '\n' <"$work/database.json" |
    sed -n 's/.*"group":"\([^"]*\)","database":"\([^"]*\)","zone":"\([^"]*\)","url":"postgresql:\/\/\([^@]*\)@\([^/]*\)\/.*/\1 \2 \3 \4 \5/p' |
    while read -r group database zone user address; do
      echo "groups.$group.database = \"$group\""
      echo "groups.$group.user = \"$user\""
      echo "databases.$database = { group = \"$group\", zone = \"$zone\", address = \"$address\", slots = 5 }"
    done | awk '!seen[$0]++'
}

# Bundle commands with the settings of the first proxy.
bundles() {
  "$hookpoint" bundle --settings "$work/sj-sala-a.toml" --timeout 10 "$@"
}

# Checks, prepares and approves a bundle; tells its version.
prepared() {
  local version
  bundle "$1" >"$work/bundle.toml"
  "$hookpoint" bundle check "$work/bundle.toml" >/dev/null
  version="$(bundles prepare "$work/bundle.toml" | awk '{print $3}')"
  bundles approve --key "$work/operator.key" "$version" >/dev/null
  echo "$version"
}

step "the command line says what is wrong"
expect 0 "SUBCOMMANDS" "$hookpoint" --help
expect 0 "hookpoint " "$hookpoint" version
expect 2 "hookpoint: subcommand is required" "$hookpoint"
expect 2 "hookpoint: flag is required: \`--settings\`" timeout 10 "$hookpoint" proxy
expect 1 "nowhere.toml: No such file" timeout 10 "$hookpoint" proxy --settings "$work/nowhere.toml"
expect 1 "\`elsewhere\` is no URL" "$hookpoint" bundle --platform elsewhere status
expect 1 "\`elsewhere\` is no URL" "$hookpoint" fleet status --admin elsewhere
expect 1 "Connection refused" "$hookpoint" explain --admin http://127.0.0.1:1

step "wrong settings name file, line, key and reason"
printf '[node]\nzone = "a"\nregion = "b"\n[callers]\nworker = 2\n' >"$work/wrong.toml"
expect 2 "wrong.toml: line 5: callers.worker: unknown field" "$hookpoint" settings check "$work/wrong.toml"
printf '[node]\nzone = "a"\nregion = "b"\n[callers]\nlisten = "0.0.0.0:0"\n' >"$work/open.toml"
expect 2 "open.toml: line 5: callers.listen: without passwords or verifiers only loopback" \
  timeout 10 "$hookpoint" proxy --settings "$work/open.toml"
printf '[node]\nzone = "a"\nregion = "b"\n[peers]\nlisten = "192.0.2.1:0"\n' >"$work/peers.toml"
expect 2 "peers.toml: line 5: peers.listen: without fleet keys only loopback" \
  timeout 10 "$hookpoint" proxy --settings "$work/peers.toml"

step "three proxies start, and wait for a bundle"
launch platform "$laboratory" platform
launch database "$laboratory" database
platform="$(field platform url)"
"$hookpoint" key generate >"$work/operator.key"
"$hookpoint" key generate >"$work/stranger.key"
public="$(awk '/^public/ {print $2}' "$work/operator.key")"
settings sj-sala-a san-jose
settings al-sala-b alajuela
settings lb-sala-c liberia
proxy first sj-sala-a
seed="$(field first peers)"
proxy second al-sala-b --seed "$seed"
proxy third lb-sala-c --seed "$seed"
until_says "newest bundle 0; 3 nodes" status first
until_says " 503" health second
expect 3 "hookpoint.outcome=not_run hookpoint.reason=no_bundle" query first "select 1"

step "a bundle is rolled once a trusted operator has signed it"
bundle "first bundle" >"$work/bundle.toml"
expect 0 "good bundle with 3 zones, 3 groups and 9 databases" "$hookpoint" bundle check "$work/bundle.toml"
expect 0 "prepared version 1" bundles prepare "$work/bundle.toml"
expect 1 "not signed" bundles roll --seen 0 1
expect 0 "approvals 1" bundles approve --key "$work/stranger.key" 1
expect 1 "not signed by a trusted key" bundles roll --seen 0 1
expect 0 "approvals 2" bundles approve --key "$work/operator.key" 1
expect 0 "rolled version 1 after version 0" bundles roll --seen 0 1
until_says "newest bundle 1; 3 nodes; 0 not yet there" status first
until_says " 200" health second
until_says "hookpoint_bundle_version 1" metrics third

step "two operators roll at once: one wins, the other is told"
left="$(prepared "left")"
right="$(prepared "right")"
bundles --operator ana roll --seen 1 "$left" >"$work/left" 2>&1 & ana=$!
bundles --operator ben roll --seen 1 "$right" >"$work/right" 2>&1 & ben=$!
left_code=0
right_code=0
wait "$ana" || left_code=$?
wait "$ben" || right_code=$?
cat "$work/left" "$work/right"
case "$left_code $right_code" in
  "0 3") winner="$left" loser="$work/right" ;;
  "3 0") winner="$right" loser="$work/left" ;;
  *) fail "the rolls ended with $left_code and $right_code" ;;
esac
grep -q "conflict: version $winner was rolled by .* nothing was changed" "$loser" || fail "no clear conflict"
until_says "newest bundle $winner; 3 nodes; 0 not yet there" status third
expect 3 "nothing was changed" bundles roll --seen 1 "$right"
[ "$(bundles history | wc -l)" -eq 2 ] || fail "the history is not two versions long"

step "requests flow, and explain themselves"
[ "$(query first "select 41 + 1")" = 42 ] || fail "psql got a wrong answer"
token="$(query first "insert into messages (session, sequence, attempt, kind, body)
  values (77, 1, 'by hand', 'text', 'hola');
  show hookpoint.token;")"
[ -n "$token" ] || fail "no token"
for reader in second third; do
  read_back="$(query "$reader" "select body from messages where session = 77" "$token")"
  [ "$read_back" = hola ] || fail "the write was not seen through the $reader: $read_back"
done
echo "a write through the first was read through the others with its token"
expect 2 "there is no database group" env PGCONNECT_TIMEOUT=10 psql -X -c "select 1" \
  "host=127.0.0.1 port=$(field first callers | sed 's/.*://') user=clinic dbname=nowhere"
load second
until_says " routed " explain second
until_says 'hookpoint_decisions_total{' metrics second

step "the third is killed"
kill_now third
until_says "dead zone lb-sala-c" status first
status first
load first

step "the third starts again while the platform does not answer"
kill -STOP "${pids[platform]}"
proxy third lb-sala-c --seed "$seed"
until_says "alive zone lb-sala-c region liberia address $(field third peers) bundle $winner" status first
until_says " 200" health third
[ "$(query third "select 41 + 1")" = 42 ] || fail "psql got a wrong answer"
load third
expect 5 "nothing was changed" "$hookpoint" bundle --platform "$platform" --timeout 2 status
kill -CONT "${pids[platform]}"
version="$(prepared "after the outage")"
expect 0 "rolled version $version" bundles roll --seen "$winner" "$version"
until_says "newest bundle $version; 3 nodes; 0 not yet there" status third

step "the second is stopped with a request in flight"
query second "select pg_sleep(2), 42" >"$work/in_flight" 2>"$work/farewell" & in_flight=$!
sleep 0.5
kill -TERM "${pids[second]}"
until_says " 503" health second
wait "$in_flight" || fail "the request in flight was cut off: $(cat "$work/in_flight")"
[ "$(cat "$work/in_flight")" = "|42" ] || fail "the request in flight got: $(cat "$work/in_flight")"
echo "the request in flight was answered, and then: $(head -n 1 "$work/farewell")"
expect_exit second 0
until_says "dead zone al-sala-b" status first
load first

step "the platform is killed, and the first goes on"
kill_now platform
[ "$(query first "select 41 + 1")" = 42 ] || fail "psql got a wrong answer"
expect 5 "nothing was changed" "$hookpoint" bundle --platform "$platform" --timeout 2 status

step "the first is stopped by two signals"
query first "select pg_sleep(20)" >/dev/null 2>&1 & sleeper=$!
sleep 0.5
kill -TERM "${pids[first]}"
sleep 0.2
kill -TERM "${pids[first]}"
expect_exit first 130
wait "$sleeper" && fail "a statement outlived its proxy"
kill -INT "${pids[third]}"
expect_exit third 0

step "the logs"
bad="$(grep -hvE '^[0-9T:.-]+Z (ERROR|WARN|INFO|DEBUG) [a-z]+: .*\.$' "$work"/{first,second,third}.log || true)"
[ -z "$bad" ] || fail "lines without a prefix or full stop: $bad"
grep -hE ' (ERROR|WARN) ' "$work"/{first,second,third}.log | sed 's/^/  /' | head -n 10 || true

echo "processes: every step went as it should, in $SECONDS s"
