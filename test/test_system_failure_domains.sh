#!/bin/sh
# Three failure domains in one region, on the real binary: a request is served
# in the failure domain of its VM, and by the others only if that domain has no
# endpoint.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
SEPARATE_DOMAINS=yes
. test/platform_deploy.sh

start_all
configure_all '"key-one"'
# After the configuration: before it, dispatchers have no pool for an endpoint.
for d in 1 2 3; do
	start_platform_endpoint "w$d" $d --zone "place-$d" --service writer
	start_platform_endpoint "d$d" $((d + 3)) --zone "place-$d" --service desk --plain
done
wait_endpoints_known w1 w2 w3 d1 d2 d3

# Streams and plain calls stay in their failure domain.
for n in 1 2 3 4 5 6; do
	for d in 1 2 3; do
		chat $d "stream-$d-$n" >"$DIR/stream" && stream_is_complete "$DIR/stream" ||
			fail "a stream is not whole"
		book $d "call-$d-$n" 200 -H "$KEY" >/dev/null ||
			fail "a call is not served"
	done
done
for d in 1 2 3; do
	[ "$(grep -c "^w$d stream-$d-" "$RECORD")" = 6 ] ||
		fail "a stream left the failure domain of its VM"
	[ "$(grep -c "^d$d call-$d-" "$RECORD")" = 6 ] ||
		fail "a call left the failure domain of its VM"
done
grep 'A request ended' "$DIR"/entry-?.log | grep -q 'away=[1-9]' &&
	fail "a request is logged as served outside its failure domain"

# A failure domain without endpoints is served by the others.
retire runner_w3
retire runner_d3
for d in 1 2 3; do
	for name in w3 d3; do
		wait_for 3 "the leaving of $name" grep -q "leaves.*instance=$name " \
			"$DIR/entry-$d.log" || fail "VM $d does not know that $name is leaving"
	done
done
for n in 1 2 3; do
	chat 3 "away-$n" >"$DIR/stream" && stream_is_complete "$DIR/stream" ||
		fail "a stream without an endpoint in its failure domain is not served"
	book 3 "away-call-$n" 200 -H "$KEY" >/dev/null ||
		fail "a call without an endpoint in its failure domain is not served"
done
[ "$(grep -c '^w[12] away-' "$RECORD")" = 3 ] ||
	fail "a stream did not run in another failure domain"
grep 'attempt=away-1 ' "$DIR/entry-3.log" | grep -q 'away=1' ||
	fail "a request is not logged as served outside its failure domain"
