#!/bin/sh
# A VM that gets SIGTERM repeatedly drops none of its streams.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=6
test_begin dala
deploy_start || fail "the deployment does not start"

# 220 streams of 2.5 s each begin within a second; some of them are queued.
start_streams "$(vm_address 1 1):$HTTP_PORT"
for pause in 0.1 0.4 1 2; do
	kill -TERM "$(pid_of entry_1_1)" "$(pid_of replica_1_1)" 2>/dev/null
	sleep $pause
done
wait "$(pid_of streams)"
status=$?
awk '{ n[$6 " " $7 " " $8]++ } END { for (k in n) print n[k], k }' \
	"$DIR/streams" | sort -rn | head -3
[ $status -eq 0 ] || fail "a stream did not complete"
expect_exit 20 entry_1_1 0 || fail "the VM does not stop"
expect_exit 5 replica_1_1 0 || fail "the replica does not stop"
