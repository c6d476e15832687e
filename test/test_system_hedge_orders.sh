#!/bin/sh
# A grant request is sent to two VMs, the first that dispatches and a second one,
# and a link, a process or the caller goes while both have it.  The request must
# end once, by its deadline, with a whole answer or a true refusal; a call must not
# run twice; and no VM may keep a grant or a queued request, or its endpoints look
# busy until a lease ends.  What a VM decides in each order of answers is tested in
# test_hedge.c; here are the orders that links and processes bring about.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
SEPARATE_DOMAINS=yes
. test/platform_deploy.sh
. test/net_deploy.sh
. test/hedge_deploy.sh
DEADLINE_MS=2000    # of a call
STREAM_MS=5000	    # of a stream
LATE_MS=250	    # of an end after the deadline
TIMEOUT_MS=180	    # until a VM that has not answered is unreachable
TRIES_MAX=8	    # until a row's order comes about

peer_address() { # D
	echo "127.$NET.$1.1:$PEER_PORT"
}

# A VM as it stands in logs: the IP address and the port, in hexadecimal.
vm_id() { # D
	printf '%x' $((((127 << 24 | NET << 16 | $1 << 8 | 1) << 16) | PEER_PORT))
}

# Frames from VM I to VM J pass the relay I-J.
link_address() { # I J PORT
	echo "127.$NET.8.$1$2:$3"
}

link_control() { # I J JSON
	$DL_HTTP -t 2000 -X POST -d "$3" "$(link_address "$1" "$2" $RELAY_CONTROL_PORT)" \
		/relay >/dev/null || fail "no answer of a relay"
}

start_link() { # I J
	test/tool_relay --to "$(peer_address "$2")" \
		--listen "$(link_address "$1" "$2" $RELAY_PORT)" \
		--control "$(link_address "$1" "$2" $RELAY_CONTROL_PORT)" \
		>>"$DIR/relays.log" 2>&1 &
	record_pid "relay_$1$2" $!
}

start_links() {
	for i in 1 2 3; do
		: >"$DIR/map-$i"
		for j in 1 2 3; do
			[ $i != $j ] || continue
			start_link $i $j
			echo "$(peer_address $j) $(link_address $i $j $RELAY_PORT)" \
				>>"$DIR/map-$i"
		done
	done
}

freeze() { # D...
	for vm in "$@"; do
		kill -STOP "$(pid_of "entry_$vm")"
	done
}

thaw() { # D...
	for vm in "$@"; do
		kill -CONT "$(pid_of "entry_$vm")"
	done
}

# Kill a VM; its log, which count_log() reads, is put aside.
kill_entry() { # D
	kill -KILL "$(pid_of "entry_$1")"
	wait "$(pid_of "entry_$1")" 2>/dev/null
	cat "$DIR/entry-$1.log" >>"$DIR/entry-$1.old"
	: >"$DIR/entry-$1.log"
}

# Start the VM that asks anew: it asks a second VM after 60 ms, as it has seen few
# answers, and has the hedged requests of a start.  Answers of frozen VMs in former
# rows would lengthen that time to 180 ms, where no second VM is asked.
restart_asker() {
	kill_entry "$asker"
	with_mapped_links "$asker" start_process entry "$asker"
	wait_for 20 "reachable VMs" first_dispatches || fail "the dispatcher moves"
}

count_log() { # D TEXT
	grep -c "$2" "$DIR/entry-$1.log"
}

# Every VM sees all others and asks them.
all_reachable() {
	for vm in 1 2 3; do
		[ "$(value $vm vms_live)" = "$LIVE" ] || return 1
		for other in 1 2 3; do
			lost=$(count_log $vm "A VM does not respond.* vm=$(vm_id $other) ")
			[ "$(count_log $vm "VM is tried again.* vm=$(vm_id $other) ")" = "$lost" ] ||
				return 1
		done
	done
}

# The first VM dispatches for the row's service, as the asking VM sees it.
first_dispatches() {
	all_reachable && nothing_held || return 1
	finds=$((finds + 1))
	[ "$(current_dispatcher "$service" "$finds" "$asker")" = "$first" ]
}

# Set first, second and asker for a service: a VM that asks neither itself nor, as
# the second one, itself.  Returns 1 where no second VM was asked.
find_roles() { # SERVICE
	service=$1
	wait_for 20 "reachable VMs" all_reachable || fail "a VM is not reachable"
	finds=$((finds + 1))
	first=$(current_dispatcher "$service" "$finds") || fail "no dispatcher of $service"
	asker=$((first % 3 + 1))
	second=$((asker % 3 + 1))
	restart_asker
	freeze "$first"
	finds=$((finds + 1)) row=find$finds
	start_request $row
	wait "$(pid_of request)"
	thaw "$first"
	wait_for 5 "the end of $row" ended || fail "$row has no log line"
	chosen=$(sed -n 's/.*a second VM is asked.* second=\([0-9a-f]*\) .*/\1/p' \
		"$DIR/entry-$asker.log" | head -1)
	[ -n "$chosen" ] || return 1
	if [ "$chosen" = "$(vm_id "$asker")" ]; then
		second=$asker
		asker=$((6 - first - second))
	fi
	echo "$service: VM $asker asks VM $first, then VM $second"
}

