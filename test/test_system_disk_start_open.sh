#!/bin/sh
# Replicas that start while their folder cannot be opened, listed or read, or has
# no room for the lock file: once the disk works, the replica becomes a voter by
# itself, with its journal and with an empty folder.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
. test/disk_deploy.sh
VMS_EACH=1
DL_RUNNERS=0
test_begin zveza

run_start_cases <<-END
	synced read error read error
	synced list error list error
	synced open error open error
	empty create no-room write no-room,create no-room
	empty list error list error
	empty open error open error
END
