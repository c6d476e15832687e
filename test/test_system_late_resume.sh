#!/bin/sh
# A stream that breaks shortly before its deadline must be resumed: only the
# rest of its answer has to fit into the time that is left.  One whose only
# endpoint ends must wait for another.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
EVENTS=40

start_all
start_platform_endpoint writer-1 1 --service writer --events $EVENTS \
	--event-ms 100
configure_all '"key-one"'
wait_for 5 "a first stream" chat 1 first || fail "no stream is served"

# At most 51 tokens an event, 4 s of the 5 s that the caller gives.
chat 1 late -H 'Daisyledge-Token-Usage: 1000,2040' >"$DIR/stream" &
record_pid late $!
sleep 1
start_platform_endpoint writer-2 2 --service writer --events $EVENTS \
	--event-ms 100
sleep 2.4
kill -KILL "$(pid_of runner_writer_1)"
wait "$(pid_of late)"
seq 1 $EVENTS | sed 's/.*/id: &\ndata: e&\n/' | cmp -s - "$DIR/stream" || {
	grep 'attempt=late' "$DIR"/entry-1.log >&2
	fail "the stream ends after $(grep -c id: "$DIR/stream") events"
}
grep -q 'An attempt broke.*endpoint=[^ ]*9.1:' "$DIR/entry-1.log" ||
	fail "the stream did not break"

# The only endpoint ends, and another one is there soon after.
kill -KILL "$(pid_of runner_writer_2)"
start_platform_endpoint writer-3 3 --service writer --events $EVENTS \
	--event-ms 50
wait_for 5 "a stream from the third" chat 1 third || fail "no stream is served"
chat 1 alone -H 'Daisyledge-Token-Usage: 1000,2040' >"$DIR/stream" &
record_pid alone $!
sleep 1
kill -KILL "$(pid_of runner_writer_3)"
sleep 0.3
start_platform_endpoint writer-4 4 --service writer --events $EVENTS \
	--event-ms 50
wait "$(pid_of alone)"
seq 1 $EVENTS | sed 's/.*/id: &\ndata: e&\n/' | cmp -s - "$DIR/stream" || {
	grep 'attempt=alone' "$DIR"/entry-1.log >&2
	fail "alone: the stream ends after $(grep -c id: "$DIR/stream") events"
}
