#!/bin/sh
# A stream whose endpoint is silent for a moment, while no other one is left, goes on
# there once it works again, and does not wait for another one up to its deadline.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
STREAMS=4
EVENTS=20

start_all
start_platform_endpoint writer-1 1 --service writer --slots 32 \
	--events $EVENTS --event-ms 50
configure_all '"key-one"'
wait_for 5 "a first stream" chat 1 first || fail "no stream is served"

n=0
while [ $n -lt $STREAMS ]; do
	n=$((n + 1))
	chat 1 "s$n" -H 'Daisyledge-Token-Usage: 100,20' >"$DIR/stream.$n" &
	record_pid "stream_$n" $!
done
sleep 0.4
kill -STOP "$(pid_of runner_writer_1)"
sleep 1.7
kill -CONT "$(pid_of runner_writer_1)"
n=0
while [ $n -lt $STREAMS ]; do
	n=$((n + 1))
	wait "$(pid_of "stream_$n")" || fail "s$n: the stream is broken off"
	seq 1 $EVENTS | sed 's/.*/id: &\ndata: e&\n/' | cmp -s - "$DIR/stream.$n" ||
		fail "s$n: the stream is not complete"
done
grep -q 'An attempt broke' "$DIR/entry-1.log" ||
	fail "no attempt was given up: the silence was too short"
