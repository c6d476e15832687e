#!/bin/sh
# A VM that stops and has nothing else to do does not end while a request is on its way in: the
# caller gets an answer.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

start_all
configure_all '"key-one"'
start_platform_endpoint d1 21 --service desk --plain
wait_endpoints_known d1
wait_for 5 "a call" book 1 first 200 -H "$KEY" || fail "no call is served"

# The bodies come 1.5 s after the heads, while nothing else keeps the VM from ending.
begin_ms=$(($(date +%s%3N) + 500))
test/tool_callers --to "$(entry_address 1)" --tag reading --begin $begin_ms -H "$KEY" \
	-H 'Daisyledge-Deadline-Ms: 2000' --warm-path /look/x --kept --path /book/x \
	--from 1900 --until 3200 --every 300 --body-after 1500 --gone-max 0 \
	--refuse-within 200 >"$DIR/callers" &
record_pid callers $!
sleep 0.5
kill -TERM "$(pid_of entry_1)"
wait "$(pid_of callers)"
status=$?
cat "$DIR/callers"
[ $status -eq 0 ] || fail "a request was not answered"
expect_exit 10 entry_1 0 || fail "the VM does not stop"
