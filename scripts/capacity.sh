#!/usr/bin/env bash
# Measures what hosts spend on control at several sizes of a fleet.
# usage: capacity.sh NODES TARGETS WORKSPACES [SECONDS]
#
# Hosts are spread over three regions with three data centres each. All targets
# share four stand-in engines, so that the hosts' reports are answered.
set -euo pipefail
cd "$(dirname "$0")/.."
NODES=$1 TARGETS=$2 WORKSPACES=$3 SECONDS_MEASURED=${4:-30}
OUT=out/capacity
rm -rf "$OUT"
mkdir -p "$OUT"
. scripts/fleet.sh

run platform "$BIN/standin" platform --listen 127.0.0.1:21000
for i in 1 2 3 4; do
	run "engine-$i" "$BIN/standin" engine --listen "127.0.0.1:2110$i" --model answer --cold-time 1s
done
operators="" pids="" ready=()
for ((i = 0; i < NODES; i++)); do
	port=$((25000 + 3 * i)) centre=$((i % 9))
	cat >"$OUT/host-$i.ini" <<INI
[Host]
Name = host-$i
DataCentre = centre-$centre
Region = region-$((centre / 3))

[Listen]
Callers = 127.0.0.1:$port
Hosts = 127.0.0.1:$((port + 1))
Operators = 127.0.0.1:$((port + 2))

[Platform]
Address = 127.0.0.1:21000

[Keys]
Fleet = fleet-key
Operators = operators-key
CacheSecret = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
INI
	run "host-$i" "$BIN/hibiscusd" --settings "$OUT/host-$i.ini"
	ready+=("http://127.0.0.1:$((port + 2))/ready")
	operators="$operators,127.0.0.1:$((port + 2))"
	pids="$pids,${PIDS[-1]}"
done
{
	for ((i = 0; i < 9; i++)); do printf '[DataCentre centre-%d]\nRegion = region-%d\n' "$i" $((i / 3)); done
	printf '[Model answer]\nVersion = v1\n'
	for ((i = 0; i < TARGETS; i++)); do
		printf '[Target answer-%d]\nModel = answer\nDataCentre = centre-%d\nAddress = 127.0.0.1:2110%d\n' \
			"$i" $((i % 9)) $((i % 4 + 1))
	done
	for ((i = 0; i < WORKSPACES; i++)); do printf '[Workspace workspace-%d]\nKeyHash = %064x\n' "$i" "$i"; done
} >"$OUT/fleet.ini"
wait_urls "${ready[@]}"
"$BIN/hibiscusctl" --hosts "${operators#,}" --key operators-key --wait 120s apply "$OUT/fleet.ini"
sleep 25 # duties settle, targets turn warm in the reports
"$BIN/hibiscusload" --operators "${operators#,}" --key operators-key control --pids "${pids#,}" \
	--time "${SECONDS_MEASURED}s" --label "$NODES nodes, $TARGETS targets, $WORKSPACES workspaces"
