#!/bin/sh
# Configuration changes on the real binary: concurrent changes that expect the
# same version, resends after lost responses, 150 changes while a replica is
# down, a suspended VM, lost VMs and a lost majority.  No accepted version may
# revert.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
test_begin dala
deploy_start || fail "the deployment does not start"

entry() { # D
	echo "--entry $(vm_address "$1" 1):$HTTP_PORT"
}

# Write a configuration that is unique to N: config_variant N FILE
config_variant() {
	sed "s/\"weight_store_mb_per_s\": [0-9]*/\"weight_store_mb_per_s\": $1/" \
		"$DIR/config.json" >"$2"
}

version() { # D
	# shellcheck disable=SC2046
	"$DL_BIN" status --json --timeout 5 $(entry "$1") |
		sed 's/^{"version":\([0-9]*\).*/\1/'
}

at_version() { # D N
	[ "$(version "$1")" = "$2" ]
}

# The deployment may have needed several attempts for its first version.
base=$(($(version 1) - 1))
[ "$base" -ge 0 ] || fail "no version at VM 1"

# Three operators at three entries change the same version: one succeeds.
for round in 1 2 3 4 5 6 7 8; do
	for d in 1 2 3; do
		wait_for 5 "version $((base + round)) at VM $d" \
			at_version $d $((base + round)) || exit 1
	done
	pids=
	for d in 1 2 3; do
		config_variant "1$round$d" "$DIR/race.$d"
		# shellcheck disable=SC2046
		"$DL_BIN" apply $(entry $d) --expect $((base + round)) \
			--author "operator-$d" "$DIR/race.$d" \
			>"$DIR/race.$d.out" 2>&1 &
		pids="$pids $!"
	done
	won=0 lost=0
	for p in $pids; do
		wait "$p"
		case $? in
		0) won=$((won + 1)) ;;
		3) lost=$((lost + 1)) ;;
		*) cat "$DIR"/race.*.out && fail "an operator got no answer" ;;
		esac
	done
	[ "$won $lost" = "1 2" ] || fail "round $round: $won won, $lost lost"
	grep -q "by operator-.* is in force" "$DIR"/race.*.out ||
		fail "the conflict does not name the accepted change"
done

# The client is killed before its response; resending the change id through
# other entries makes only one version.
for n in 1 2 3 4 5; do
	config_variant "2$n" "$DIR/again"
	# shellcheck disable=SC2046
	"$DL_BIN" apply $(entry 1) --change-id "again-$n" "$DIR/again" \
		>/dev/null 2>&1 &
	p=$!
	sleep "0.00$n"
	kill -KILL $p 2>/dev/null
	wait $p 2>/dev/null
	for d in 2 3; do
		# shellcheck disable=SC2046
		"$DL_BIN" apply $(entry $d) --change-id "again-$n" \
			"$DIR/again" >"$DIR/again.out" 2>&1 ||
			fail "resend: $(cat "$DIR/again.out")"
	done
	# shellcheck disable=SC2046
	made=$("$DL_BIN" history $(entry 2) | grep -c "again-$n\$")
	[ "$made" -eq 1 ] || fail "again-$n made $made versions"
	config_variant "3$n" "$DIR/other"
	# shellcheck disable=SC2046
	"$DL_BIN" apply $(entry 3) --change-id "again-$n" "$DIR/other" \
		>/dev/null 2>&1
	[ $? -eq 3 ] || fail "another configuration was accepted under change id again-$n"
done

# Operators that disconnect before the response, which waits for a suspended VM,
# must not crash the entry.
kill -STOP "$(pid_of entry_3_1)"
n=0
while [ $n -lt 5 ]; do
	n=$((n + 1))
	$DL_HTTP -t 200 "$(vm_address 1 1):$HTTP_PORT" /v1/status >/dev/null 2>&1
	sleep 0.6
	$DL_HTTP -t 1000 "$(vm_address 1 1):$HTTP_PORT" /healthz >/dev/null ||
		fail "the entry does not respond after $n early disconnects"
done
kill -CONT "$(pid_of entry_3_1)"
for d in 1 2 3; do
	wait_for 10 "status at VM $d" entry_ready $d 1 || exit 1
done

# --wait names a suspended VM, which gets the version once it resumes.
before=$(version 1)
kill -STOP "$(pid_of entry_3_1)"
config_variant 399 "$DIR/paused"
# shellcheck disable=SC2046
"$DL_BIN" apply $(entry 1) --wait --timeout 2 "$DIR/paused" \
	>"$DIR/paused.out" 2>&1
got=$?
kill -CONT "$(pid_of entry_3_1)"
[ $got -eq 5 ] || fail "with a VM paused: $got, $(cat "$DIR/paused.out")"
grep -q "not yet in force at $(vm_address 3 1):$PEER_PORT" "$DIR/paused.out" ||
	fail "the paused VM is not named: $(cat "$DIR/paused.out")"
wait_for 5 "the version at the VM that was paused" \
	at_version 3 $((before + 1)) || exit 1

# A replica is down for 150 changes and catches up.
kill -KILL "$(pid_of replica_3_1)"
n=0
while [ $n -lt 150 ]; do
	n=$((n + 1))
	config_variant "4$n" "$DIR/many"
	# shellcheck disable=SC2046
	"$DL_BIN" apply $(entry 1) "$DIR/many" >"$DIR/many.out" 2>&1 ||
		fail "change $n: $(cat "$DIR/many.out")"
done
before=$(version 1)
start_replica 3
replica_caught_up() {
	# shellcheck disable=SC2046
	"$DL_BIN" status --json $(entry 1) |
		grep -q "\"vm\":\"$(vm_address 3 1):$REPLICA_PORT\"[^}]*\"version\":$before,"
}
wait_for 15 "the replica to catch up" replica_caught_up || exit 1

# The leader's VM is lost with its entry: the client tries the next entry.
kill -KILL "$(pid_of replica_1_1)" "$(pid_of entry_1_1)"
config_variant 500 "$DIR/after"
# shellcheck disable=SC2046
"$DL_BIN" apply $(entry 1) $(entry 2) $(entry 3) --wait --timeout 20 \
	"$DIR/after" >"$DIR/after.out" 2>&1 ||
	fail "after the leader's VM was lost: $(cat "$DIR/after.out")"
wait_for 5 "the new version at VM 3" at_version 3 $((before + 1)) || exit 1

# All processes restart at once: the version is kept.
for p in replica_2_1 replica_3_1 entry_2_1 entry_3_1; do
	kill -KILL "$(pid_of $p)"
done
for d in 1 2 3; do
	start_replica $d
	start_entry $d 1
done
for d in 1 2 3; do
	wait_for 15 "the version at VM $d after all restarted" \
		at_version $d $((before + 1)) || exit 1
done

# Without a majority no change is accepted and the version in force stays.
kill -KILL "$(pid_of replica_2_1)" "$(pid_of replica_3_1)"
config_variant 600 "$DIR/none"
# shellcheck disable=SC2046
"$DL_BIN" apply $(entry 1) --timeout 3 "$DIR/none" >"$DIR/none.out" 2>&1
got=$?
[ $got -eq 4 ] || fail "without a majority: $got, $(cat "$DIR/none.out")"
# shellcheck disable=SC2046
"$DL_BIN" get $(entry 3) | cmp -s - "$DIR/after" ||
	fail "the configuration in force was lost"
