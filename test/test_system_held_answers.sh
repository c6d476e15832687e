#!/bin/sh
# Guards against a VM that runs out of memory for answers whose callers read slowly:
# bodies without end, and many large ones at a time.  Other requests at the VM are
# served meanwhile, or refused, and none is lost.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

CALLERS=${DL_HELD_CALLERS:-48}
METRICS_PORT=9901
STALL_MS=5000
# Of a VM of the platform.
RSS_MAX_KB=266240
[ -z "${DL_SANITIZED:-}" ] || RSS_MAX_KB=1500000

metrics_address() { # D
	echo "127.$NET.$1.1:$METRICS_PORT"
}

# As in platform_deploy.sh, with the limit of deploy/entry.json.in.
start_process() { # ROLE D FOUND
	write_platform_settings "$@"
	[ "$1" = replica ] ||
		sed -i "s/\"foreign\":true,/&\"buffer_mb\":64,\"metrics\":\"$(metrics_address $2)\",/" \
			"$DIR/$1-$2.json"
	DAISYLEDGE_SETTINGS="$DIR/$1-$2.json" "$DL_BIN" "$1" \
		>>"$DIR/$1-$2.log" 2>&1 &
	record_pid "$1_$2" $!
}

peak_kb() {
	awk '/^VmHWM/ { print $2 }' "/proc/$(pid_of entry_1)/status"
}

# Callers that read nothing for a while, then disconnect.
start_stalled() { # PATH OPTION...
	path=$1
	shift
	i=0
	while [ $i -lt "$CALLERS" ]; do
		i=$((i + 1))
		$DL_HTTP --stall $STALL_MS -H "$HOST" -H "$KEY" \
			-H "Daisyledge-Attempt-Id: stalled-$row-$i" "$@" \
			"$(entry_address 1)" "$path" >/dev/null 2>&1 &
		record_pid stalled_$row_$i $!
	done
}

# Each request meanwhile gets an answer: whole, or a refusal.
check_others() {
	n=0
	while [ $n -lt 10 ]; do
		n=$((n + 1))
		chat 1 "other-$row-$n" >"$DIR/other"
		rc=$?
		if [ $rc -eq 0 ] && stream_is_complete "$DIR/other"; then
			served=$((served + 1))
		elif grep -q '"reason":"busy"' "$DIR/other"; then
			refused=$((refused + 1))
		else
			fail "row $row: a stream is not complete: exit $rc"
		fi
		sleep 0.2
	done
}

# Of an answer that has ended, no more than waits for a caller that reads slowly.
little_is_held() {
	held=$(metric "$(metrics_address 1)" answer_bytes)
	[ -n "$held" ] && [ "$held" -le $((CALLERS * 262144)) ]
}

# Callers that read at a rate get all of their answers.
check_readers() { # HOW_MANY
	i=0 failed=0
	while [ $i -lt "$1" ]; do
		i=$((i + 1))
		$DL_HTTP --rate 4000000 -H "$HOST" -H "$KEY" \
			-H "Daisyledge-Attempt-Id: reader-$i" "$(entry_address 1)" \
			/look/long-200-8000000-8000000-r$i >"$DIR/reader-$i" 2>&1 &
		record_pid reader_$i $!
	done
	i=0
	while [ $i -lt "$1" ]; do
		i=$((i + 1))
		wait "$(pid_of reader_$i)" || failed=$((failed + 1))
	done
	echo "$1 callers that read, $failed without the whole answer"
	[ $failed -eq 0 ] || fail "large answers are not whole"
}

check_row() { # NAME PATH OPTION...
	name=$1 path=$2
	shift 2
	row=$((row + 1)) served=0 refused=0
	echo 5 >"/proc/$(pid_of entry_1)/clear_refs" # the peak begins anew
	start_stalled "$path" "$@"
	sleep 1
	check_others
	sleep 2
	echo "$name: peak $(peak_kb) kB; others: $served served, $refused refused"
	not_running "$(pid_of entry_1)" && fail "$name: the VM has ended"
	[ "$(peak_kb)" -le $RSS_MAX_KB ] ||
		wrong="$wrong $name: $(peak_kb) kB;"
	sleep 1
}

start_all
wait_for 10 "the first configuration" put_config \
	"$(config 5 5000 '"key-one"' | sed 's/"timeout_ms":2000/"timeout_ms":6000/g')" ||
	fail "the first configuration is not accepted"
for d in 1 2 3; do
	wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
done
start_platform_endpoint w1 11 --service writer
start_platform_endpoint large 12 --service desk --plain --endings "$DIR"
wait_endpoints_known w1 large
row=0 wrong=
check_row "large" /look/long-200-8000000-8000000-x
check_row "large, chunks" /book/long-200-8000000-8000000-x -X POST -d x
check_readers 16
retire runner_large
start_platform_endpoint endless 13 --service desk --plain --endless body --endless-fast
wait_endpoints_known endless
check_row "endless, once" /book/x -X POST -d x
check_row "endless" /look/x
# Callers that stay: the answers end at their deadlines.
STALL_MS=40000
check_row "endless, callers stay" /look/x
wait_for 4 "the end of the answers" little_is_held ||
	fail "$held bytes of answers that ended are held"
[ -z "$wrong" ] || fail "more memory than $RSS_MAX_KB kB:$wrong"
