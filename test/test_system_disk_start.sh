#!/bin/sh
# Replicas that start while their disk cannot be written, under constant change
# of the configuration: once the disk works, the replica becomes a voter by
# itself, with its journal and with an empty folder.
#
#   DL_DISK_SEED    chooses the cases (1)
#   DL_DISK_CASES   how many; "all" for all of them (6)
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
. test/disk_deploy.sh
VMS_EACH=1
DL_RUNNERS=0
test_begin zveza

choose_cases "${DL_DISK_SEED:-1}" "${DL_DISK_CASES:-6}" >"$DIR/chosen" <<-END
	synced sync error sync error 1
	synced sync error sync error
	synced sync-folder error sync-folder error
	synced sync stall sync stall
	torn create no-room write no-room,create no-room
	torn write no-room write no-room
	torn rename error rename error
	empty write error write error
	empty write no-room write no-room
	empty sync error sync error 1
	empty sync-folder error sync-folder error 1
	empty rename error rename error
END
run_start_cases <"$DIR/chosen"
