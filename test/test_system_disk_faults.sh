#!/bin/sh
# Disks that fail, under constant change of the configuration by an operator:
# each replica in turn, whether it leads or not, and each fault at each step of a
# write in turn.  During a fault the two others accept changes; after it the
# replica takes part again by itself, nothing acknowledged is lost and no version
# goes back.  At the end all replicas lose power at once.
#
#   DL_DISK_SEED    chooses the cases (2)
#   DL_DISK_CASES   how many; "all" for every fault at every replica (7)
#   DL_DISK_ONLY    only faults whose line matches this expression
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
. test/disk_deploy.sh
VMS_EACH=1
DL_RUNNERS=0
SEED=${DL_DISK_SEED:-2}
CASES=${DL_DISK_CASES:-7}
test_begin zveza

# Each line: how long the fault lasts (s), the call and outcome that show that it
# took place, and the orders, separated by commas.  A write error begins a new
# generation of the journal, so the orders behind it meet its steps.  "kill": the
# process is killed and started again; "power": the VM has lost power as well;
# "twice": it loses power only after the process was started again, which must not
# rely on what had not been synced.
print_faults() {
	cat <<-END
		1.5 write no-room write no-room,create no-room
		0.2 write no-room write no-room 2
		0.5 write short write short
		1.5 write error write error
		0.2 write error write error 1
		1.5 sync error sync error
		0.2 sync error sync error 1
		0.2 sync no-room sync no-room 1
		0.5 create error record error 1,create error 2
		1.5 rename error record error 1,rename error
		0.5 rename error record error 1,rename error 1
		1.5 sync-folder error record error 1,sync-folder error
		0.5 sync-folder error record error 1,sync-folder error 1
		0.5 unlink error record error 1,unlink error
		0.5 unlink error record error 1,rename error 1,unlink error 1
		2.0 write stall write stall
		2.0 sync stall sync stall
		2.0 rename stall record error 1,rename stall
		2.0 sync-folder stall record error 1,sync-folder stall
		kill write kill-before write kill-before 3
		kill write kill-after write kill-after 3
		power write kill-after write kill-after 4
		kill sync kill-before sync kill-before 2
		power sync kill-before sync kill-before 2
		power sync kill-after sync kill-after 2
		kill create kill-after record error 1,create kill-after
		kill rename kill-before record error 1,rename kill-before
		power rename kill-after record error 1,rename kill-after
		kill sync-folder kill-before record error 1,sync-folder kill-before
		power sync-folder kill-after record error 1,sync-folder kill-after
		kill unlink kill-before record error 1,unlink kill-before
		kill unlink kill-after record error 1,unlink kill-after
		power sync kill-after sync error 1,sync kill-after 2
		power write kill-after sync error 1,write kill-after 3
		twice sync kill-before sync error 1,sync kill-before
		twice sync kill-before sync kill-before 2
	END
}

# Each fault at each of the replicas: "ROLE FAULT"; role 0 leads, 1 and 2 do not.
print_cases() {
	print_faults | grep -e "${DL_DISK_ONLY:-}" | awk '{
		for (role = 0; role < 3; role++)
			print role " " $0
	}' | choose_cases "$SEED" "$CASES"
}

leader() {
	leading_replica "$DIR"/replica-1-1.log "$DIR"/replica-2-1.log \
		"$DIR"/replica-3-1.log
}

# An ordered fault takes place before this many more changes have been accepted:
# with 255 kB a change, a journal that grows to the size of a snapshot of 8 MiB,
# the most that is kept of old texts, holds 34.
FAULT_CHANGES=50
# How long none of both may happen, in seconds.
FAULT_S=20
# Not empty: faults are ordered between the sync of a record and its marker.
AT_MARKER=

fault_or_change() { # D KIND OUTCOME COUNT VERSION
	disk_calls_beyond "$1" "$2" "$3" "$4" || acked_beyond "$5"
}

# Make the next write at replica D the marker behind a record.
await_marker() { # D
	stalls=$(disk_calls "$1" sync stall)
	order_disk "$1" "sync stall"
	wait_for $FAULT_S "a sync" disk_calls_beyond "$1" sync stall \
		"${stalls:-0}" || fail "$case: no record is synced"
}

# Order faults, separated by commas, and wait until the expected one has taken
# place.
begin_fault() { # D KIND OUTCOME ORDERS WHEN
	seen=$(disk_calls "$1" "$2" "$3")
	first=$(acked_version)
	[ -z "$AT_MARKER" ] || await_marker "$1"
	order_disk "$1" "$4"
	until disk_calls_beyond "$1" "$2" "$3" "${seen:-0}"; do
		last=$(acked_version)
		[ $((last - first)) -lt $FAULT_CHANGES ] ||
			fail "$5: the fault did not take place in $FAULT_CHANGES changes"
		wait_for $FAULT_S "$2 $3, or a change" fault_or_change "$1" "$2" \
			"$3" "${seen:-0}" "$last" ||
			fail "$5: the fault did not take place, nor a change"
	done
}

