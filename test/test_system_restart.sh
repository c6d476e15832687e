#!/bin/sh
# All processes are killed and restarted at once: the time until callers are
# served.  A request that arrives before the version in force is confirmed must
# wait for it and not be told to retry.  Prints the milliseconds from the start
# of the last process to the response, for each entry.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

# The requirement is 600 ms at half of the entries and 1 s at all, from the
# start of the processes.  Sanitized ones need at least twice as long.
HALF_MS=600
ALL_MS=1000
[ -z "${DL_SANITIZED:-}" ] || { HALF_MS=2000 ALL_MS=4000; }

now_ms() {
	date +%s%3N
}

start_all
start_platform_endpoint w1 1 --service writer
start_platform_endpoint d1 3 --service desk --plain
wait_for 10 "the first configuration" put_config "$(config 5 4000 '"key-one"')" ||
	fail "no configuration is accepted"
for d in 1 2 3; do
	wait_for 5 "entry $d" book $d "before-$d" 200 -H "$KEY" ||
		fail "entry $d does not serve"
done

for d in 1 2 3; do
	kill -KILL "$(pid_of "replica_$d")" "$(pid_of "entry_$d")"
done
for d in 1 2 3; do
	wait "$(pid_of "replica_$d")" "$(pid_of "entry_$d")" 2>/dev/null
done
for d in 1 2 3; do
	start_process replica $d false
	start_process entry $d
done
begun=$(now_ms)
for d in 1 2 3; do
	{
		n=0
		until book $d "after-$d-$n" 200 -H "$KEY" >/dev/null 2>&1; do
			n=$((n + 1))
			[ $(($(now_ms) - begun)) -lt 5000 ] || break
		done
		echo $(($(now_ms) - begun)) >"$DIR/served.$d"
	} &
	record_pid "caller_$d" $!
done
for d in 1 2 3; do
	wait "$(pid_of "caller_$d")"
done
times=$(sort -n "$DIR"/served.? | tr '\n' ' ')
echo "served after ms: $times"
set -- $times
[ "$2" -le $HALF_MS ] || fail "half of the entries serve only after $2 ms"
[ "$3" -le $ALL_MS ] || fail "the last entry serves only after $3 ms"
