# Shell functions for system tests with a disk that fails: replicas run with
# test/fake/preload_disk.c, whose orders are changed while they run.  To be
# sourced after test/deploy.sh and before test_begin.
FAULT_LIBRARY=$PWD/test/fault_disk.so
ORDER_SERIAL=0

# The files are in memory where there is room for them: a disk of this machine on
# which other processes write can stall for seconds, at all replicas at once.
MEMORY_FOLDER=/dev/shm
MEMORY_MIN_KB=1000000
memory_kb=$(df -k "$MEMORY_FOLDER" 2>/dev/null | awk 'NR == 2 { print $4 }')
if [ "${memory_kb:-0}" -ge $MEMORY_MIN_KB ] && [ -w "$MEMORY_FOLDER" ]; then
	export TMPDIR="$MEMORY_FOLDER"
fi

# Run a function that starts replica D on a disk whose faults can be ordered.
# FOLDER is the data folder of the replica.
on_fault_disk() { # D FOLDER COMMAND...
	fault_disk=$1 fault_folder=$2
	shift 2
	mkdir -p "$fault_folder"
	had_options=${ASAN_OPTIONS:-}
	export DL_FAULT_FOLDER="$fault_folder" \
		DL_FAULT_ORDERS="$DIR/disk-$fault_disk"
	[ -z "${DL_SANITIZED:-}" ] ||
		export ASAN_OPTIONS="$had_options:verify_asan_link_order=0"
	export LD_PRELOAD="$FAULT_LIBRARY"
	"$@"
	unset LD_PRELOAD DL_FAULT_FOLDER DL_FAULT_ORDERS
	[ -z "${DL_SANITIZED:-}" ] || export ASAN_OPTIONS="$had_options"
}

# Give the disk of replica D these orders instead of its present ones, each in
# the form "KIND FAULT [COUNT]", separated by commas; none makes the disk work.
order_disk() { # D [ORDERS]
	ORDER_SERIAL=$((ORDER_SERIAL + 1))
	{
		echo "# $ORDER_SERIAL"
		echo "${2:-}" | tr ',' '\n'
	} >"$DIR/disk-$1.new"
	mv "$DIR/disk-$1.new" "$DIR/disk-$1"
}

# How many calls of this kind had this outcome at the disk of replica D.
disk_calls() { # D KIND OUTCOME
	grep -c "^[0-9]* $2 $3 " "$DIR/disk-$1.calls" 2>/dev/null
}

# Whether there are more of these calls than before.
disk_calls_beyond() { # D KIND OUTCOME COUNT
	[ "$(disk_calls "$1" "$2" "$3")" -gt "$4" ]
}

