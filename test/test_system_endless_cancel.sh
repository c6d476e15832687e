#!/bin/sh
# Guards against connections that pile up: an engine answers a cancellation with
# bytes without end, and the VM reads them for ever.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
DL_RUNNER_OPTIONS='--fault endless-cancel --fault-times 100'
test_begin dala
GAP_MS=1000
CALLERS=4

# Whether as many cancellations have ended as streams were cancelled.
all_have_ended() {
	[ "$(grep -c '^E .* endless$' "$RECORD")" -ge $CALLERS ]
}

set_gap_timeout $GAP_MS
deploy_start || fail "the deployment does not start"
i=0
while [ $i -lt $CALLERS ]; do
	i=$((i + 1))
	$DL_HTTP --stall 700 -X POST -H 'Daisyledge-Deadline-Ms: 9000' \
		-d "{\"model\":\"$MODEL\",\"prompt\":\"s\",\"max_tokens\":900,\"stream\":true}" \
		"$(vm_address 1 1):$HTTP_PORT" /v1/completions >/dev/null 2>&1 &
	record_pid "caller_$i" $!
done
sleep 1.5
# The time to connect and the longest silence, and twice as much for a busy machine.
wait_for 6 "the end of the cancellations" all_have_ended || {
	grep -c ' cancelled$' "$RECORD"
	fail "cancellations are still read"
}
