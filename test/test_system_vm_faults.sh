#!/bin/sh
# VM faults under load: one VM is killed with its replica, another is suspended
# for 3 s.  Their own callers are disconnected; no other caller may see a
# failure.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=2
DL_RUNNERS=6
test_begin dala
deploy_start || fail "the deployment does not start"

(
	sleep 1
	record_vm_down 2 1
	kill -KILL "$(pid_of entry_2_1)" "$(pid_of replica_2_1)"
	sleep 1
	record_vm_down 1 2
	kill -STOP "$(pid_of entry_1_2)"
	sleep 3
	kill -CONT "$(pid_of entry_1_2)"
	record_vm_up 1 2
) &
record_pid inject_faults $!
run_load --seconds 6 --done-min 700 ||
	fail "a check of the load failed"

start_replica 2
start_entry 2 1
wait_for 10 "all VMs" for_each_vm entry_ready || fail "a VM does not become ready after the faults"
wait_for 10 "service at all VMs" for_each_vm entry_serves_model ||
	fail "a VM does not serve after its restart"
