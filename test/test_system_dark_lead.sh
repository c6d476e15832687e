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

FREE_MS=4000 # how long memory may stay reserved for a request that has ended
DEADLINE_MS=14000

# Prompts of 40,000 tokens need the memory of four engines, which read them in
# less than a second.  Callers wait 24 s for the first event.
group_config() {
	config 5 15000 '"key-one"' | sed 's/"kv_capacity":315000/"kv_capacity":31500/
		s/"pairs_per_m":0.184/"pairs_per_m":0.0184/
		s/"target_latency_ms":300/"target_latency_ms":6000/
		s/"gap_target_ms":250/"gap_target_ms":1000/'
}

# Start an engine that logs its reservations: start_engine NAME HOST [OPTION...]
start_engine() {
	engine=$1 at=$2
	shift 2
	start_platform_endpoint "$engine" "$at" \
		--service writer --orders "$DIR/orders" "$@"
	wait_endpoints_known "$engine"
}

# Start five engines: start_group TAG HOST [OPTION...]
start_group() {
	tag=$1 first=$2
	shift 2
	for i in 1 2 3 4 5; do
		start_engine "$tag$i" $((first + i)) "$@"
	done
}

retire_group() { # TAG
	for i in 1 2 3 4 5; do
		kill -CONT "$(pid_of "runner_$1$i")" 2>/dev/null
		retire "runner_$1$i"
	done
}

long_chat() { # D ATTEMPT
	$DL_HTTP -t $DEADLINE_MS -X POST -H "$HOST" -H "$KEY" \
		-H "Daisyledge-Attempt-Id: $2" \
		-H "Daisyledge-Deadline-Ms: $DEADLINE_MS" \
		-H 'Daisyledge-Token-Usage: 40000,50' -d prompt \
		"$(entry_address "$1")" /chat/x 2>>"$DIR/chat.log"
}

# The engine that executed an attempt first.
lead_of() { # ATTEMPT
	awk -v a="$1" '$2 == a { print $1; exit }' "$RECORD"
}

attempt_has_lead() { # ATTEMPT
	[ -n "$(lead_of "$1")" ]
}

# Check that every reservation of a request's first group ended by the given
# time.  Its id is the request's id, the try's number and the engine's.
check_first_group_free() { # ATTEMPT BY_MS
	request=$(sed -n "s/.*A request ended. request=\([^ ]*\) attempt=$1 .*/\1/p" \
		"$DIR/entry-1.log")
	awk -v id="$request-0-" -v by="$2" '
		index($3, id) == 1 { at[$3 " at " $2] = $1; what[$3 " at " $2] = $4 }
		END {
			for (r in at) {
				n++
				if (what[r] !~ /released|expired/ || at[r] > by) {
					print r ": " what[r] ", " at[r] - by " ms late"
					late++
				}
			}
			print n + 0 " reservations, " late + 0 " too late"
			exit !(n && !late)
		}' "$DIR/orders" || fail "$1: memory stays reserved"
}

# Send a long prompt and wait until its lead has it: begin_chat ATTEMPT
begin_chat() {
	long_chat 1 "$1" >"$DIR/stream.$1" &
	chat_pid=$!
	record_pid "chat_$1" $chat_pid
	wait_for 5 "the lead of $1" attempt_has_lead "$1" ||
		fail "$1: no endpoint got the request"
	lead=$(lead_of "$1")
	sleep 0.3
	grep -q reserved "$DIR/orders" || fail "$1: no memory was reserved"
}

end_chat() { # ATTEMPT
	wait $chat_pid
	wait_for 5 "the end of $1" grep -q "A request ended.* attempt=$1 " \
		"$DIR/entry-1.log" || fail "$1: its request did not end"
}

check_stream() { # ATTEMPT
	stream_is_complete "$DIR/stream.$1" || fail "$1: the stream is not complete"
}

start_all
sleep 0.5
wait_for 10 "the first configuration" put_config "$(group_config)" ||
	fail "the first configuration is not accepted"
for d in 1 2 3; do
	wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
done

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
