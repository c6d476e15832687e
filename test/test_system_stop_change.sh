#!/bin/sh
# A replica that stops answers the changes that operators have sent to it, or are sending.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
. test/disk_deploy.sh
test_begin dala
. test/platform_deploy.sh

for d in 1 2 3; do
	on_fault_disk $d "$DIR/data-$d" start_process replica $d true
	start_process entry $d
done
configure_all '"key-one"'
log_of() {
	echo "$DIR/replica-$1.log"
}
# Lines reach the logs a moment after what they tell of.
leader_is_logged() {
	leader=$(leading_replica "$(log_of 1)" "$(log_of 2)" "$(log_of 3)")
	[ -n "$leader" ]
}
wait_for 5 "the leader in the logs" leader_is_logged || fail "no leader is logged"

# The disks of the others hold changes up for longer than a replica may take to stop.
for d in 1 2 3; do
	[ $d = "$leader" ] || order_disk $d "sync stall"
done
for v in 6 7 8; do
	$DL_HTTP -t 5000 -X POST -d "$(config $v 5000 '"key-one"')" \
		"$(control_address "$leader")" /-/Config.Put >"$DIR/change-$v" 2>&1 &
	record_pid "change_$v" $!
	sleep 0.1
done
kill -TERM "$(pid_of "replica_$leader")"
sleep 2
for d in 1 2 3; do
	[ $d = "$leader" ] || order_disk $d
done
lost=
for v in 6 7 8; do
	wait "$(pid_of change_$v)"
	status=$?
	echo "change $v: exit status $status, $(cat "$DIR/change-$v")"
	[ $status -le 1 ] || lost="$lost $v"
done
[ -z "$lost" ] || fail "changes were not answered:$lost"
expect_exit 5 "replica_$leader" 0 || fail "the replica does not stop"

# Uploads of which the second part comes 0.8 s later; they are no configuration.
follower=$((leader % 3 + 1))
test/tool_callers --to "$(control_address $follower)" --tag upload \
	--begin "$(date +%s%3N)" --path /-/Config.Put --until 400 --body-after 800 \
	--gone-max 0 >"$DIR/uploads" &
record_pid uploads $!
sleep 0.6
kill -TERM "$(pid_of replica_$follower)"
wait "$(pid_of uploads)"
status=$?
cat "$DIR/uploads"
[ $status -eq 0 ] || fail "an upload was not answered"
expect_exit 5 "replica_$follower" 0 || fail "the other replica does not stop"
