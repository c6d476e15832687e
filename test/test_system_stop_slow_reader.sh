#!/bin/sh
# A VM that stops does not end while a caller still reads an answer, as long as it may run.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
mkdir -p "$DIR/endings"

read_answer() { # ATTEMPT RATE
	$DL_HTTP --rate "$2" -H "$HOST" -H "$KEY" -H "Daisyledge-Attempt-Id: $1" \
		"$(entry_address 1)" "/look/long-200-4000000-4000000-$1" \
		>"$DIR/$1" 2>&1 &
	record_pid "$1" $!
}

start_all
configure_all '"key-one"'
start_platform_endpoint d1 21 --service desk --plain --endings "$DIR/endings"
wait_endpoints_known d1
stopped_ms=$(date +%s%3N)
kill -TERM "$(pid_of entry_1)"
sleep 0.5
read_answer slow 800000
read_answer tooslow 100000
wait "$(pid_of slow)"
slow=$?
expect_exit 10 entry_1 0 || fail "the VM does not stop"
took_ms=$(($(date +%s%3N) - stopped_ms))
wait "$(pid_of tooslow)" && fail "an answer that cannot be read by then is whole"
echo "slow: $(cat "$DIR/slow"); too slow: $(cat "$DIR/tooslow"); stopped after $took_ms ms"
[ $slow -eq 0 ] || fail "the answer is not whole"
# stop_s is 8; the rest is for this script, where the machine is busy.
[ $took_ms -lt 8700 ] || fail "the VM runs for too long"
lost=$(grep 'attempt=tooslow ' "$DIR/entry-1.log" | grep -o 'request=[^ ]*' | head -1)
grep -q "An answer was broken off. $lost .*stopping" "$DIR/entry-1.log" ||
	fail "the answer that was broken off is not logged: $lost"
