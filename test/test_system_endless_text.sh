#!/bin/sh
# Guards against memory that is taken until the deadline of a request: engines send
# events of a completion without end, and its caller wants the text as a whole.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
test_begin dala
CALLERS=4
DEADLINE_MS=9000
# Before the deadline, as soon as the text is longer than any may be.
END_MS=7000

now_ms() {
	date +%s%3N
}

deploy_start || fail "the deployment does not start"
for n in 1 2 3; do
	kill -TERM "$(pid_of endpoint_$n)"
done
for n in 1 2 3; do
	expect_exit 10 endpoint_$n 0 || fail "an engine does not stop"
done
for n in 11 12 13; do
	start_runner $n --fault endless-text --fault-times 1000
done
sleep 2
begun=$(now_ms) i=0
while [ $i -lt $CALLERS ]; do
	i=$((i + 1))
	$DL_HTTP -t 12000 -X POST -H "Daisyledge-Deadline-Ms: $DEADLINE_MS" \
		-d "{\"model\":\"$MODEL\",\"prompt\":\"s\",\"max_tokens\":64}" \
		"$(vm_address 1 1):$HTTP_PORT" /v1/completions >"$DIR/text-$i" 2>&1 &
	record_pid "caller_$i" $!
done
i=0
while [ $i -lt $CALLERS ]; do
	i=$((i + 1))
	wait "$(pid_of caller_$i)" && fail "a completion without end is complete"
done
took=$(($(now_ms) - begun))
peak=$(awk '/^VmHWM/ { print $2 }' "/proc/$(pid_of entry_1_1)/status")
echo "ended after $took ms, peak $peak kB: $(cut -c1-70 "$DIR/text-1")"
[ $took -le $END_MS ] || fail "the text of a completion has no bound"
