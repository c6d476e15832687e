#!/bin/sh
# The end of a system test kills what the test has started, and no process that has the
# id of one of them by now.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
DIR=$(mktemp -d "${TMPDIR:-/tmp}/test_deploy_stop.XXXXXX")
: >"$DIR/pids"
sleep 60 &
own=$!
record_pid own $own
sleep 60 &
other=$!
echo "ended $other 1" >>"$DIR/pids"
echo "unknown $other " >>"$DIR/pids"
(deploy_stop)
sleep 0.2
rm -rf "$DIR"
alive=1
kill -0 $other 2>/dev/null && alive=0
kill $other 2>/dev/null
not_running $own || { kill $own; echo "test_deploy_stop: an own process lives"; exit 1; }
[ $alive -eq 0 ] || { echo "test_deploy_stop: another process was killed"; exit 1; }
echo "test_deploy_stop: passed"
