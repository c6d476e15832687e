#!/bin/sh
# Planned stops: a VM with 200 streams in flight gets SIGTERM and drops none; a
# runner announces that it is leaving and gets no new request from any VM after
# 2 s.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=6
test_begin dala
deploy_start || fail "the deployment does not start"

# 220 streams of 2.5 s each begin within a second, all through one VM.
start_streams "$(vm_address 1 1):$HTTP_PORT"
kill -TERM "$(pid_of entry_1_1)"
kill -TERM "$(pid_of endpoint_1)"
ENTRIES=$(vm_address 2 1):$HTTP_PORT,$(vm_address 3 1):$HTTP_PORT
run_load --seconds 4 --done-min 800 || fail "a check of the load failed"
wait "$(pid_of streams)"
status=$?
cut=$(grep -c ' nothing ' "$DIR/streams")
echo "streams: $(wc -l <"$DIR/streams"), cut: $cut"
[ "$cut" -eq 0 ] || fail "$cut streams were dropped"
[ $status -eq 0 ] || {
	head "$DIR/streams.faults" >&2
	fail "a stream did not complete"
}
expect_exit 20 entry_1_1 0 || fail "the VM does not stop"
expect_exit 10 endpoint_1 0 || fail "the runner does not stop"
