#!/bin/sh
# The link to one runner stalls, first for the open connections and then for
# all, is then reset, and is then slow, under load.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
test_begin dala
set_gap_timeout 800
CLASSES=test/data/load-models.json
RELAY=127.$NET.120.1

relay() { # COMMAND
	$DL_HTTP -X POST -d "$1" $RELAY:9001 /relay >/dev/null ||
		fail "the relay rejected a command"
}

test/tool_relay --listen $RELAY:9000 --control $RELAY:9001 \
	--to "$(endpoint_address 1)" >>"$DIR/relay.log" 2>&1 &
record_pid relay $!
deploy_start || fail "the deployment does not start"
kill -KILL "$(pid_of endpoint_1)"
start_runner 1 --advertise $RELAY:9000
wait_for 5 "the runner behind the relay" \
	$DL_HTTP "$(endpoint_address 1)" /v1/load || fail "no runner"

(
	sleep 1
	relay '{"back":"silent","old_only":true}'
	sleep 1.5
	relay '{"forward":"silent","back":"silent"}'
	sleep 1.5
	relay '{"forward":"pass","back":"pass","cut":true}'
	sleep 0.5
	relay '{"delay_ms":30}'
	sleep 0.5
	relay '{"delay_ms":0,"cut":true}'
) &
record_pid inject_faults $!
run_load --seconds 6 --done-min 700 || fail "a check of the load failed"
