#!/bin/sh
# A replica starts with an empty folder on a full disk.  It must become a voter
# by itself once there is room, and not end or begin anew before.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

LOG=$DIR/replica-3.log

# A limit of the file size stands for a full disk.  It holds for the log too,
# whose lines follow once there is room.
write_platform_settings replica 3 true
(
	trap '' XFSZ
	ulimit -S -f 0
	exec env DAISYLEDGE_SETTINGS="$DIR/replica-3.json" "$DL_BIN" replica
) >>"$LOG" 2>&1 &
record_pid replica_3 $!
for d in 1 2; do
	start_process replica $d true
done
for d in 1 2 3; do
	start_process entry $d
done
sleep 3
kill -0 "$(pid_of replica_3)" || fail "the replica ended"
[ ! -s "$LOG" ] || fail "the limit has no effect"
prlimit --pid "$(pid_of replica_3)" --fsize=unlimited:unlimited
wait_for 5 "the disk" grep -q "The disk works again" "$LOG" ||
	fail "the replica does not notice that there is room"
wait_for 10 "a leader" grep -q "Leading\|Following.*leader=127" "$LOG" || fail "no leader"
[ "$(grep -c "Started" "$LOG")" -eq 1 ] || fail "the replica started twice"

wait_for 10 "the first configuration" put_config "$(config 5 5000 '"key-one"')" ||
	fail "no configuration is accepted"

# With it, two are a majority.
kill -KILL "$(pid_of replica_1)"
wait_for 10 "a change" put_config "$(config 6 4000 '"key-one"')" ||
	fail "the replica does not count as a voter"
wait_for 5 "the change" config_is_version 6 || fail "the change is not in force"
exit 0
