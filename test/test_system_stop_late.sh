#!/bin/sh
# Guards against calls that a VM takes late in a planned stop, in calm, and cuts off at
# its end: short and long ones, that may be repeated and that may not, on new and on
# kept connections.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

callers() { # TAG PATH OPTION...
	tag=$1 path=$2
	shift 2
	test/tool_callers --to "$(entry_address 1)" --tag "$tag" --begin "$begin_ms" \
		-H "$KEY" -H 'Daisyledge-Deadline-Ms: 9000' \
		-H 'Daisyledge-Token-Usage: 1000,50' --path "$path" \
		--from -1000 --until 7000 --every 300 --timeout 12000 \
		--refuse-within 400 --whole-min 1 "$@" >"$DIR/callers-$tag" &
	record_pid "$tag" $!
	CALLERS="$CALLERS $tag"
}

start_all
wait_for 10 "the first configuration" put_config \
	"$(config 5 9000 '"key-one"' | sed 's/"timeout_ms":2000/"timeout_ms":9000/g')" ||
	fail "the first configuration is not accepted"
start_platform_endpoint long 21 --service desk --plain --answer-ms 4500 --slots 100
start_platform_endpoint short 22 --service writer --events 4 --event-ms 20 --slots 100
for d in 1 2 3; do
	wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
done
wait_endpoints_known long short

CALLERS=
begin_ms=$(($(date +%s%3N) + 2500))
callers book /book/x
callers book_kept /book/x --kept --warm-path /chat/x
callers look /look/x
callers look_kept /look/x --kept --warm-path /chat/x
callers chat /chat/x
callers chat_kept /chat/x --kept --warm-path /chat/x
sleep $(awk -v ms=$((begin_ms - $(date +%s%3N))) 'BEGIN { print ms / 1000 }')
kill -TERM "$(pid_of entry_1)"
bad=
for tag in $CALLERS; do
	wait "$(pid_of "$tag")" || bad="$bad $tag"
	tail -1 "$DIR/callers-$tag"
done
expect_exit 10 entry_1 0 || fail "the VM does not stop"
[ -z "$bad" ] || {
	grep -hE ' (cut|none) | late$' "$DIR"/callers-* | head -20 >&2
	fail "calls are cut off, not answered or refused late:$bad"
}