# The process was killed by its disk: start it again on one that works.
restart_killed() { # D HOW WHEN
	expect_exit 3 "replica_$1_1" 137 ||
		fail "$3: the replica was not killed"
	order_disk "$1"
	[ "$2" != power ] || lose_power "$1" "$DIR/data-$1-1"
	start_faulty_replica "$1"
	[ "$2" = twice ] || return 0
	check_agreement "$3"
	kill_process "replica_$1_1"
	lose_power "$1" "$DIR/data-$1-1"
	start_faulty_replica "$1"
}

run_case() { # ROLE DURATION KIND OUTCOME ORDERS...
	role=$1 lasts=$2 kind=$3 outcome=$4
	shift 4
	lead=$(leader)
	at=$(((lead + role - 1) % 3 + 1))
	case="replica $at (leader $lead), $lasts, $*"
	begin_fault $at "$kind" "$outcome" "$*" "$case"
	before=$(acked_version)
	case $lasts in
	kill | power | twice)
		restart_killed $at "$lasts" "$case"
		;;
	*)
		wait_for $ACCEPT_S "a change" acked_beyond "$before" ||
			fail "$case: no change is accepted while the disk fails"
		sleep "$lasts"
		order_disk $at
		;;
	esac
	check_agreement "$case"
	check_voter $at "$case"
	for d in 1 2 3; do
		not_running "$(pid_of "replica_${d}_1")" &&
			fail "$case: replica $d has ended"
	done
	echo "passed: $case"
}

# Disks that store nothing, at two replicas or at all: no change is acknowledged,
# and the group works again by itself once they do.  Once two fail, the third need
# not write at all.
check_no_majority() { # ROLE...
	lead=$(leader)
	case="disks fail at once, roles $* (0 leads)"
	fault="sync error"
	for role in "$@"; do
		at=$(((lead + role - 1) % 3 + 1))
		if [ "$fault" = either ]; then
			order_disk $at "write no-room,sync error"
			continue
		fi
		begin_fault $at "${fault% *}" "${fault#* }" "$fault" "$case"
		[ "$fault" = "sync error" ] && fault="write no-room" || fault=either
	done
	sleep 0.2
	before=$(acked_version)
	sleep 2
	if acked_beyond "$before"; then
		fail "$case: a change is acknowledged"
	fi
	for d in 1 2 3; do
		order_disk $d
	done
	check_agreement "$case"
	echo "passed: $case"
}

# Large configurations, so that snapshots are written all the time: a fault then
# meets the generation that a snapshot begins.
check_snapshots() {
	at=$(($(leader) % 3 + 1))
	set_change_size 3000
	for order in "rename error 2" "sync-folder error 2" "unlink error 2" \
		"write no-room 20"; do
		begin_fault $at "${order%% *}" \
			"$(echo "$order" | cut -d' ' -f2)" "$order" \
			"snapshot, $order"
		sleep 0.5
		order_disk $at
		check_agreement "snapshot, $order"
	done
	set_change_size 0
	echo "passed: faults with snapshots"
}

# The text of the last version acknowledged, or the answer that there is none.  A
# replica that has just started refuses to tell for a moment.
get_last() { # D
	"$DL_BIN" get --version "$target" --timeout 3 \
		--entry "$(vm_address "$1" 1):$HTTP_PORT" >"$DIR/kept" \
		2>"$DIR/kept.error" || grep -q 'not stored' "$DIR/kept.error"
}

# All replicas lose power at once; what was acknowledged is still there.
check_power_loss() {
	: >"$DIR/stop"
	wait_for 10 "the end of the changes" not_running "$(pid_of writer)" ||
		fail "the writer does not end"
	for d in 1 2 3; do
		kill_process "replica_${d}_1"
	done
	for d in 1 2 3; do
		lose_power $d "$DIR/data-$d-1"
		start_faulty_replica $d
	done
	target=$(acked_version)
	for d in 1 2 3; do
		wait_for 10 "version $target" replica_has $d "$target" ||
			fail "replica $d lacks version $target after all lost power"
		wait_for 10 "version $target at entry $d" get_last $d ||
			fail "entry $d: no answer for the last version acknowledged"
		cmp -s "$DIR/kept" "$DIR/last.json" ||
			fail "entry $d: the last version acknowledged is another"
	done
}

set_change_size 0
start_changing_group
print_cases >"$DIR/cases"
while read -r line; do
	# shellcheck disable=SC2086
	run_case $line </dev/null
done <"$DIR/cases"
AT_MARKER=yes
run_case 0 power sync-folder kill-after record error 1,sync-folder kill-after
AT_MARKER=
check_no_majority 1 2
check_no_majority 2 0
check_no_majority 1 0 2
check_snapshots
check_power_loss
no_violation "at the end"
echo "$(wc -l <"$DIR/acked") changes acknowledged, $(wc -l <"$DIR/cases") cases, seed $SEED"
