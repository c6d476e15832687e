#!/bin/sh
# A failure domain cut off from the others, silently, under load: each side
# goes on serving what it can; the side with the quorum changes the
# configuration, the other refuses to; nothing reverts when they meet again.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=6
ALLOW_CUT=1
test_begin dala

# Cut a domain off from the two others: D
isolate() {
	for d in 1 2 3; do
		[ $d = "$1" ] && continue
		printf '%s:%s\n%s:%s\n' \
			"$(vm_address $d 1)" $PEER_PORT \
			"$(vm_address $d 1)" $REPLICA_PORT >>"$DIR/cut-$1.new"
		printf '%s:%s\n%s:%s\n' \
			"$(vm_address "$1" 1)" $PEER_PORT \
			"$(vm_address "$1" 1)" $REPLICA_PORT >"$DIR/cut-$d"
	done
	mv "$DIR/cut-$1.new" "$DIR/cut-$1"
}

reconnect() {
	rm -f "$DIR/cut-1" "$DIR/cut-2" "$DIR/cut-3"
}

version_at() { # D
	"$DL_BIN" get --json --timeout 3 --entry "$(vm_address "$1" 1):$HTTP_PORT" |
		sed 's/.*"version": *\([0-9]*\).*/\1/'
}

has_version() { # D N
	[ "$(version_at "$1")" = "$2" ]
}

deploy_start || fail "the deployment does not start"
first=$(version_at 3)
isolate 3

# Model calls and calls without keys go on on both sides; keys need the quorum.
CLASSES=test/data/load-models.json
run_load --seconds 8 --done-min 950 >"$DIR/table" 2>&1 &
load=$!
record_pid load $load
sleep 5
sed 's/"log_level": "info"/"log_level": "warn"/' \
	"$DIR/config.json" >"$DIR/config-2.json"
"$DL_BIN" apply "$DIR/config-2.json" --change-id majority --timeout 8 \
	--entry "$(vm_address 1 1):$HTTP_PORT" >"$DIR/apply-1.log" 2>&1 ||
	fail "the side with the quorum accepts no change"
"$DL_BIN" apply "$DIR/config-2.json" --change-id minority --timeout 2 \
	--entry "$(vm_address 3 1):$HTTP_PORT" >"$DIR/apply-3.log" 2>&1
[ $? -eq 4 ] || fail "the side without the quorum did not say so"
$DL_HTTP -t 5000 -X POST -H 'Idempotency-Key: k1' -d '{}' \
	"$(vm_address 3 1):$HTTP_PORT" "/s/$PLAIN_SERVICE/confirm" \
	>"$DIR/keyed" 2>&1 && fail "a keyed call ran without the quorum"
grep -q 'no-quorum' "$DIR/keyed" || fail "a keyed call is not refused for want of the quorum"
entry_serves_model 3 1 || fail "the side that is cut off serves no model"
entry_serves_plain 3 1 || fail "the side that is cut off serves no calls"
has_version 3 "$first" || fail "the side that is cut off changed its version"
wait $load || {
	cat "$DIR/table"
	fail "a check of the load is broken"
}

reconnect
wait_for 20 "the version on all sides" has_version 3 $((first + 1)) ||
	fail "the side that was cut off does not catch up"
for d in 1 2 3; do
	has_version $d $((first + 1)) ||
		fail "VM $d has version '$(version_at $d)', not $((first + 1))"
done
grep -c '"k1"\|k1' "$RECORD" >"$DIR/ran"
grep -q ' k1 ' "$RECORD" && fail "a call told not-run did run"
wait_for 20 "a change through the side that was cut off" \
	"$DL_BIN" apply "$DIR/config.json" --change-id after --wait \
	--timeout 5 --entry "$(vm_address 3 1):$HTTP_PORT" ||
	fail "no change goes through the side that was cut off"
