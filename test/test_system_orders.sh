#!/bin/sh
# Orders to endpoints on the real binary: the leader brings every runner to the
# configured version; the next leader continues after the first was killed;
# runners of a domain that returns are ordered again; no endpoint gets an order
# whose fencing number is older than one that it has seen.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=6
test_begin dala

status() {
	"$DL_BIN" status --json --timeout 5 --entry "$ENTRY"
}

# Whether all of COUNT runners are as ordered: orders_done COUNT
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

# The number of orders that runners executed for a model: count_orders MODEL
count_orders() {
	awk -v m="$1" '$1 == "O" && index($0, m)' "$RECORD" | wc -l
}

# Fast weight loading, to keep the test short.
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
[ -n "$old_leader" ] || fail "there is no leader"
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
	fail "no change is accepted after the loss of the leader"

# The two runners of the lost domain have no dispatcher; the other four remain.
wait_for 30 "the second orders" orders_done 4 || {
	cat "$DIR/status" "$RECORD"
	fail "the second leader sends no orders"
}
start_entry "$lost_domain" 1
wait_for 30 "the orders of the lost domain" orders_done 6 ||
	fail "the domain that returned gets no orders"

awk '$1 == "X" { bad = 1 } END { exit bad }' "$RECORD" ||
	fail "an order came with an old fencing number"
