#!/bin/sh
# Right after a change was acknowledged a replica loses its disk, and at the same
# moment all other processes lose power, the entries too: what no sync has made
# durable is lost.  After the restart the change is in force and requests are
# served.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
. test/disk_deploy.sh
test_begin dala
. test/platform_deploy.sh
METRICS_PORT=7500
RECOVER_S=12
[ -z "${DL_SANITIZED:-}" ] || RECOVER_S=24

# As in platform_deploy.sh, with replicas on disks that can lose what is not synced.
start_process() { # ROLE D FOUND
	write_platform_settings "$@"
	[ "$1" = entry ] || sed -i "s/\"foreign\":true,/&\"metrics\":\"$(metrics_of "$2")\",/" \
		"$DIR/$1-$2.json"
	export DAISYLEDGE_SETTINGS="$DIR/$1-$2.json"
	if [ "$1" = replica ]; then
		on_fault_disk "$2" "$DIR/data-$2" start_binary "$@"
	else
		start_binary "$@"
	fi
}

metrics_of() { # D
	echo "127.$NET.$1.2:$METRICS_PORT"
}

start_binary() { # ROLE D
	"$DL_BIN" "$1" >>"$DIR/$1-$2.log" 2>&1 &
	record_pid "$1_$2" $!
}

leader() {
	leading_replica "$DIR/replica-1.log" "$DIR/replica-2.log" "$DIR/replica-3.log"
}

# All processes end at once; replica LOST comes back with an empty disk, the
# others without what they had not synced.
lose_all() { # LOST
	for role in replica entry; do
		for d in 1 2 3; do
			kill -KILL "$(pid_of "${role}_$d")"
		done
	done
	for role in replica entry; do
		for d in 1 2 3; do
			wait "$(pid_of "${role}_$d")" 2>/dev/null
		done
	done
	for d in 1 2 3; do
		[ "$d" = "$1" ] || lose_power "$d" "$DIR/data-$d"
	done
	rm -rf "$DIR/data-$1"
	for d in 1 2 3; do
		start_process replica $d false
		start_process entry $d
	done
}

# A replica, the leader, hears three voters: the one with a new disk is one again.
group_is_whole() {
	for d in 1 2 3; do
		[ "$(metric "$(metrics_of $d)" voters)" = 3 ] &&
			[ "$(metric "$(metrics_of $d)" voters_heard)" = 3 ] && return 0
	done
	return 1
}

check_round() { # VERSION LOST
	wait_for 8 "version $1" put_config "$(config "$1" 4000 '"key-one"')" ||
		fail "version $1 is not accepted"
	lose_all "$2"
	wait_for $RECOVER_S "version $1 after all" config_is_version "$1" ||
		fail "version $1 was acknowledged and is not in force after the loss"
	for d in 1 2 3; do
		wait_for $RECOVER_S "entry $d" entry_is_ready $d ||
			fail "entry $d is not ready after the loss"
		wait_for $RECOVER_S "a call at $d" book $d "after$1x$d" 200 -H "$KEY" ||
			fail "no call is served at $d after the loss"
	done
	wait_for $RECOVER_S "the group" group_is_whole ||
		fail "replica $2 does not become a voter again"
}

start_all
configure_all '"key-one"'
for d in 1 2 3; do
	start_platform_endpoint "d$d" $((d + 3)) --service desk --plain
done
wait_endpoints_known d1 d2 d3
version=5
for which in leader follower leader follower; do
	version=$((version + 1))
	lost=$(leader)
	[ $which = leader ] || lost=$((lost % 3 + 1))
	check_round $version "$lost"
	echo "version $version: replica $lost lost its disk, a $which"
done
