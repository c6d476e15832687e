#!/bin/sh
# The disk of the leader has no room for some seconds while a change is applied.
# Once it has had room again for some seconds, another replica is lost with its
# disk.  The first one must be a voter again by then, without a restart: the
# configuration is read and changed on.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
. test/disk_deploy.sh
test_begin zveza
. test/platform_deploy.sh

# How long the disk has no room (ms), and how long it then works before the next
# loss (s).
FULL_MS=4500
WORKS_S=3
# Within this time of a loss a change has to be accepted.
CHANGE_MS=4000
[ -z "${DL_SANITIZED:-}" ] || CHANGE_MS=8000

start_faulty_replica() { # D FOUND
	on_fault_disk "$1" "$DIR/data-$1" start_process replica "$1" "$2"
}

# Submit a version until it is accepted or the time is over.
accepted_in() { # MS VERSION
	change_until=$(($(wall_ms) + $1))
	until put_config "$(config "$2" 4000 '"key-one"')"; do
		[ "$(wall_ms)" -lt $change_until ] || return 1
		sleep 0.1
	done
	[ "$(wall_ms)" -le $change_until ]
}

# A replica that does not lead redirects to the host of the one that does.
replica_reads() { # D VERSION
	$DL_HTTP --head -t 2000 "$(control_address "$1")" /-/Config.Get \
		>"$DIR/read.$1" 2>/dev/null && grep -q "^{\"version\":$2," "$DIR/read.$1" &&
		return 0
	leader=$(sed -n 's|^[Ll]ocation: http://127\.[0-9]*\.\([123]\)\..*|\1|p' \
		"$DIR/read.$1")
	[ -n "$leader" ] && $DL_HTTP -t 2000 "$(control_address "$leader")" \
		/-/Config.Get | grep -q "^{\"version\":$2,"
}

entry_serves() { # D
	book "$1" "by-$1-$(wall_ms)" 200 -H "$KEY"
}

# Whether a version is read at one of the replicas.
any_replica_reads() { # VERSION
	for d in 1 2 3; do
		replica_reads $d "$1" && return 0
	done
	return 1
}

check_version() { # VERSION WHEN
	for d in 1 2 3; do
		wait_for 4 "replica $d" replica_reads $d "$1" ||
			fail "$2: replica $d does not return the configuration"
		wait_for 4 "entry $d" entry_serves $d ||
			fail "$2: entry $d does not serve"
	done
}

# The processes must be those that were started.
check_running() {
	for name in replica_$full replica_$kept entry_1 entry_2 entry_3; do
		if not_running "$(pid_of "$name")"; then
			fail "$name has ended"
		fi
	done
}

for d in 1 2 3; do
	start_faulty_replica $d true
	start_process entry $d
done
start_platform_endpoint d1 3 --service desk --plain
configure_all '"key-one"'
check_version 5 "at the start"

full=$(leading_replica "$DIR/replica-1.log" "$DIR/replica-2.log" "$DIR/replica-3.log")
[ -n "$full" ] || fail "no replica leads"
order_disk "$full" 'write no-room,create no-room'
until_ms=$(($(wall_ms) + FULL_MS))
accepted_in $CHANGE_MS 6 || fail "no change is accepted while a disk is full"
wait_for 4 "version 6" any_replica_reads 6 ||
	fail "the configuration cannot be read while a disk is full"
[ "$(disk_calls "$full" write no-room)" -gt 0 ] ||
	fail "the disk was not full: no write failed"
left_ms=$((until_ms - $(wall_ms)))
[ $left_ms -le 0 ] || sleep "$((left_ms / 1000)).$(printf %03d $((left_ms % 1000)))"
order_disk "$full"
sleep $WORKS_S

lost=$(leading_replica "$DIR/replica-1.log" "$DIR/replica-2.log" "$DIR/replica-3.log")
[ "$lost" != "$full" ] || lost=$((full % 3 + 1))
kept=$((6 - full - lost))
kill_process "replica_$lost"
rm -rf "$DIR/data-$lost"
begun=$(wall_ms)
start_faulty_replica "$lost" false
accepted_in $CHANGE_MS 7 ||
	fail "no change is accepted after another replica lost its disk"
echo "a change is accepted $(($(wall_ms) - begun)) ms after the loss"
check_version 7 "after another replica lost its disk"
check_running
