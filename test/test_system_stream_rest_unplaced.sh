#!/bin/sh
# A stream that breaks off is resumed at an endpoint whose answer is no stream: its
# caller gets no byte of it.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

resumed_at() { # NAME TAG
	resumed=0
	for i in 1 2 3 4 5 6; do
		chat 1 "$2$i" >"$DIR/stream.$2$i" && ended=whole || ended=broken
		grep -q "^$1 $2$i .* 2 " "$RECORD" || continue
		resumed=$((resumed + 1))
		printf 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n' |
			cmp -s - "$DIR/stream.$2$i" ||
			fail "$2$i: $(tr '\n' ' ' <"$DIR/stream.$2$i")"
		[ $ended = broken ] || fail "$2$i: the stream is complete"
	done
	[ $resumed -gt 0 ] || fail "no stream was resumed at $1"
}

start_all
configure_all '"key-one"'
start_platform_endpoint w1 11 --service writer --fault cut
wait_endpoints_known w1
chat 1 warm >/dev/null
sleep 5 # until the VM has earned a part of the retry budget
start_platform_endpoint w3 13 --service writer --fault json
wait_endpoints_known w3
resumed_at w3 j
