#!/bin/sh
# Runners that do not carry out an order and break off a 200 to it, in its head or
# its body: the leader does not take the order for accepted, and gives it again.  One
# whose answer has no end is not read on for ever.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
test_begin dala
CUTS="length-instatus-close chunks-invalue-close length-inend-reset
	length-nobody-close length-inline-reset close-inline-close endless"
# An order that nobody answers is waited out for 7 s, an accepted one for 600 s.
AGAIN_S=90

# Whether all of COUNT runners are as ordered: orders_done COUNT
orders_done() {
	"$DL_BIN" status --json --timeout 5 --entry "$ENTRY" >"$DIR/status" ||
		return 1
	grep -o '"orders": *{[^}]*}' "$DIR/status" >"$DIR/orders"
	grep -q "\"wished\": *$1[,}]" "$DIR/orders" &&
		grep -q "\"done\": *$1[,}]" "$DIR/orders"
}

# Fast weight loading, to keep the test short.
sed 's/"weight_store_mb_per_s": *[0-9]*/"weight_store_mb_per_s": 100000/' \
	"$DIR/config.json" >"$DIR/config.new"
mv "$DIR/config.new" "$DIR/config.json"
ENTRY=$(vm_address 1 1):$HTTP_PORT
deploy_start || fail "the deployment does not start"
n=20
for cut in $CUTS; do
	n=$((n + 1))
	start_runner $n --fault cut-order --fault-times 1 --cut "$cut"
done
count=$((n - 20))
wait_for $AGAIN_S "the orders" orders_done $((DL_RUNNERS + count)) || {
	cat "$DIR/orders" "$RECORD"
	fail "an order that was broken off is not given again"
}
for cut in $CUTS; do
	[ "$(awk -v cut="$cut" '$1 == "C" && index($0, cut)' "$RECORD" | wc -l)" = 1 ] ||
		fail "$cut: the order was not broken off"
done
grep -q '^E .*endless' "$RECORD" || fail "the answer without end is still read"
[ "$(awk '$1 == "O"' "$RECORD" | wc -l)" -ge $((DL_RUNNERS + count)) ] ||
	fail "runners are taken to be as ordered that carried out no order"
