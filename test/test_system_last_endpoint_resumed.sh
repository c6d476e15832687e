#!/bin/sh
# A VM is suspended and cut off from all others while the only endpoint of a service
# leaves, so that no report of it is in its sockets. Callers wait at the VM until
# it resumes and has a lease again.
# Guards against calls that it sends before it has heard of the departure: they
# reach the endpoint later than the time that is promised to it.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
SEPARATE_DOMAINS=yes
ALLOW_CUT=1
DRAIN_MS_SETTING=5000
. test/platform_deploy.sh

CALLERS=12
SUSPENDED_MS=5200 # after the departure: longer than the promised time
ARRIVALS=$DIR/arrivals

# Send calls through VM 2 until killed: call_repeatedly TAG
call_repeatedly() {
	n=0
	while :; do
		n=$((n + 1))
		$DL_HTTP -t 1000 -e 200 -H "$HOST" \
			-H "Daisyledge-Attempt-Id: l2x$1x$n" \
			"$(entry_address 2)" /look/x >/dev/null 2>&1
	done
}

: >"$ARRIVALS"
start_all
configure_all '"key-one"'
start_platform_endpoint d1 4 --zone place-1 --service desk --plain --arrivals "$ARRIVALS"
wait_endpoints_known d1
wait_for 3 "a call" book 2 before 200 -H "$KEY" || fail "VM 2 does not serve"

kill -STOP "$(pid_of entry_2)"
for d in 1 2 3; do
	echo "127.$NET.2.1:$PEER_PORT" >"$DIR/cut-$d"
done
for d in 1 2 3; do
	wait_for 10 "replica $d to lose VM 2" grep -q \
		"Connection lost.*vm=127.$NET.2.1:" "$DIR/replica-$d.log" ||
		fail "a connection to VM 2 is kept"
done
left=$(wall_ms)
kill -USR1 "$(pid_of runner_d1)"
for d in 1 3; do
	wait_for 3 "the departure at $d" grep -q 'An endpoint leaves.*instance=d1' \
		"$DIR/entry-$d.log" || fail "VM $d does not know the departure"
done
suspended_long() {
	[ "$(wall_ms)" -gt $((left + SUSPENDED_MS)) ]
}
wait_for 12 "the end of the pause" suspended_long || fail "the clock stands"
c=0
while [ $c -lt $CALLERS ]; do
	c=$((c + 1))
	call_repeatedly $c &
	record_pid caller_$c $!
done
# VM 2 is left alone, since another one would refuse the calls that it dispatches.
# The endpoint reports nothing either until VM 2 has its lease and calls are under
# way; those that it gets meanwhile it reads afterwards.
kill -STOP "$(pid_of runner_d1)"
kill -KILL "$(pid_of entry_1)" "$(pid_of entry_3)"
rm "$DIR/cut-1" "$DIR/cut-2" "$DIR/cut-3"
kill -CONT "$(pid_of entry_2)"
has_lease_again() {
	[ "$(grep -c 'The configuration lease is valid' "$DIR/entry-2.log")" -ge 2 ]
}
wait_for 5 "a lease at 2" has_lease_again || fail "VM 2 has no lease after it resumed"
sleep 0.5
kill -CONT "$(pid_of runner_d1)"
wait_for 5 "the departure at 2" grep -q 'An endpoint leaves.*instance=d1' \
	"$DIR/entry-2.log" || fail "VM 2 does not learn of the departure"
refused_as_left() {
	grep -q 'ended.*attempt=l2x.*reason=draining' "$DIR/entry-2.log"
}
wait_for 5 "a refusal at 2" refused_as_left || fail "VM 2 refuses no call"
late=$(awk -v from="$left" '$2 == "d1" && $1 >= from' "$ARRIVALS" | wc -l)
[ "$late" -eq 0 ] || fail "$late calls reach the endpoint after its time"