find_roles_of() { # SERVICE
	for try in 1 2 3 4 5; do
		find_roles "$1" && return 0
	done
	fail "no second VM was asked in $try tries"
}

# Start a request in the background: its process has no child, and can be killed.
start_request() { # ATTEMPT
	hedged=$(value "$asker" asks_hedged) won=$(value "$asker" asks_hedged_won)
	(
		trap - EXIT
		if [ "$service" = writer ]; then
			path=/chat/x limit=$STREAM_MS
		else
			path=/book/x limit=$DEADLINE_MS
		fi
		exec $DL_HTTP -t $((limit * 2)) -X POST -H "$HOST" -H "$KEY" -d prompt \
			-H 'Daisyledge-Token-Usage: 1000,50' \
			-H "Daisyledge-Attempt-Id: $1" -H "Daisyledge-Deadline-Ms: $limit" \
			"$(entry_address "$asker")" $path
	) >"$DIR/out-$1" 2>>"$DIR/calls.log" &
	record_pid request $!
}

# Wait until the second VM is asked.  Without a pause: the asking VM gives both VMs
# up after 360 ms.
wait_hedged() {
	polls=0
	while [ $polls -lt 100 ]; do
		polls=$((polls + 1))
		[ "$(value "$asker" asks_hedged)" -le "$hedged" ] || return 0
	done
	return 1
}

is_unreachable() { # D LINES
	[ "$(count_log "$asker" "A VM does not respond.* vm=$(vm_id "$1") ")" -gt "$2" ]
}

lines_unreachable() { # D
	count_log "$asker" "A VM does not respond.* vm=$(vm_id "$1") "
}

has_first_event() {
	[ -s "$DIR/out-$row" ]
}

# What happens in each row; returns 1 where the VMs could not be asked both.
caller_leaves() {
	freeze "$first" "$second"
	start_request "$row"
	wait_hedged
	both=$?
	kill -KILL "$(pid_of request)"
	wait "$(pid_of request)" 2>/dev/null
	wait_for 3 "the end of the request" ended || fail "a request whose caller left goes on"
	thaw "$first" "$second"
	return $both
}

link_is_lost() { # D
	lines=$(lines_unreachable "$1")
	freeze "$first" "$second"
	start_request "$row"
	wait_hedged
	both=$?
	link_control "$asker" "$1" '{"cut":true}'
	wait_for 2 "a lost link" is_unreachable "$1" "$lines" || fail "a lost link is not seen"
	thaw "$second" "$first"
	return $both
}

first_link_is_lost() {
	link_is_lost "$first"
}

second_link_is_lost() {
	link_is_lost "$second"
}

second_is_killed() {
	freeze "$first" "$second"
	start_request "$row"
	wait_hedged
	both=$?
	kill_entry "$second"
	wait "$(pid_of request)"
	thaw "$first"
	with_mapped_links "$second" start_process entry "$second"
	return $both
}

second_is_killed_later() {
	freeze "$first"
	start_request "$row"
	wait_for 4 "the first event" has_first_event || fail "a stream does not begin"
	kill_entry "$second"
	thaw "$first"
	wait "$(pid_of request)"
	with_mapped_links "$second" start_process entry "$second"
}

# A link drops the frames of one direction until the request has ended.
link_drops() { # I J
	link_control "$1" "$2" '{"forward":"silent"}'
	start_request "$row"
	wait "$(pid_of request)"
	link_control "$1" "$2" '{"forward":"pass","cut":true}'
}

nothing_to_first() {
	link_drops "$asker" "$first"
}

nothing_from_first() {
	link_drops "$first" "$asker"
}

nothing_to_second() {
	freeze "$first"
	link_drops "$asker" "$second"
	thaw "$first"
}

nothing_from_second() {
	freeze "$first"
	link_drops "$second" "$asker"
	thaw "$first"
}

ended() {
	grep -q "A request ended.* attempt=$row " "$DIR/entry-$asker.log"
}

field() { # NAME
	echo "$line" | sed "s/.* $1=\([^ ]*\).*/\1/"
}

