#!/bin/sh
# Demo: a deployment of emulated endpoints on this machine.  Runs a load, kills
# a VM and a runner, stops another of each, changes the configuration, and
# prints which guarantees held.  Exits 0 only if all did.
#
#   sh test/demo.sh [dala|zveza]
set -u
cd "$(dirname "$0")/.."
. test/deploy.sh

SECONDS_OF_LOAD=${DL_DEMO_SECONDS:-20}
kind=${1:-dala}
work=$(mktemp -d "${TMPDIR:-/tmp}/daisyledge-demo.XXXXXX")
failed=0

demo_end() {
	status=$?
	trap - EXIT
	deploy_stop
	release_subnet
	if [ $status -eq 0 ]; then
		[ -n "${DL_KEEP:-}" ] || rm -rf "$work"
	else
		echo "logs and records are in $work"
	fi
	exit $status
}

report_check() { # RESULT TEXT
	printf '%-9s %s\n' "$1" "$2"
	[ "$1" = held ] || failed=1
}

# The faults and planned changes during the load, announced as they happen.
inject_faults() {
	sleep $((SECONDS_OF_LOAD / 5))
	echo "killing VM $(domain_name 2)-1 with its replica"
	record_vm_down 2 1
	kill -KILL "$(pid_of entry_2_1)" "$(pid_of replica_2_1)"
	sleep $((SECONDS_OF_LOAD / 5))
	echo "killing runner $(endpoint_address 1)"
	kill -KILL "$(pid_of endpoint_1)"
	sleep $((SECONDS_OF_LOAD / 10))
	echo "stopping runner $(endpoint_address 2): it announces that it is leaving"
	kill -TERM "$(pid_of endpoint_2)"
	sleep $((SECONDS_OF_LOAD / 10))
	echo "stopping VM $(domain_name 3)-2: a planned stop under load"
	kill -TERM "$(pid_of entry_3_2)"
	sleep $((SECONDS_OF_LOAD / 10))
	echo "changing the configuration"
	sed 's/"log_level": "info"/"log_level": "warn"/' \
		"$DIR/config.json" >"$DIR/config-2.json"
	"$DL_BIN" apply "$DIR/config-2.json" --wait \
		--timeout 10 --entry "$(vm_address 1 1):$HTTP_PORT" >"$DIR/apply-2.log" 2>&1
	echo $? >"$DIR/apply-2.status"
}

# Whether a VM has put the second configuration in force.
has_second_config() { # ADDRESS
	"$DL_BIN" get --timeout 10 --entry "$1:$HTTP_PORT" 2>/dev/null |
		grep -q '"log_level": *"warn"'
}

check_configuration() {
	[ "$(cat "$DIR/apply-2.status" 2>/dev/null)" = 0 ] || return 1
	for vm in "1 1" "1 2" "2 2" "3 1"; do
		# shellcheck disable=SC2086
		wait_for 5 "the configuration at VM $vm" \
			has_second_config "$(vm_address $vm)" || return 1
	done
}

# The stopped VM exited with status 0 and dropped none of its requests.
check_planned_stop() {
	wait "$(pid_of entry_3_2)"
	[ $? -eq 0 ] || return 1
	! awk -v vm="$(vm_address 3 2):$HTTP_PORT" \
		'$5 == vm && $7 == "nothing" { found = 1 }
		END { exit !found }' "$DIR/results"
}

trap demo_end EXIT
trap 'exit 130' INT TERM
claim_subnet || exit 1
deploy_init "$kind" "$CLAIMED_SUBNET" "$work" || exit 2
echo "starting $kind: 6 VMs, 3 replicas, $RUNNERS runners of" \
	"$MODEL_SERVICE, $PLAINS endpoints of $PLAIN_SERVICE"
deploy_start || exit 1
echo "running the load for $SECONDS_OF_LOAD s"
inject_faults &
injector=$!
record_pid inject_faults $injector
run_load --seconds "$SECONDS_OF_LOAD" \
	>"$DIR/table" 2>"$DIR/faults"
load=$?
wait $injector
grep -v -E '^(held|broken|untested)' "$DIR/table"
echo
grep -E '^(held|broken|untested)' "$DIR/table"
grep -q '^untested' "$DIR/table" && failed=1
[ $load -eq 0 ] || failed=1
if check_planned_stop; then
	report_check held "a planned stop drops no request in flight"
else
	report_check broken "a planned stop drops no request in flight"
fi
if check_configuration; then
	report_check held "an accepted configuration takes effect on every VM and stays in force"
else
	report_check broken "an accepted configuration takes effect on every VM and stays in force"
fi
head -20 "$DIR/faults"
exit $failed
