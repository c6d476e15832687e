#!/bin/sh
# A request that crashes every endpoint that runs it, resent through every VM.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
ALLOW_CUT=1
test_begin dala
. test/platform_deploy.sh

CRASHES=3             # crashes until the request is quarantined
RUNS_ALLOWED_AFTER=3  # later executions that are allowed
STABLE_S=3            # until every VM has learned of the crashes
REACHABLE_VMS=3       # VMs that get requests

count_runs() { # PATH
	grep -c " $1 " "$RECORD"
}

# Send a request repeatedly, through the VMs in turn.
send_to_vms_in_turn() { # TIMES PATH [OPTION...]
	times=$1 path=$2
	shift 2
	n=0
	while [ $n -lt "$times" ]; do
		n=$((n + 1))
		sent=$((${sent:-0} + 1))
		$DL_HTTP -t 4000 -X POST -H "$HOST" \
			-H "Daisyledge-Attempt-Id: crash$sent" \
			-H 'Daisyledge-Deadline-Ms: 3000' -d same "$@" \
			"$(entry_address $((n % REACHABLE_VMS + 1)))" "$path" >/dev/null 2>&1
	done
}

# Check one kind of request up to its quarantine and after it.
check_crashing_request() { # PATH [OPTION...]
	path=$1
	send_to_vms_in_turn 6 "$@"
	[ "$(count_runs "$path")" -ge $CRASHES ] ||
		fail "$path did not run: $(count_runs "$path")"
	sleep $STABLE_S
	before=$(count_runs "$path")
	send_to_vms_in_turn 12 "$@"
	after=$(($(count_runs "$path") - before))
	[ $after -le $RUNS_ALLOWED_AFTER ] ||
		fail "$path ran $after more times after its quarantine"
}

start_all
for i in 1 2 3 4 5 6 7 8; do
	start_platform_endpoint w$i $((10 + i)) --service writer --crash-on crash
	start_platform_endpoint d$i $((20 + i)) --service desk --plain --crash-on crash
done
configure_all '"key-one"'
for d in 1 2 3; do
	wait_for 5 "a stream at $d" chat $d "first$d" || fail "no stream"
	wait_for 5 "a call at $d" book $d "book$d" 200 -H "$KEY" ||
		fail "no call"
done

check_crashing_request /chat/crash -H "$KEY" -H 'Daisyledge-Token-Usage: 1000,50'
check_crashing_request /book/crash -H "$KEY"
check_crashing_request /look/crash

# A VM refuses a request whose crashes it has not seen itself:
# check_refused D PATH
check_refused() {
	d=$1 path=$2
	sleep $STABLE_S
	before=$(count_runs "$path")
	for n in 1 2 3 4 5 6; do
		$DL_HTTP -t 4000 -X POST -H "$HOST" -H "$KEY" \
			-H "Daisyledge-Attempt-Id: late$d$n" \
			-H 'Daisyledge-Deadline-Ms: 3000' -d same \
			-e 503 "$(entry_address "$d")" "$path" >/dev/null ||
			fail "VM $d does not refuse $path"
	done
	[ "$(count_runs "$path")" -eq "$before" ] || fail "VM $d forwarded $path"
}

# A VM that has just restarted, and one that has restarted with all replicas.
kill -KILL "$(pid_of entry_3)"
sleep 0.5
start_process entry 3
wait_for 10 "entry 3" entry_is_ready 3 || fail "entry 3 is not ready"
check_refused 3 /chat/crash
for d in 1 2 3; do
	kill -KILL "$(pid_of replica_$d)"
done
kill -KILL "$(pid_of entry_1)"
sleep 0.5
for d in 1 2 3; do
	start_process replica $d false
done
start_process entry 1
wait_for 10 "entry 1" entry_is_ready 1 || fail "entry 1 is not ready"
check_refused 1 /chat/crash

# A VM that was partitioned while the request crashed endpoints through the
# others.
isolate_vm_3
sleep 3
REACHABLE_VMS=2
send_to_vms_in_turn 6 /look/crash/cut
[ "$(count_runs /look/crash/cut)" -ge $CRASHES ] || fail "/look/crash/cut did not run"
reconnect_vm_3
wait_for 10 "entry 3" entry_is_ready 3 || fail "entry 3 is not ready after the cut"
check_refused 3 /look/crash/cut

# All processes restart at once.
for d in 1 2 3; do
	kill -KILL "$(pid_of entry_$d)" "$(pid_of replica_$d)"
done
sleep 0.5
for d in 1 2 3; do
	start_process replica $d false
	start_process entry $d
done
for d in 1 2 3; do
	wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
done
check_refused 2 /chat/crash

# Other requests are served as before.
for d in 1 2 3; do
	chat $d "last$d" >"$DIR/last" && stream_is_complete "$DIR/last" ||
		fail "another stream is not served"
	book $d "lastbook$d" 200 -H "$KEY" >/dev/null ||
		fail "another call is not served"
done
