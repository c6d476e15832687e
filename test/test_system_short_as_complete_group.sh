#!/bin/sh
# Engines that lead a group break their responses off in every way: no caller gets a
# stream that is complete and short, and whole ones stay whole.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/group_deploy.sh
. test/endings.sh

ENGINES=14

start_all
configure_groups
i=0
while [ $i -lt $ENGINES ]; do
	i=$((i + 1))
	start_platform_endpoint e$i $((10 + i)) --service writer \
		--endings "$ENDINGS"
done
wait_endpoints_known e1 e$ENGINES
wait_for 5 "a stream" chat 2 first || fail "no stream"
begin_walk groups "$(entry_address 2)" /chat/ stream whole,close,reset,silence,again \
	-H "$KEY" -H 'Daisyledge-Token-Usage: 40000,50' --deadline 6000 \
	--versions 1.0,1.1
finish_walks
grep -q 'A request ended.*helpers=127' "$DIR/entry-2.log" ||
	fail "no group served a request"
end_walks
