#!/usr/bin/env bash
# Runs the whole path as plain processes on loopback and prints what happened.
# The exit status is not zero if a count is wrong.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=out/demo
rm -rf "$OUT"
mkdir -p "$OUT"
. scripts/fleet.sh

echo "== starting the platform, targets and three nodes"
run platform "$BIN/standin" platform --listen 127.0.0.1:21000
start_targets answer
start_node 1 host-1 kurunegala lk-west
start_node 2 host-2 kurunegala lk-west
start_node 3 host-3 negombo lk-west
wait_ready 1 2 3

ctl() { "$BIN/hibiscusctl" --hosts 127.0.0.1:22102,127.0.0.1:22202 --key operators-key --author demo "$@"; }
echo "== the declaration"
"$BIN/hibiscusctl" check examples/kypseli.ini
"$BIN/hibiscusctl" check examples/kandyan.ini
ctl apply examples/kandyan.ini
ctl exceptions

echo "== the demo"
"$BIN/hibiscusload" demo --entries 127.0.0.1:22100,127.0.0.1:22200,127.0.0.1:22300 \
	--operators 127.0.0.1:22102,127.0.0.1:22202 --key operators-key \
	--engines 127.0.0.1:21101,127.0.0.1:21102,127.0.0.1:21103,127.0.0.1:21104 \
	--stores 127.0.0.1:21201,127.0.0.1:21202 --service 127.0.0.1:21301 --weights 127.0.0.1:21401 \
	--stop-pid "${NODE_PID[host-3]}"
