#!/bin/sh
# A stream that breaks off is resumed at an endpoint that answers with an error: its
# caller gets no byte of the error's body.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

start_all
configure_all '"key-one"'
start_platform_endpoint w1 11 --service writer --fault cut
wait_endpoints_known w1
chat 1 warm >/dev/null
sleep 5 # until the VM has earned a part of the retry budget
start_platform_endpoint w2 12 --service writer --fault error
wait_endpoints_known w2
resumed=0
for i in 1 2 3 4 5 6; do
	chat 1 "s$i" >"$DIR/stream.$i" && fail "s$i: the stream is complete"
	grep -q "^w2 s$i .* 2 " "$RECORD" || continue
	resumed=$((resumed + 1))
	printf 'id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n' |
		cmp -s - "$DIR/stream.$i" ||
		fail "s$i: $(tail -3 "$DIR/stream.$i" | tr '\n' ' ')"
done
[ $resumed -gt 0 ] || fail "no stream was resumed at the endpoint with the error"
