# Shell functions for system tests with a disk that fails: replicas run with
# test/fake/preload_disk.c, whose orders are changed while they run.  To be
# sourced after test/deploy.sh and test_begin.
FAULT_LIBRARY=$PWD/test/fault_disk.so
ORDER_SERIAL=0

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
# the form "KIND FAULT [COUNT]"; none makes the disk work.
order_disk() { # D [ORDER...]
	ordered=$1
	shift
	ORDER_SERIAL=$((ORDER_SERIAL + 1))
	{
		echo "# $ORDER_SERIAL"
		for o in "$@"; do
			echo "$o"
		done
	} >"$DIR/disk-$ordered.new"
	mv "$DIR/disk-$ordered.new" "$DIR/disk-$ordered"
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
			dd if=/dev/zero of="$file" conv=notrunc bs=1 \
				seek="${range%:*}" \
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
