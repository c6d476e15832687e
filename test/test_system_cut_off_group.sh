#!/bin/sh
# A VM loses its links to all endpoints while it has streams and prompts of groups
# in flight, and the VM that forwards for it is killed.  Streams go on elsewhere
# without a gap, and memory reserved for a prompt is free 4 s later.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/net_deploy.sh
. test/group_deploy.sh

ENDPOINTS="e1:11 e2:12 e3:13 e4:14 e5:15 e6:16 e7:17 e8:18 e9:19"
EVENTS=60 # of a stream, which takes 6 s

# Send a stream of many events through VM 1: begin_stream ATTEMPT
begin_stream() {
	$DL_HTTP -t $DEADLINE_MS -X POST -H "$HOST" -H "$KEY" \
		-H "Daisyledge-Attempt-Id: $1" \
		-H "Daisyledge-Deadline-Ms: $DEADLINE_MS" \
		-H 'Daisyledge-Token-Usage: 1000,3060' -d prompt \
		"$(entry_address 1)" /chat/x >"$DIR/stream.$1" 2>>"$DIR/chat.log" &
	record_pid "stream_$1" $!
}

check_whole_stream() { # ATTEMPT
	wait "$(pid_of "stream_$1")"
	n=0
	while [ $n -lt $EVENTS ]; do
		n=$((n + 1))
		printf 'id: %s\ndata: e%s\n\n' $n $n
	done | cmp -s - "$DIR/stream.$1" ||
		fail "$1: the stream is not complete"
}

# The VM that forwards connections of VM 1, of those that are open.
forwarder() {
	for d in 2 3; do
		[ "$(grep -c 'forwards connections of other VMs' "$DIR/entry-$d.log")" -gt \
			"$(grep -c 'forwards no connection any more' "$DIR/entry-$d.log")" ] &&
			echo $d && return
	done
	return 1
}

start_relays
start_tarpit
for d in 1 2 3; do
	map_endpoints $d as-is
	start_process replica $d true
	with_mapped_links $d start_process entry $d
done
sleep 0.5
# A stream loses its links and then the VM that forwards: three attempts.
ATTEMPTS=3
configure_groups

# Groups: the lead takes long to its first event, and the cut comes before it.
for at in $ENDPOINTS; do
	start_engine "${at%:*}" "${at#*:}" --first-event-ms 1500
done
for how in hang reset refuse; do
	begin_chat "${how}_in_flight"
	cut_links $how 1
	by=$(($(wall_ms) + FREE_MS))
	end_chat "${how}_in_flight"
	check_stream "${how}_in_flight"
	[ $how = refuse ] || check_first_group_free "${how}_in_flight" $by
	begin_chat "${how}_cut"
	end_chat "${how}_cut"
	check_stream "${how}_cut"
	heal_links $how 1
	sleep 1
done
for at in $ENDPOINTS; do
	retire "runner_${at%:*}"
done
sleep 1

# Streams that are under way when the links go, and again when the VM that
# forwards them is killed.
for at in $ENDPOINTS; do
	start_engine "s${at%:*}" "${at#*:}" --events $EVENTS --event-ms 100
done
for how in hang reset; do
	for i in 1 2 3; do
		begin_stream "$how$i"
	done
	for i in 1 2 3; do
		wait_for 5 "the endpoint of $how$i" attempt_has_lead "$how$i" ||
			fail "$how$i: no endpoint got the request"
	done
	cut_links $how 1
	wait_for 3 "a VM that forwards" forwarder >/dev/null
	sleep 1
	helper=$(forwarder) || fail "$how: no VM forwards"
	kill -KILL "$(pid_of "entry_$helper")"
	for i in 1 2 3; do
		check_whole_stream "$how$i"
	done
	heal_links $how 1
	with_mapped_links "$helper" start_process entry "$helper"
	wait_for 10 "entry $helper" entry_is_ready "$helper" ||
		fail "entry $helper is not ready again"
	# In a new process for each way.
	kill -KILL "$(pid_of entry_1)"
	with_mapped_links 1 start_process entry 1
	wait_for 10 "entry 1" entry_is_ready 1 || fail "entry 1 is not ready again"
	sleep 5 # a VM that starts earns its part of the retry budget again
done
