#!/bin/sh
# Idempotency keys: resends through other VMs, sequential, concurrent and after
# the loss of a VM, run a confirmation at most once and return its response.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
test_begin dala
deploy_start || fail "the deployment does not start"

confirm() { # D KEY BODY
	$DL_HTTP -t 6000 -X POST -H "Idempotency-Key: $2" \
		-H 'Daisyledge-Idempotent: no' \
		-H 'Daisyledge-Deadline-Ms: 5000' \
		-d "$3" "$(vm_address "$1" 1):$HTTP_PORT" \
		/s/$PLAIN_SERVICE/confirm
}

count_executions() { # KEY
	grep -c "^B .* $1 " "$RECORD"
}

first=$(confirm 1 key-a "seat 4") || fail "the first confirmation: $first"
for d in 2 3 1; do
	again=$(confirm $d key-a "seat 4") || fail "resend through VM $d: $again"
	[ "$again" = "$first" ] || fail "VM $d answers $again, not $first"
done
[ "$(count_executions key-a)" -eq 1 ] || fail "key-a began $(count_executions key-a) times"

for n in 1 2 3 4 5; do
	pids=
	for d in 1 2 3; do
		confirm $d key-b$n "seat $n" >"$DIR/at-once.$d" &
		pids="$pids $!"
		record_pid confirm $!
	done
	for p in $pids; do
		wait "$p"
	done
	[ "$(count_executions key-b$n)" -eq 1 ] ||
		fail "key-b$n began $(count_executions key-b$n) times"
done

other=$(confirm 2 key-a "seat 5") && fail "another body under key-a got a response: $other"
[ "$(count_executions key-a)" -eq 1 ] || fail "another body ran under key-a"

first=$(confirm 1 key-c "seat 9") || fail "key-c: $first"
kill -KILL "$(pid_of entry_1_1)" "$(pid_of replica_1_1)"
again_c() {
	[ "$(confirm 2 key-c "seat 9")" = "$first" ]
}
wait_for 10 "the first response after a failover" again_c ||
	fail "after a VM was lost: $(confirm 2 key-c "seat 9")"
[ "$(count_executions key-c)" -eq 1 ] || fail "key-c began $(count_executions key-c) times"

# Without a majority of replicas no key can be claimed, so no request may run.
kill -KILL "$(pid_of replica_2_1)"
refused=$(confirm 3 key-d "seat 7") && fail "key-d got a response without a quorum: $refused"
[ "$(count_executions key-d)" -eq 0 ] || fail "key-d ran without a quorum"
