#!/bin/sh
# A VM that stops admits no request on a forecast that its endpoints do not keep.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

callers() { # TAG OPTION...
	tag=$1
	shift
	test/tool_callers --to "$(entry_address 1)" --tag "$tag" --begin "$begin_ms" \
		-H "$KEY" -H 'Daisyledge-Deadline-Ms: 9000' --warm-path /look/x \
		--every 400 "$@" >"$DIR/callers-$tag" &
	record_pid "$tag" $!
}

start_all
# Streams take 4.5 s; by the model of the service they end within a second.
wait_for 10 "the first configuration" put_config "$(config 5 9000 '"key-one"')" ||
	fail "the first configuration is not accepted"
for i in 1 2 3 4; do
	start_platform_endpoint w$i 1$i --service writer --events 18 --event-ms 250
done
start_platform_endpoint d1 21 --service desk --plain
for d in 1 2 3; do
	wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
done
wait_endpoints_known w1 w2 w3 w4 d1

begin_ms=$(($(date +%s%3N) + 2000))
callers new --path /chat/x --from -1000 --until 7400
callers kept --path /chat/x --kept --from -1000 --until 7400
callers known --path /chat/x --kept --from -1000 --until 7400 \
	-H 'Daisyledge-Token-Usage: 1000,50'
callers slowbody --path /chat/x --from 500 --until 3000 --body-after 1500
callers call --path /book/x --kept --from -1000 --until 7400
sleep 2
kill -TERM "$(pid_of entry_1)"
bad=
for tag in new kept known slowbody call; do
	wait "$(pid_of "$tag")" || bad="$bad $tag"
	tail -1 "$DIR/callers-$tag"
done
grep 'Stopped' "$DIR/entry-1.log"
expect_exit 10 entry_1 0 || fail "the VM does not stop"
[ -z "$bad" ] || {
	grep -hE ' (cut|none) | late$' "$DIR"/callers-* | head -20 >&2
	fail "answers are cut off, missing or refused late:$bad"
}
