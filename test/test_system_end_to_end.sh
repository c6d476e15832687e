#!/bin/sh
# End-to-end run of the real binary: three VMs, three replicas, endpoints, and a
# load of every class; then all processes exit with status 0 on SIGTERM.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=6
test_begin dala
deploy_start || fail "the deployment does not start"

run_load --seconds 4 --done-min 800 || fail "a check of the load failed"

for d in 1 2 3; do
	kill -TERM "$(pid_of entry_${d}_1)"
done
for d in 1 2 3; do
	expect_exit 10 entry_${d}_1 0 || fail "an entry does not stop"
done
for d in 1 2 3; do
	kill -TERM "$(pid_of replica_${d}_1)"
done
for d in 1 2 3; do
	expect_exit 10 replica_${d}_1 0 || fail "a replica does not stop"
done
