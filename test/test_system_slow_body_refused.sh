#!/bin/sh
# A stream whose body takes longer than callers wait for a first event is served: its caller
# waits from the end of its body on.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

start_all
wait_for 10 "the first configuration" put_config "$(config 5 9000 '"key-one"')" ||
	fail "the first configuration is not accepted"
start_platform_endpoint w1 11 --service writer --slots 8 --events 4 --event-ms 20
wait_for 10 "entry 1" entry_is_ready 1 || fail "entry 1 is not ready"
wait_endpoints_known w1

# Callers of this route give up after 2 s of silence.
begin_ms=$(($(date +%s%3N) + 500))
test/tool_callers --to "$(entry_address 1)" --tag slowbody --begin $begin_ms -H "$KEY" \
	-H 'Daisyledge-Deadline-Ms: 9000' -H 'Daisyledge-Token-Usage: 1000,50' \
	--path /chat/x --from 0 --until 1000 --every 250 --body-after 2500 \
	--whole-min 4 >"$DIR/callers" || {
	cat "$DIR/callers" >&2
	fail "streams with slow bodies are not served"
}
tail -1 "$DIR/callers"
