#!/usr/bin/env bash
# Measures what orders that may not repeat cost the platform, at several rates.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=out/orders
rm -rf "$OUT"
mkdir -p "$OUT"
. scripts/fleet.sh
run platform "$BIN/standin" platform --listen 127.0.0.1:21000 --latency 4ms
start_targets answer
start_node 1 host-1 kurunegala lk-west
start_node 2 host-2 kurunegala lk-west
start_node 3 host-3 negombo lk-west
wait_ready 1 2 3
"$BIN/hibiscusctl" --hosts 127.0.0.1:22102 --key operators-key apply examples/kandyan.ini
sleep 4
for rate in 5 20 50 100 210; do
	"$BIN/hibiscusload" --entries 127.0.0.1:22100,127.0.0.1:22200,127.0.0.1:22300 --service 127.0.0.1:21301 \
		orders --platform 127.0.0.1:21000 --rate "$rate" --requests $((rate * 15))
done
