#!/bin/sh
# Runners that crash before the first token and midstream, stall, respond with
# not-run, send malformed streams, return errors, report a false load, and are
# suspended, under load.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=6
test_begin dala
set_gap_timeout 800
deploy_start || fail "the deployment does not start"
CLASSES=test/data/load-models.json

inject_fault 1 die-first 1
inject_fault 2 silent-head 2
inject_fault 3 not-run 3
run_load --seed 1 --seconds 2.5 --done-min 700 ||
	fail "round 1: die-first, silent-head, not-run"
start_runner 1

inject_fault 4 die-midstream 1
inject_fault 5 silent-midstream 2
inject_fault 6 garble 2
run_load --seed 2 --seconds 2.5 --done-min 700 ||
	fail "round 2: die-midstream, silent-midstream, garble"
start_runner 4

inject_fault 1 error 3
inject_fault 2 lie-load -1
(
	sleep 0.5
	kill -STOP "$(pid_of endpoint_3)"
	sleep 2
	kill -CONT "$(pid_of endpoint_3)"
) &
record_pid pause_runner $!
run_load --seed 3 --seconds 2.5 --done-min 700 ||
	fail "round 3: error, false load, a suspended runner"
