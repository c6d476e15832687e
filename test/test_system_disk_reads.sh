#!/bin/sh
# Reads at the replicas while disks fail: once a change is acknowledged, no
# replica returns an older configuration, whether its disk fails, works again,
# or it leads or not.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
. test/disk_deploy.sh
test_begin zveza
. test/platform_deploy.sh

ACCEPT_S=4
[ -z "${DL_SANITIZED:-}" ] || ACCEPT_S=8

# Submit one version after another until $DIR/stop exists, each until it is
# acknowledged.
write_versions() {
	n=5
	while [ ! -e "$DIR/stop" ]; do
		n=$((n + 1))
		until put_config "$(config $n 4000 '"key-one"')"; do
			[ ! -e "$DIR/stop" ] || return 0
			sleep 0.02
		done
		echo $n >>"$DIR/acked"
		sleep 0.05
	done
}

# Read at a replica again and again.  What was acknowledged before a read began
# must be in its answer; a replica that cannot be sure answers with an error.
read_replica() { # D
	while [ ! -e "$DIR/stop" ]; do
		before=$(tail -n 1 "$DIR/acked")
		got=$($DL_HTTP -t 1000 "$(control_address "$1")" /-/Config.Get \
			2>/dev/null | sed -n 's/^{"version":\([0-9]*\),.*/\1/p')
		[ -z "$got" ] || echo "$1" >>"$DIR/reads"
		if [ -n "$got" ] && [ "$got" -lt "$before" ]; then
			echo "replica $1: version $got was read after $before" \
				>>"$DIR/violations"
		fi
		sleep 0.02
	done
}

leader() {
	leading_replica "$DIR"/replica-1.log "$DIR"/replica-2.log \
		"$DIR"/replica-3.log
}

run_case() { # D ORDERS
	when="replica $1 (leader $(leader)), $2"
	order_disk "$1" "$2"
	before=$(acked_version)
	wait_for $ACCEPT_S "a change" acked_beyond "$before" ||
		fail "$when: no change is accepted"
	sleep 0.7
	order_disk "$1"
	before=$(acked_version)
	wait_for $ACCEPT_S "a change" acked_beyond "$before" ||
		fail "$when: no change is accepted afterwards"
	no_violation "$when"
	echo "passed: $when"
}

for d in 1 2 3; do
	on_fault_disk $d "$DIR/data-$d" start_process replica $d true
done
wait_for 10 "the first configuration" put_config "$(config 5 4000 '"key-one"')" ||
	fail "no configuration is accepted"
echo 5 >"$DIR/acked"
: >"$DIR/violations"
: >"$DIR/reads"
write_versions &
record_pid writer $!
for d in 1 2 3; do
	read_replica $d &
	record_pid reader_$d $!
done
sleep 0.5
for orders in "write no-room,create no-room" "sync stall" "sync error" \
	"write stall" "record error 1,rename error 1" "write error 3"; do
	run_case "$(leader)" "$orders"
done
for d in 1 2 3; do
	grep -q "^$d$" "$DIR/reads" || echo "replica $d never led"
done
echo "$(wc -l <"$DIR/acked") changes, $(wc -l <"$DIR/reads") reads"
