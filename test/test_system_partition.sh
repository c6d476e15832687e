#!/bin/sh
# A failure domain is partitioned from the others by dropped packets, under
# load.  Both sides keep serving; the side with the quorum accepts a
# configuration change, the other refuses one; no version reverts after the
# partition heals.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=6
ALLOW_CUT=1
test_begin dala

# Partition a domain from the two others: isolate D
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

# Both sides serve model calls and calls without idempotency keys; keys need the
# quorum.
CLASSES=test/data/load-models.json
run_load --seconds 8 --done-min 950 >"$DIR/table" 2>&1 &
load=$!
record_pid load $load
sleep 5
sed 's/"log_level": "info"/"log_level": "warn"/' \
	"$DIR/config.json" >"$DIR/config-2.json"
"$DL_BIN" apply "$DIR/config-2.json" --change-id majority --timeout 8 \
	--entry "$(vm_address 1 1):$HTTP_PORT" >"$DIR/apply-1.log" 2>&1 ||
	fail "the majority side accepts no change"
"$DL_BIN" apply "$DIR/config-2.json" --change-id minority --timeout 2 \
	--entry "$(vm_address 3 1):$HTTP_PORT" >"$DIR/apply-3.log" 2>&1
[ $? -eq 4 ] || fail "apply on the minority side did not exit with status 4"
$DL_HTTP -t 5000 -X POST -H 'Idempotency-Key: k1' -d '{}' \
	"$(vm_address 3 1):$HTTP_PORT" "/s/$PLAIN_SERVICE/confirm" \
	>"$DIR/keyed" 2>&1 && fail "a keyed call ran without the quorum"
grep -q 'no-quorum' "$DIR/keyed" || fail "a keyed call is not refused with no-quorum"
entry_serves_model 3 1 || fail "the minority side serves no model"
entry_serves_plain 3 1 || fail "the minority side serves no calls"
has_version 3 "$first" || fail "the minority side changed its version"
wait $load || {
	cat "$DIR/table"
	fail "a check of the load failed"
}

reconnect
wait_for 20 "the version on all sides" has_version 3 $((first + 1)) ||
	fail "the minority side does not catch up"
for d in 1 2 3; do
	has_version $d $((first + 1)) ||
		fail "VM $d has version '$(version_at $d)', not $((first + 1))"
done
grep -c '"k1"\|k1' "$RECORD" >"$DIR/ran"
grep -q ' k1 ' "$RECORD" && fail "a call that was refused as not run did run"
wait_for 20 "a change through the former minority side" \
	"$DL_BIN" apply "$DIR/config.json" --change-id after --wait \
	--timeout 5 --entry "$(vm_address 3 1):$HTTP_PORT" ||
	fail "no change is accepted through the former minority side"
