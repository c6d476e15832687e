#!/bin/sh
# Memory that a group's engines set aside for a long prompt whose lead engine
# goes dark: its connections stay open and silent, as after a loss of power.
# The memory must be free 4 s later, and the request must be served elsewhere.
# A lead that only takes long to its first event must not be broken off.  Memory
# whose reservation is not answered must be released, too.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/group_deploy.sh

start_all
sleep 0.5
configure_groups

# A helper that reserves memory without an answer: the request goes to other
# engines, and the memory is released and does not stay until it expires.  Among
# idle engines those registered first form the group, the first one leads it.
start_engine mute1 41
start_engine mute2 42 --mute-orders
for i in 3 4 5; do
	start_engine mute$i $((40 + i))
done
begin_chat mute
end_chat mute
check_stream mute
wait_for 5 "the end of the unanswered reservation" \
	grep -q ' mute2 .* \(released\|expired\)' "$DIR/orders" ||
	fail "mute: no memory was reserved without an answer"
grep ' mute2 .* expired' "$DIR/orders" &&
	fail "mute: memory stays reserved until it expires"
retire_group mute

# A lead that takes 4 s to its first event and sends no heartbeats meanwhile:
# it answers when asked, so it is waited for.
start_group slow 10 --first-event-ms 4000 --quiet-while-busy
begin_chat slow
end_chat slow
check_stream slow
[ "$(grep -c ' slow /chat/x ' "$RECORD")" = 1 ] ||
	fail "a slow lead was broken off"
retire_group slow

# A lead that goes dark.  The reservations must end although no reset arrives.
start_group dark 20 --first-event-ms 1500
begin_chat dark
kill -STOP "$(pid_of "runner_$lead")"
by=$(($(wall_ms) + FREE_MS))
end_chat dark
check_first_group_free dark $by
check_stream dark
retire_group dark

# A lead that goes dark while another instance announces itself at its address.
start_group gone 30 --first-event-ms 1500
begin_chat gone
kill -STOP "$(pid_of "runner_$lead")"
host=$((30 + ${lead#gone}))
at=$(wall_ms)
$DL_HTTP -t 2000 -X POST -d "$(printf '{"service":"writer","address":"127.%s.9.%s:%s","zone":"r","version":"v1","slots":16,"state":"ready","stage":"both","models":[{"name":"m"}],"seq":1,"born":%s}' \
	"$NET" $host $ENDPOINT_PORT "$at")" "$(control_address 1)" \
	/-/Instances.Heartbeat/again >/dev/null ||
	fail "the new instance's heartbeat is not accepted"
end_chat gone
check_first_group_free gone $((at + 1000))
check_stream gone
retire_group gone
