# Starts a small fleet of plain processes on loopback, for the demo and the
# experiments. Source it; it stops what it started when the shell ends.
#
# Ports: 21000 platform, 211xx engines, 212xx stores, 213xx services,
# 214xx weights, 22i00 callers, 22i01 hosts and 22i02 operators of host i.

BIN=${BIN:-bin}
OUT=${OUT:-out/fleet}
PIDS=()
declare -A NODE_PID

stop_fleet() {
	for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_fleet EXIT

# run NAME COMMAND... starts a process that logs to OUT/NAME.log.
run() {
	local name=$1
	shift
	"$@" >"$OUT/$name.log" 2>&1 &
	PIDS+=($!)
}

# node_settings INDEX NAME DATA_CENTRE REGION writes a host's settings.
node_settings() {
	cat >"$OUT/$2.ini" <<INI
[Host]
Name = $2
DataCentre = $3
Region = $4

[Listen]
Callers = 127.0.0.1:22${1}00
Hosts = 127.0.0.1:22${1}01
Operators = 127.0.0.1:22${1}02

[Platform]
Address = 127.0.0.1:21000

[Keys]
Fleet = fleet-key
Operators = operators-key
CacheSecret = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff

[Log]
Level = ${LOG_LEVEL:-info}

[Limits]
AddressTTL = ${ADDRESS_TTL:-2s}
INI
}

# start_node INDEX NAME DATA_CENTRE REGION starts a host.
start_node() {
	node_settings "$@"
	run "$2" "$BIN/hibiscusd" --settings "$OUT/$2.ini"
	NODE_PID[$2]=$!
}

# wait_urls URL... waits until all of them answer well, for up to a minute.
wait_urls() {
	local tries=0 url
	for url in "$@"; do
		until curl -fsS -o /dev/null "$url" 2>/dev/null; do
			tries=$((tries + 1))
			if [ "$tries" -gt 600 ]; then
				echo "$url does not answer" >&2
				return 1
			fi
			sleep 0.1
		done
	done
}

# wait_ready INDEX... waits until the hosts are ready.
wait_ready() {
	local i
	for i in "$@"; do wait_urls "http://127.0.0.1:22${i}02/ready"; done
}

# start_targets MODEL starts four engines, two stores, a service and the
# weight store.
start_targets() {
	local model=$1
	run weights "$BIN/standin" weights --listen 127.0.0.1:21401
	for i in 1 2 3 4; do
		run "engine-$i" "$BIN/standin" engine --listen "127.0.0.1:2110$i" --model "$model" \
			--weight-store 127.0.0.1:21401 --cache "${CACHE_BLOCKS:-24}" ${ENGINE_FLAGS:-}
	done
	for i in 1 2; do
		run "store-$i" "$BIN/standin" store --listen "127.0.0.1:2120$i" ${STORE_FLAGS:-}
	done
	run service "$BIN/standin" service --listen 127.0.0.1:21301
}
