# Shell functions for system tests of prompts that need a group of engines, which
# reserve memory for them.  To be sourced after test/platform_deploy.sh.
FREE_MS=4000 # how long memory may stay reserved for a request that has ended
DEADLINE_MS=14000

# Prompts of 40,000 tokens need the memory of four engines, which read them in
# less than a second.  Callers wait 24 s for the first event.
group_config() {
	config 5 15000 '"key-one"' | sed 's/"kv_capacity":315000/"kv_capacity":31500/
		s/"pairs_per_m":0.184/"pairs_per_m":0.0184/
		s/"target_latency_ms":300/"target_latency_ms":6000/
		s/"gap_target_ms":250/"gap_target_ms":1000/
		s/"attempts":2/"attempts":'"${ATTEMPTS:-2}"'/'
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

# Submit a configuration with groups and wait until all entries are ready.
configure_groups() {
	wait_for 10 "the first configuration" put_config "$(group_config)" ||
		fail "the first configuration is not accepted"
	for d in 1 2 3; do
		wait_for 10 "entry $d" entry_is_ready $d ||
			fail "entry $d is not ready"
	done
}