# One end, by the deadline, with a whole answer or a true refusal; one run at most.
check_end() { # OUTCOME
	wait_for 5 "the log line of $row" ended || fail "$row has no log line"
	line=$(grep "A request ended.* attempt=$row " "$DIR/entry-$asker.log")
	[ "$(echo "$line" | wc -l)" = 1 ] || fail "$row ended more than once"
	[ "$service" = writer ] && limit=$STREAM_MS || limit=$DEADLINE_MS
	[ "$(field ms)" -le $((limit + LATE_MS)) ] || fail "$row took $(field ms) ms"
	runs=$(grep -c " $row\( \|$\)" "$RECORD")
	case $1,$(field outcome) in
	done,done)
		[ "$runs" = 1 ] || fail "$row ran $runs times"
		;;
	left,not-run)
		[ "$runs" = 0 ] || fail "$row ran, and was said not to have run"
		;;
	left,*)
		# It was granted before the caller left: another order.
		[ "$runs" -le 1 ] || fail "$row ran $runs times"
		return 1
		;;
	*)
		fail "$row ended: $(field outcome), reason $(field reason), $runs runs"
		;;
	esac
	[ "$service" != writer ] || stream_is_complete "$DIR/out-$row" ||
		fail "the stream $row is not whole"
}

# Whether the request was sent to the row's two VMs, and the second one's grant used
# as often as the row says.  On a machine that stalls, either may be unreachable
# before, which is another order.
counters_agree() { # WON
	hedged=$(($(value "$asker" asks_hedged) - hedged))
	won=$(($(value "$asker" asks_hedged_won) - won))
	echo "$row: hedged=$hedged won=$won asking_ms=$(field asking_ms) outcome=$(field outcome)"
	if [ $hedged -gt 1 ] || [ $won -gt $hedged ]; then
		fail "$row: hedged $hedged, won $won"
	fi
	grep -q "second VM is asked.* vm=$(vm_id "$first") second=$(vm_id "$second") " \
		"$DIR/entry-$asker.log" || return 1
	[ $hedged = 1 ] || fail "$row: a second VM was asked, but hedged $hedged"
	[ $won != "$1" ] || return 0
	# The first VM was given up before the second one answered.
	[ $won = 0 ] && [ "$(field asking_ms)" -ge $TIMEOUT_MS ] ||
		fail "$row: hedged $hedged, won $won"
	return 1
}

granted_late() {
	[ "$(value "$first" grants_total)" -gt "$granted" ]
}

# Run a row until its order has come about; the checks are made each time.
run_row() { # ORDER NAME OUTCOME WON LATE HELD_S
	try=0
	while [ $try -lt $TRIES_MAX ]; do
		try=$((try + 1)) row=b$1x$2x$try
		restart_asker
		granted=$(value "$first" grants_total)
		"$2"
		order=$?
		check_end "$3" || order=1
		counters_agree "$4" || order=1
		wait_for 10 "all VMs" all_serve || fail "$row: a VM is not ready"
		[ "$5" = none ] || wait_for 5 "a late grant" granted_late || order=1
		# The gauges are set twice a second.
		sleep 1
		wait_for $(($6 - 1)) "the release of grants" nothing_held ||
			fail "$row: a VM holds: $(for d in 1 2 3; do
				value $d grants_held
				value $d queue_entries
			done | tr '\n' ' ')"
		[ $order != 0 ] || return 0
		echo "$row: another order"
	done
	fail "$1 $2: the order did not come about in $TRIES_MAX tries"
}

all_serve() {
	for vm in 1 2 3; do
		entry_is_ready $vm || return 1
	done
}

# The rows: the order in docs/design/one-verdict.md, what happens, the outcome, the
# second VM's grants that are used, whether the first VM grants when it goes on, and
# for how long a grant may be held afterwards: 2 s, or as long as a lease (5 s) where
# the VM that holds it could not be told or was a successor of one that is gone.
ROWS='
4 caller_leaves left 0 late 2
5 first_link_is_lost done 0 none 2
5 second_link_is_lost done 0 late 2
7 nothing_to_first done 1 none 2
7 nothing_from_first done 1 late 7
7 nothing_to_second done 0 late 2
7 nothing_from_second done 0 late 7
6 second_is_killed done 0 late 2
'

finds=0
start_links
for d in 1 2 3; do
	start_process replica $d true
	with_mapped_links $d start_process entry $d
done
configure_all '"key-one"'
start_endpoints_of_both --event-ms 300
LIVE=$(value 1 vms_live)
find_roles_of desk
echo "$ROWS" | grep . >"$DIR/rows"
while read -r number name outcome used late held; do
	run_row "$number" "$name" "$outcome" "$used" "$late" "$held"
done <"$DIR/rows"
find_roles_of writer
# The first VM goes on when the stream has begun, too late to grant it.
run_row 6 second_is_killed_later 'done' 1 none 7
