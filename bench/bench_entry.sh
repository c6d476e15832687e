#!/bin/sh
# Cost of one entry, and the time until it detects faults, on the real binary.
# Prints lines "name<TAB>value<TAB>unit".  The emulated endpoints run on the
# same machine, so rates are per second of the entry's own processor time.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
STREAMS=1000
exec 3>&1 1>&2

figure() { # NAME VALUE UNIT
	printf '%s\t%s\t%s\n' "$1" "$2" "$3" >&3
}

cpu_ticks() { # PID
	sed 's/.*) //' "/proc/$1/stat" | awk '{ print $12 + $13 }'
}

rss_kb() { # PID
	awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}

# Write a class file of one class: one_class NAME MEMBERS
one_class() {
	printf '{"workspaces":["almaty-counter"],"classes":[{%s}]}\n' "$2" \
		>"$DIR/class-$1.json"
	echo "$DIR/class-$1.json"
}

p50_total() { # RESULTS
	awk '$7 == "done" { print $10 }' "$1" | sort -n |
		awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'
}

done_count() { # RESULTS
	awk '$7 == "done"' "$1" | wc -l
}

load_one() { # RESULTS CLASSES SECONDS [OPTION...]
	out=$1 classes=$2 seconds=$3
	shift 3
	test/tool_load --entries "$(vm_address 1 1):$HTTP_PORT" --quiet \
		--classes "$classes" --seconds "$seconds" --out "$out" "$@" \
		2>>"$DIR/load.faults"
}

bench_overhead() {
	c=$(one_class short '"name":"ping","class":"ping","plain":true,
		"service":"'$PLAIN_SERVICE'","path":"/availability",
		"rate":100,"deadline_ms":2000')
	load_one "$DIR/through" "$c" 5 &
	record_pid load $!
	test/tool_load --direct --entries "$(endpoint_address 4)" --quiet \
		--classes "$c" --seconds 5 --out "$DIR/direct" \
		2>>"$DIR/load.faults"
	wait "$(pid_of load)"
	figure entry_overhead_ratio "$(awk -v a="$(p50_total "$DIR/through")" \
		-v b="$(p50_total "$DIR/direct")" \
		'BEGIN { printf "%.2f", a / b }')" ratio
}

# Work per second of the entry's processor time.
per_cpu_second() { # WORK TICKS
	awk -v w="$1" -v t="$2" -v hz="$(getconf CLK_TCK)" \
		'BEGIN { printf "%.0f", t ? w * hz / t : 0 }'
}

bench_rps() {
	c=$(one_class rps '"name":"ping","class":"ping","plain":true,
		"service":"'$PLAIN_SERVICE'","path":"/availability",
		"rate":800,"deadline_ms":2000')
	before=$(cpu_ticks "$ENTRY")
	load_one "$DIR/rps" "$c" 4
	after=$(cpu_ticks "$ENTRY")
	figure entry_rps "$(per_cpu_second "$(done_count "$DIR/rps")" \
		$((after - before)))" requests/cpu-s
}

bench_relay() {
	c=$(one_class tokens '"name":"counter","class":"counter",
		"tokens_min":100,"tokens_max":200,"max_tokens":100,"rate":80,
		"deadline_ms":15000')
	before=$(cpu_ticks "$ENTRY")
	load_one "$DIR/tokens" "$c" 3
	after=$(cpu_ticks "$ENTRY")
	figure relay_tokens_per_s "$(per_cpu_second \
		$(($(done_count "$DIR/tokens") * 100)) \
		$((after - before)))" tokens/cpu-s
}

bench_memory() {
	idle=$(rss_kb "$ENTRY")
	figure entry_rss_mb_idle $((idle / 1024)) MB
	c=$(one_class open '"name":"counter","class":"counter",
		"tokens_min":100,"tokens_max":200,"max_tokens":40,
		"rate":'$((STREAMS / 2))',"deadline_ms":30000')
	load_one "$DIR/open" "$c" 2.2 &
	record_pid load $!
	sleep 3.5
	busy=$(rss_kb "$ENTRY")
	wait "$(pid_of load)"
	figure entry_rss_mb_streams $((busy / 1024)) MB
	figure rss_per_stream_kb "$(awk -v n="$(done_count "$DIR/open")" \
		-v d=$((busy - idle)) \
		'BEGIN { printf "%.1f", n ? d / n : 0 }')" KB
}

# Streams that stall midway, compared with undisturbed ones.
bench_silence() {
	c=$(one_class one '"name":"counter","class":"counter",
		"tokens_min":100,"tokens_max":200,"max_tokens":40,"rate":4,
		"deadline_ms":30000')
	load_one "$DIR/smooth" "$c" 1
	for i in 1 2 3; do
		inject_fault $i silent-midstream 1
	done
	load_one "$DIR/silent" "$c" 1
	figure silent_detect_ms "$(awk -v p50="$(p50_total "$DIR/smooth")" \
		'$10 > max { max = $10 }
		END { printf "%.0f", max - p50 }' "$DIR/silent")" ms
}

bench_failover() {
	inject_fault 1 die-first 1
	inject_fault 2 die-first 1
	load_one "$DIR/failover" "$c" 2
	not_running "$(pid_of endpoint_1)" || fail "the fault was not triggered"
	figure failover_ttft_ms "$(awk '$7 == "done" && $9 > max { max = $9 }
		END { printf "%.0f", max }' "$DIR/failover")" ms
	start_runner 1
	start_runner 2
	wait_for 5 runners $DL_HTTP "$(endpoint_address 2)" /v1/load
	sleep 1
}

# A runner leaves under load; then the entry stops with streams in flight.
bench_stops() {
	c=$(one_class drain '"name":"counter","class":"counter",
		"tokens_min":100,"tokens_max":500,"max_tokens":30,"rate":60,
		"deadline_ms":10000')
	( sleep 0.5; kill -TERM "$(pid_of endpoint_1)" ) &
	record_pid stop_runner $!
	test/tool_load --entries "$ENTRIES" --quiet --classes "$c" \
		--seconds 4 --out "$DIR/drain" 2>>"$DIR/load.faults"
	[ "$(grep -c '^L' "$RECORD")" -eq 1 ] || fail "the runner did not announce that it is leaving"
	figure drain_ms "$(awk '$1 ~ /[BX]/ && $8 > max { max = $8 }
		END { printf "%d", max }' "$RECORD")" ms
	c=$(one_class stop '"name":"counter","class":"counter",
		"tokens_min":100,"tokens_max":500,"max_tokens":60,"rate":200,
		"deadline_ms":20000')
	load_one "$DIR/stop" "$c" 1 &
	record_pid load $!
	sleep 1.2
	kill -TERM "$ENTRY"
	wait "$(pid_of load)"
	figure stop_cut_streams "$(grep -c ' nothing ' "$DIR/stop")" streams
}

test_begin dala
DL_RUNNER_OPTIONS="--slots 2000 --decode-rate 20"
deploy_start || exit 1
ENTRY=$(pid_of entry_1_1)
kill -KILL "$(pid_of endpoint_4)"
start_plain 4 --service-ms 0
sleep 1
bench_memory
bench_overhead
bench_rps
bench_relay
bench_silence
bench_failover
bench_stops
deploy_stop
DL_FIGURES=1 sh test/test_system_random.sh >&3
