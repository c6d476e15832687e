#!/bin/sh
# A request that crashes each endpoint that runs it, repeated at every VM.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
CUTTABLE=1
test_begin dala
. test/foreign.sh

CRASHES=3      # endpoints that may end before it is known
AFTERWARDS=3   # runs after that which the rule allows
STABLE_S=3     # by when each VM knows
SERVING=3      # VMs that callers reach

runs() { # PATH
	grep -c " $1 " "$RECORD"
}

# Send one request at each VM in turn.
repeat() { # TIMES PATH [OPTION...]
	times=$1 path=$2
	shift 2
	n=0
	while [ $n -lt "$times" ]; do
		n=$((n + 1))
		sent=$((${sent:-0} + 1))
		$DL_HTTP -t 4000 -X POST -H "$HOST" \
			-H "Daisyledge-Attempt-Id: crash$sent" \
			-H 'Daisyledge-Deadline-Ms: 3000' -d same "$@" \
			"$(front $((n % SERVING + 1)))" "$path" >/dev/null 2>&1
	done
}

# A kind of request, through its first ends and after them.
crash_kind() { # PATH [OPTION...]
	path=$1
	repeat 6 "$@"
	[ "$(runs "$path")" -ge $CRASHES ] ||
		fail "$path did not run: $(runs "$path")"
	sleep $STABLE_S
	before=$(runs "$path")
	repeat 12 "$@"
	after=$(($(runs "$path") - before))
	[ $after -le $AFTERWARDS ] ||
		fail "$path ran $after times more after it was known"
}

start_all
for i in 1 2 3 4 5 6 7 8; do
	runner w$i $((10 + i)) --service writer --crash-on crash
	runner d$i $((20 + i)) --service desk --plain --crash-on crash
done
configure_all '"key-one"'
for d in 1 2 3; do
	wait_for 5 "a stream at $d" chat $d "first$d" || fail "no stream"
	wait_for 5 "a call at $d" book $d "book$d" 200 -H "$KEY" ||
		fail "no call"
done

crash_kind /chat/crash -H "$KEY" -H 'Daisyledge-Token-Usage: 1000,50'
crash_kind /book/crash -H "$KEY"
crash_kind /look/crash

# A VM refuses what it has not seen itself: D PATH
refuses() {
	d=$1 path=$2
	sleep $STABLE_S
	before=$(runs "$path")
	for n in 1 2 3 4 5 6; do
		$DL_HTTP -t 4000 -X POST -H "$HOST" -H "$KEY" \
			-H "Daisyledge-Attempt-Id: late$d$n" \
			-H 'Daisyledge-Deadline-Ms: 3000' -d same \
			-e 503 "$(front "$d")" "$path" >/dev/null ||
			fail "VM $d does not refuse $path"
	done
	[ "$(runs "$path")" -eq "$before" ] || fail "VM $d sent $path on"
}

# A VM that has just started, and one whose replicas all have.
kill -KILL "$(pid_of entry_3)"
sleep 0.5
start entry 3
wait_for 10 "entry 3" ready 3 || fail "entry 3 is not ready"
refuses 3 /chat/crash
for d in 1 2 3; do
	kill -KILL "$(pid_of replica_$d)"
done
kill -KILL "$(pid_of entry_1)"
sleep 0.5
for d in 1 2 3; do
	start replica $d false
done
start entry 1
wait_for 10 "entry 1" ready 1 || fail "entry 1 is not ready"
refuses 1 /chat/crash

# A VM that was cut off while it crashed endpoints of the others.
cut_off_3
sleep 3
SERVING=2
repeat 6 /look/crash/cut
[ "$(runs /look/crash/cut)" -ge $CRASHES ] || fail "/look/crash/cut did not run"
heal_3
wait_for 10 "entry 3" ready 3 || fail "entry 3 is not ready after the cut"
refuses 3 /look/crash/cut

# All processes at once.
for d in 1 2 3; do
	kill -KILL "$(pid_of entry_$d)" "$(pid_of replica_$d)"
done
sleep 0.5
for d in 1 2 3; do
	start replica $d false
	start entry $d
done
for d in 1 2 3; do
	wait_for 10 "entry $d" ready $d || fail "entry $d is not ready"
done
refuses 2 /chat/crash

# All others are served as before.
for d in 1 2 3; do
	chat $d "last$d" >"$DIR/last" && whole "$DIR/last" ||
		fail "another stream is not served"
	book $d "lastbook$d" 200 -H "$KEY" >/dev/null ||
		fail "another call is not served"
done