# The VM of replica D, whose process was killed, loses power: the bytes that no
# sync has made durable are lost.  Those in files that could not be synced remain
# lost though a later sync of the file succeeded.
lose_power() { # D FOLDER
	awk '
	$2 == "create" && $3 == "ok" || $2 == "unlink" && $3 == "ok" {
		delete writes[$4]; delete lost[$4]
	}
	$2 == "write" && $6 > $5 { writes[$4] = writes[$4] " " $5 ":" $6 }
	$2 == "sync" && $3 == "ok" { delete writes[$4] }
	$2 == "sync" && ($3 == "error" || $3 == "no-room") {
		lost[$4] = lost[$4] writes[$4]; delete writes[$4]
	}
	END {
		for (f in writes) print f writes[f]
		for (f in lost) print f lost[f]
	}' "$DIR/disk-$1.calls" >"$DIR/power-$1"
	while read -r inode ranges; do
		file=$(find "$2" -inum "$inode")
		[ -n "$file" ] || continue
		for range in $ranges; do
			dd if=/dev/zero of="$file" conv=notrunc bs=64k \
				oflag=seek_bytes seek="${range%:*}" \
				iflag=count_bytes \
				count=$((${range#*:} - ${range%:*})) 2>/dev/null
		done
	done <"$DIR/power-$1"
}

# The replica whose log says last that it leads.
leading_replica() { # LOG_OF_1 LOG_OF_2 LOG_OF_3
	n=0
	for log in "$@"; do
		n=$((n + 1))
		grep -E 'Leading\.|Following\.' "$log" | tail -1 |
			sed -n "s/.*Leading.*term=\([0-9]*\).*/\1 $n/p"
	done | sort -n | tail -1 | cut -d' ' -f2
}

# Kill a process by its name in this deployment, and wait for it.
kill_process() { # NAME
	kill -KILL "$(pid_of "$1")" 2>/dev/null
	wait "$(pid_of "$1")" 2>/dev/null
	return 0
}

# --- a listed group under constant change ---

# Times in seconds, longer for sanitized processes: until the group accepts changes
# although one disk fails, and until all have what was accepted once it works.
ACCEPT_S=4
AGREE_S=6
[ -z "${DL_SANITIZED:-}" ] || ACCEPT_S=8 AGREE_S=12

start_faulty_replica() { # D
	on_fault_disk "$1" "$DIR/data-$1-1" start_replica "$1"
}

# Start three replicas on disks whose faults can be ordered, three entries, the
# writer and the readers.
start_changing_group() {
	ENTRY_OPTIONS=
	for d in 1 2 3; do
		start_faulty_replica $d
		start_entry $d 1
		ENTRY_OPTIONS="$ENTRY_OPTIONS --entry $(vm_address $d 1):$HTTP_PORT"
	done
	wait_for 15 "the first configuration" apply_config ||
		fail "no configuration is accepted"
	wait_for 15 "ready entries" for_each_vm entry_ready ||
		fail "the entries are not ready"
	echo "$(version_at 1) first" >"$DIR/acked"
	: >"$DIR/violations"
	write_changes &
	record_pid writer $!
	for d in 1 2 3; do
		read_versions $d &
		record_pid reader_$d $!
	done
}

version_at() { # D
	"$DL_BIN" status --json --timeout 2 \
		--entry "$(vm_address "$1" 1):$HTTP_PORT" 2>/dev/null |
		sed 's/^{"version":\([0-9]*\).*/\1/'
}

acked_version() {
	tail -n 1 "$DIR/acked" | cut -d' ' -f1
}

# Make the configurations of the following changes larger by this many
# workspaces, so that a few of them fill up a journal; 0 for small ones.
set_change_size() { # WORKSPACES
	awk -v n="$1" '{ print } /"workspaces": *{/ {
		for (i = 0; i < n; i++)
			printf "\"a-workspace-with-a-long-name-%d\": " \
				"{\"weight\": 1, \"default_class\": " \
				"\"question\"},\n", i
	}' "$DIR/config.json" >"$DIR/base.new"
	mv "$DIR/base.new" "$DIR/base.json"
}

# Apply one change after another until $DIR/stop exists; each expects the version
# of the one before, so none that was acknowledged can be lost unnoticed.  A
# change without an answer is sent again under its id.
write_changes() {
	version=$(acked_version)
	n=0
	while [ ! -e "$DIR/stop" ]; do
		n=$((n + 1))
		sed "s/\"weight_store_mb_per_s\": [0-9]*/\"weight_store_mb_per_s\": $((1000 + n))/" \
			"$DIR/base.json" >"$DIR/change.json"
		while :; do
			# shellcheck disable=SC2086
			"$DL_BIN" apply $ENTRY_OPTIONS --confirm --expect "$version" \
				--change-id "change-$n" --timeout 8 \
				"$DIR/change.json" >"$DIR/change.out" 2>&1
			code=$?
			[ $code -eq 4 ] && [ ! -e "$DIR/stop" ] || break
			echo "change-$n $(wall_ms)" >>"$DIR/unanswered"
		done
		[ $code -ne 4 ] || break
		version=$((version + 1))
		if [ $code -ne 0 ] ||
			! grep -q "^version $version\b" "$DIR/change.out"; then
			echo "change-$n to version $version: exit status $code:" \
				"$(head -n 6 "$DIR/change.out" | tr '\n' ' ')" \
				>>"$DIR/violations"
			return 1
		fi
		cp "$DIR/change.json" "$DIR/last.json"
		echo "$version change-$n $(wall_ms)" >>"$DIR/acked"
		sleep 0.03
	done
}

# Read the version at an entry again and again; it must not decrease.
read_versions() { # D
	newest=0
	while [ ! -e "$DIR/stop" ]; do
		got=$(version_at "$1")
		if [ -n "$got" ] && [ "$got" -lt "$newest" ]; then
			echo "entry $1: version $got was read after $newest" \
				>>"$DIR/violations"
			return 1
		fi
		newest=${got:-$newest}
		sleep 0.1
	done
}

acked_beyond() { # VERSION
	[ "$(acked_version)" -gt "$1" ]
}

# Whether the entry, or the replica as an entry sees it, has this version.
entry_has() { # D VERSION
	[ "$(version_at "$1")" -ge "$2" ]
}

replica_has() { # D VERSION
	has=$("$DL_BIN" status --json --timeout 2 \
		--entry "$(vm_address $(($1 % 3 + 1)) 1):$HTTP_PORT" |
		tr '{' '\n' |
		sed -n "s/^\"vm\":\"$(vm_address "$1" 1):$REPLICA_PORT\".*\"role\":\"replica\",\"version\":\([0-9]*\).*/\1/p")
	[ "${has:-0}" -ge "$2" ]
}

no_violation() { # WHEN
	[ ! -s "$DIR/violations" ] || fail "$1: $(head -n 3 "$DIR/violations")"
}

# All replicas and entries get what has been acknowledged, and further changes
# are accepted.
check_agreement() { # WHEN
	target=$(acked_version)
	wait_for $ACCEPT_S "a change" acked_beyond "$target" ||
		fail "$1: no change is accepted"
	for d in 1 2 3; do
		wait_for $AGREE_S "version $target" replica_has $d "$target" ||
			fail "$1: replica $d lacks version $target"
		wait_for $AGREE_S "version $target" entry_has $d "$target" ||
			fail "$1: entry $d lacks version $target"
	done
	no_violation "$1"
}

# Whether the group has three voters: none is being replaced any more.  During a
# replacement there are four, and the lost one counts among them.
group_is_whole() {
	others=$("$DL_BIN" status --json --timeout 2 \
		--entry "$(vm_address 1 1):$HTTP_PORT" |
		grep -o '"role":"leader".*"others":.*"orders"' |
		grep -o '"learner":[a-z]*' | tr '\n' ' ')
	[ "$others" = '"learner":false "learner":false ' ]
}

# Replica D stores what it acknowledges: with another replica that does not lead
# suspended, D is needed for each change.
check_voter() { # D WHEN
	wait_for $AGREE_S "three voters" group_is_whole ||
		fail "$2: the group has no three voters: $others"
	lead=$(leading_replica "$DIR"/replica-1-1.log "$DIR"/replica-2-1.log \
		"$DIR"/replica-3-1.log)
	absent=$(($1 % 3 + 1))
	[ "$absent" != "$lead" ] || absent=$((absent % 3 + 1))
	kill -STOP "$(pid_of "replica_${absent}_1")"
	# A change that needed neither may be on its way.
	sleep 0.2
	target=$(acked_version)
	wait_for $ACCEPT_S "a change" acked_beyond "$target"
	took=$?
	kill -CONT "$(pid_of "replica_${absent}_1")"
	[ $took -eq 0 ] || fail "$2: replica $1 is not a voter again"
}

# --- replicas that start on a disk that fails ---

# How long the disk fails after the start, in seconds.
START_FAILS_S=1.5

# Kill a replica and start it while its disk fails; once the disk works, it must
# become a voter by itself.  KIND and OUTCOME show that the fault took place; the
# orders are separated by commas.  FOLDER is what the data folder holds: "synced",
# the journal as the process left it; "torn", a journal without a marker, since
# the VM lost power, which is copied at the start; "empty", nothing.
run_start_case() { # FOLDER KIND OUTCOME ORDERS...
	folder=$1 kind=$2 outcome=$3
	shift 3
	at=$((at % 3 + 1))
	orders=$*
	case="replica $at starts, $folder, $orders"
	kill_process "replica_${at}_1"
	[ "$folder" != torn ] || lose_power $at "$DIR/data-$at-1"
	[ "$folder" != empty ] || rm -rf "$DIR/data-$at-1"
	order_disk $at "$orders"
	seen=$(disk_calls $at "$kind" "$outcome")
	start_faulty_replica $at
	wait_for 5 "$kind $outcome" disk_calls_beyond $at "$kind" "$outcome" \
		"${seen:-0}" || fail "$case: the fault did not take place"
	before=$(acked_version)
	wait_for $ACCEPT_S "a change" acked_beyond "$before" ||
		fail "$case: no change is accepted while the disk fails"
	sleep $START_FAILS_S
	order_disk $at
	if not_running "$(pid_of "replica_${at}_1")"; then
		tail -n 2 "$DIR/replica-$at-1.log" >&2
		fail "$case: the replica has ended"
	fi
	check_agreement "$case"
	check_voter $at "$case"
	echo "passed: $case"
}

# Choose that many of the lines of standard input, in a random order; "all" for
# all of them.
choose_cases() { # SEED COUNT
	awk -v seed="$1" -v count="$2" '
	{ list[n++] = $0 }
	END {
		srand(seed)
		if (count == "all" || count > n)
			count = n
		for (i = 0; i < count; i++) {
			j = i + int(rand() * (n - i))
			t = list[i]; list[i] = list[j]; list[j] = t
			print list[i]
		}
	}'
}

# Run the cases on standard input, one a line, at the replicas in turn.
run_start_cases() {
	at=0
	set_change_size 0
	start_changing_group
	cat >"$DIR/cases"
	while read -r line; do
		# shellcheck disable=SC2086
		run_start_case $line </dev/null
	done <"$DIR/cases"
	no_violation "at the end"
	echo "$(wc -l <"$DIR/acked") changes acknowledged, $(wc -l <"$DIR/cases") cases"
}
