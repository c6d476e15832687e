#!/bin/sh
# Orders to endpoints over the real binary: the leader brings every runner to
# the version of the configuration; a second leader goes on after the first
# was killed; a runner that came back is ordered again; nobody takes an older
# order after a newer one.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=6
test_begin dala

status() {
	"$DL_BIN" status --json --timeout 5 --entry "$ENTRY"
}

# Every runner that is there is as the orders want it: COUNT
orders_done() {
	status >"$DIR/status" || return 1
	grep -o '"orders": *{[^}]*}' "$DIR/status" >"$DIR/orders"
	grep -q "\"wished\": *$1[,}]" "$DIR/orders" &&
		grep -q "\"done\": *$1[,}]" "$DIR/orders"
}

leader() {
	status | grep -o '"leader": *"[^"]*"' | head -1 |
		sed 's/.*"\([0-9.]*\):.*/\1/'
}

# How many runners took an order for a version's model: MODEL
count_orders() {
	awk -v m="$1" '$1 == "O" && index($0, m)' "$RECORD" | wc -l
}

# Loads as fast as the test wants them.
sed 's/"weight_store_mb_per_s": *[0-9]*/"weight_store_mb_per_s": 100000/' \
	"$DIR/config.json" >"$DIR/config.new"
mv "$DIR/config.new" "$DIR/config.json"
ENTRY=$(vm_address 1 1):$HTTP_PORT
deploy_start || fail "the deployment does not start"
wait_for 20 "the first orders" orders_done 6 || {
	cat "$DIR/orders" "$RECORD"
	fail "the runners are not as ordered"
}

old_leader=$(leader)
[ -n "$old_leader" ] || fail "no replica leads"
for d in 1 2 3; do
	if [ "$(vm_address $d 1)" = "$old_leader" ]; then
		kill -KILL "$(pid_of replica_${d}_1)" "$(pid_of entry_${d}_1)"
		lost_domain=$d
	fi
done
ENTRY=$(vm_address $((lost_domain % 3 + 1)) 1):$HTTP_PORT
sed 's/"version": "1"/"version": "2"/' "$DIR/config.json" >"$DIR/config-2.json"
wait_for 20 "the second version" "$DL_BIN" apply "$DIR/config-2.json" \
	--change-id second --timeout 5 --entry "$ENTRY" ||
	fail "the change is not accepted after the leader was lost"

# The runners of the lost domain have no dispatcher: the other four remain.
wait_for 30 "the second orders" orders_done 4 || {
	cat "$DIR/status" "$RECORD"
	fail "the second leader gives no orders"
}
start_entry "$lost_domain" 1
wait_for 30 "the orders of the lost domain" orders_done 6 ||
	fail "a domain that is back gets no orders"

awk '$1 == "X" { bad = 1 } END { exit bad }' "$RECORD" ||
	fail "an order came with an old fencing number"
