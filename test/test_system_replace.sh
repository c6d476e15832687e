#!/bin/sh
# Half of a pool of ten engines is replaced, one at a time.  The replaced
# engines leave without advance notice and keep serving.  No stream may be
# refused or reach an engine that left, and no such engine may be granted 0.2 s
# after the VMs have learned that it is leaving.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

start_all
for n in 0 1 2 3 4 5 6 7 8 9; do
	start_platform_endpoint "old-$n" 1$n --service writer --abrupt
done
wait_for 10 "the first configuration" put_config "$(config 5 5000 '"key-one"')" ||
	fail "the first configuration is not accepted"
for d in 1 2 3; do
	for n in 0 1 2 3 4 5 6 7 8 9; do
		wait_for 10 "engine $n" grep -q "instance=old-$n" \
			"$DIR/entry-$d.log" || fail "engine $n is not known"
	done
	wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
done
wait_for 5 "a first stream" chat 1 first >/dev/null ||
	fail "no stream is served"

# Streams through all three entries, so that for at least two of them the
# dispatcher is another VM.
run_streams() { # NAME N
	for k in 1 2 3 4 5 6; do
		chat $((k % 3 + 1)) "$1-$k" >"$DIR/stream.$1-$k" &
		record_pid "chat_$2_$k" $!
	done
	for k in 1 2 3 4 5 6; do
		wait "$(pid_of "chat_$2_$k")" || fail "stream $1-$k is refused"
		stream_is_complete "$DIR/stream.$1-$k" || fail "stream $1-$k is not complete"
	done
}

for n in 0 1 2 3 4; do
	start_platform_endpoint "new-$n" 2$n --service writer --abrupt
	kill -USR1 "$(pid_of "runner_old_$n")"
	for d in 1 2 3; do
		wait_for 3 "the leaving of engine $n" grep -q "leaves.*instance=old-$n" \
			"$DIR/entry-$d.log" ||
			fail "VM $d does not know that engine $n is leaving"
	done
	sleep 0.2
	run_streams "after-$n" "$n"
	for left in 0 1 2 3 4; do
		[ $left -gt $n ] ||
			! grep "^old-$left after-$n-" "$RECORD" ||
			fail "an engine that left got a stream"
	done
done
wait_for 3 "the log line of every stream" sh -c \
	"[ \$(cat '$DIR'/entry-*.log | grep -c attempt=after-) = 30 ]" ||
	fail "not every stream was logged"
grep -h "attempt=after-" "$DIR"/entry-*.log |
	grep -v 'tries=1 sent=1 ' && fail "an engine that left was granted"
exit 0
