#!/bin/sh
# A stream whose events have no ids breaks off: it cannot be resumed, and no event comes
# to its caller twice.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

start_all
configure_all '"key-one"'
start_platform_endpoint w1 11 --service writer --fault cut --no-ids
wait_endpoints_known w1
chat 1 warm >/dev/null
start_platform_endpoint w2 12 --service writer --no-ids
wait_endpoints_known w2
broken=0
for i in 1 2 3 4 5 6; do
	chat 1 "s$i" >"$DIR/stream.$i" || broken=$((broken + 1))
	[ -z "$(sort "$DIR/stream.$i" | grep data | uniq -d)" ] ||
		fail "s$i: twice: $(tr '\n' ' ' <"$DIR/stream.$i")"
done
[ $broken -gt 0 ] || fail "no stream broke off"

# Silence does not break it off either: it goes on once its endpoint does.
start_platform_endpoint w3 13 --service writer --no-ids --events 20 --event-ms 50
wait_endpoints_known w3
retire runner_w1
retire runner_w2
sleep 1
chat 1 silent >"$DIR/silent" &
record_pid silent $!
sleep 0.4
kill -STOP "$(pid_of runner_w3)"
sleep 1.7
kill -CONT "$(pid_of runner_w3)"
wait "$(pid_of silent)" || fail "a silent stream is broken off"
[ "$(grep -c data "$DIR/silent")" -eq 20 ] || fail "a silent stream is not whole"
