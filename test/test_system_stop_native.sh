#!/bin/sh
# A VM with a time limit for its stop and callers of the native API, some of whose streams are
# queued: those that cannot end in time are refused, and none is cut off.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=6
entry_settings() { # D V
	printf '"stop_s":4,'
}
test_begin dala
deploy_start || fail "the deployment does not start"

# 220 streams of 2.5 s each begin within a second; over a third of them wait for 1.5 s.
start_streams "$(vm_address 1 1):$HTTP_PORT"
kill -TERM "$(pid_of entry_1_1)"
wait "$(pid_of streams)"
awk '{ n[$6 " " $7 " " $8]++ } END { for (k in n) print n[k], k }' \
	"$DIR/streams" | sort -rn | head -5
expect_exit 20 entry_1_1 0 || fail "the VM does not stop"
grep 'Stopped' "$DIR/entry-1-1.log"
grep -q 'Stopped.*refused=[1-9].* cut=0$' "$DIR/entry-1-1.log" ||
	fail "streams are cut off, or none that waited is refused"
