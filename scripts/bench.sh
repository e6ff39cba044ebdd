#!/usr/bin/env bash
# Runs the experiments and prints their table. Results and plots go to
# out/bench. Each run starts with fresh stand-ins; runs of one deployment get
# the same requests from the same seed.
# usage: [ONLY=PATTERN] bench.sh [REQUESTS] [RATE]
# ONLY chooses the runs whose names match.
set -euo pipefail
cd "$(dirname "$0")/.."
REQUESTS=${1:-600}
RATE=${2:-14}
RESULTS=out/bench
ONLY=${ONLY:-.}
mkdir -p "$RESULTS"

# experiment DEPLOYMENT ROUTE NAME [EVENTS]
experiment() (
	local deployment=$1 route=$2 name=$3 events=${4:-}
	[[ $name =~ $ONLY ]] || return 0
	local file=examples/kandyan.ini model=answer workspace=clerks key=clerks-key centres=(kurunegala negombo) region=lk-west
	if [ "$deployment" = Kypseli ]; then
		file=examples/kypseli.ini model=assistant workspace=walks key=walks-key centres=(athina pireas) region=attica
	fi
	OUT=out/bench-fleet
	rm -rf "$OUT"
	mkdir -p "$OUT"
	CACHE_BLOCKS=24
	STORE_FLAGS="--link 1000000000"
	. scripts/fleet.sh
	run platform "$BIN/standin" platform --listen 127.0.0.1:21000
	start_targets "$model"
	if [ "$route" = Fleet ]; then
		start_node 1 host-1 "${centres[0]}" "$region"
		start_node 2 host-2 "${centres[0]}" "$region"
		start_node 3 host-3 "${centres[1]}" "$region"
		wait_ready 1 2 3
		# The baselines know no shares, so the fleet gets none either.
		grep -v '^Share' "$file" >"$OUT/fleet.ini"
		"$BIN/hibiscusctl" --hosts 127.0.0.1:22102 --key operators-key apply "$OUT/fleet.ini" >"$OUT/apply.log"
	fi
	sleep 4 # engines turn warm, owners learn of it
	"$BIN/hibiscusload" --entries 127.0.0.1:22100,127.0.0.1:22200,127.0.0.1:22300 \
		--operators 127.0.0.1:22102,127.0.0.1:22202 --key operators-key \
		--engines 127.0.0.1:21101,127.0.0.1:21102,127.0.0.1:21103,127.0.0.1:21104 \
		--stores 127.0.0.1:21201,127.0.0.1:21202 \
		run --name "$name" --route "$route" --deployment "$deployment" --model "$model" --workspace "$workspace" \
		--caller-key "$key" --requests "$REQUESTS" --rate "$RATE" --platform 127.0.0.1:21000 \
		--events "$events" --folder "$RESULTS"
	if [ "$route" = Fleet ]; then
		for i in 1 2 3; do curl -fsS "http://127.0.0.1:22${i}02/debug/vars" >"$RESULTS/$name.host-$i.vars"; done
	fi
)

for deployment in Kandyan Kypseli; do
	for route in Random Hash Fleet; do
		experiment "$deployment" "$route" "$deployment-$route"
	done
done
experiment Kandyan Fleet Kandyan-out-and-back "0.3 out negombo, 0.6 back negombo"
experiment Kandyan Fleet Kandyan-slow-store "0.4 rate 50000000"
experiment Kypseli Fleet Kypseli-platform-down "0.3 platform Down, 0.7 platform Healthy"
experiment Kypseli Fleet Kypseli-cold-engine "0.5 cold 2"
"$BIN/hibiscusload" report --folder "$RESULTS"
