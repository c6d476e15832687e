#!/bin/sh
# The only VM of a failure domain stops, while the endpoints of that domain
# announce themselves to VMs of other domains: requests queued at it must still
# be served.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
test_begin dala
ANNOUNCE_TO=$(vm_address 2 1):$HTTP_PORT
deploy_start || fail "the deployment does not start"

start_streams "$(vm_address 1 1):$HTTP_PORT"
kill -TERM "$(pid_of entry_1_1)"
wait "$(pid_of streams)"
status=$?
awk '{ n[$6 " " $7 " " $8]++ } END { for (k in n) print n[k], k }' \
	"$DIR/streams" | sort -rn | head -3
[ $status -eq 0 ] || fail "a stream did not complete"
expect_exit 20 entry_1_1 0 || fail "the VM does not stop"
