#!/bin/sh
# Guards against an endpoint that has deregistered and is used again, by a
# process that was not told or has forgotten: killed and started again, killed
# after it acknowledged the departure, frozen, cut off; with a heartbeat that the
# endpoint had sent before and that arrives late.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
ALLOW_CUT=yes
. test/platform_deploy.sh

DRAIN_MS=2000
# After a disturbance, a VM is in touch again.
IN_TOUCH_S=2
REQUESTS=12

start_all
start_platform_endpoint stay 1 --service desk --plain
configure_all '"key-one"'
wait_endpoints_known stay
host=10

now_ms() {
	date +%s%3N
}

# Start an endpoint that leaves without announcing it first.
start_leaving() { # NAME
	host=$((host + 1))
	start_platform_endpoint "$1" $host --service desk --plain --abrupt \
		--arrivals "$DIR/arrivals-$1" --late-to "$DIR/late-$1"
	wait_endpoints_known "$1"
}

deregister() { # NAME
	kill -USR1 "$(pid_of "runner_$1")"
	wait_for 3 "the departure of $1" grep -q "An endpoint leaves.*instance=$1 " \
		"$DIR/replica-1.log" "$DIR/replica-2.log" "$DIR/replica-3.log" ||
		fail "the departure of $1 is not known"
	left_at=$(now_ms)
}

late_heartbeat() { # NAME D
	control_address "$2" >"$DIR/late-$1"
	kill -USR2 "$(pid_of "runner_$1")"
}

restart() { # ROLE D
	kill -KILL "$(pid_of "$1_$2")"
	sleep 0.3
	start_process "$1" "$2" false
}

in_contact() {
	get_config >/dev/null
}

# Send requests through all VMs and check that none reaches the endpoint more
# than DRAIN_MS after its departure was known.
check_unused() { # NAME WHEN
	n=0 served=0
	while [ $n -lt $REQUESTS ]; do
		n=$((n + 1))
		for d in 1 2 3; do
			$DL_HTTP -t 2000 -H "$HOST" -H "Daisyledge-Attempt-Id: $1-$n-$d" \
				"$(entry_address $d)" /look/x >/dev/null 2>&1 &&
				served=$((served + 1))
		done
		sleep 0.05
	done
	[ $served -gt $REQUESTS ] || fail "$2: only $served requests are served"
	late=$(awk -v end=$((left_at + DRAIN_MS)) '$1 > end' "$DIR/arrivals-$1" 2>/dev/null)
	[ -z "$late" ] || fail "$2: requests reach an endpoint that left: $late"
	kill -TERM "$(pid_of "runner_$1")" || fail "$2: the endpoint has ended"
}

restart_entries() { # D...
	for d in "$@"; do
		restart entry "$d"
	done
	for d in "$@"; do
		wait_for 10 "entry $d" entry_is_ready "$d" ||
			fail "entry $d is not ready"
	done
}

# Two replicas know of the departure.
start_leaving killed
deregister killed
restart replica 2
restart_entries 1 2 3
sleep $IN_TOUCH_S
late_heartbeat killed 2
sleep 1
check_unused killed "a replica and the entries were killed"

# One entry knows of it.
start_leaving teller
deregister teller
for d in 1 2 3; do
	restart replica $d
done
wait_for 10 "the group" in_contact || fail "no replica leads"
restart_entries 1 2
sleep $IN_TOUCH_S
late_heartbeat teller 1
late_heartbeat teller 2
sleep 1
check_unused teller "the replicas and two entries were killed"

# The entries read nothing for longer than their connections may be silent.
start_leaving frozen
for d in 1 2 3; do
	kill -STOP "$(pid_of entry_$d)"
done
sleep 0.2
deregister frozen
sleep 2
for d in 1 2 3; do
	kill -CONT "$(pid_of entry_$d)"
done
sleep $IN_TOUCH_S
check_unused frozen "the entries were frozen"

start_leaving cut
isolate_vm_3
sleep 2.5
deregister cut
sleep 1
reconnect_vm_3
wait_for 10 "entry 3" entry_is_ready 3 || fail "entry 3 is not ready"
sleep $IN_TOUCH_S
late_heartbeat cut 3
sleep 1
check_unused cut "a VM was cut off"
