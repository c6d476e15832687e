#!/bin/sh
# Endpoints that are silent for a moment must not cost streams: once the retry
# budget is spent, an attempt waits for its endpoint instead of being broken off.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
STREAMS=24
EVENTS=20

start_all
for i in 1 2; do
	start_platform_endpoint writer-$i $i --service writer --slots 32 \
		--events $EVENTS --event-ms 100
done
configure_all '"key-one"'
wait_for 5 "a first stream" chat 1 first || fail "no stream is served"

n=0
while [ $n -lt $STREAMS ]; do
	n=$((n + 1))
	chat 1 "s$n" -H 'Daisyledge-Token-Usage: 100,20' >"$DIR/stream.$n" &
	record_pid "stream_$n" $!
done
sleep 1
kill -STOP "$(pid_of runner_writer_1)" "$(pid_of runner_writer_2)"
sleep 1.7
kill -CONT "$(pid_of runner_writer_1)" "$(pid_of runner_writer_2)"

broken=0
n=0
while [ $n -lt $STREAMS ]; do
	n=$((n + 1))
	wait "$(pid_of "stream_$n")"
	seq 1 $EVENTS | sed 's/.*/id: &\ndata: e&\n/' |
		cmp -s - "$DIR/stream.$n" || broken=$((broken + 1))
done
gave_up=$(grep -c 'An attempt broke' "$DIR/entry-1.log")
echo "streams: $STREAMS, broken: $broken, attempts given up: $gave_up"
[ "$gave_up" -gt 0 ] || fail "no attempt was given up: the silence was too short"
[ "$broken" -eq 0 ] || fail "$broken streams are not complete"
