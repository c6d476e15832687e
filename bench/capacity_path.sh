#!/bin/sh
# Measure the processor time that a token and a request cost the entries, with
# real processes on this machine.  Prints lines "slope<TAB>x<TAB>value" like
# build/capacity points: x is the rate per second over three entries, the value
# their processor time.
set -eu
cd "$(dirname "$0")/.."
. test/deploy.sh

SECONDS_EACH=${SECONDS_EACH:-6}
TICKS=$(getconf CLK_TCK)
export VMS_EACH=1 DL_RUNNERS=3
DL_RUNNER_OPTIONS="--decode-rate 60 --slots 1000 --memory 64000000"
DL_RUNNER_OPTIONS="$DL_RUNNER_OPTIONS --prefill-rate 10000000"

# The total processor time of the three entries, in ticks.
entry_ticks() {
	sum=0
	for d in 1 2 3; do
		t=$(sed 's/.*) //' "/proc/$(pid_of entry_${d}_1)/stat" |
			awk '{ print $12 + $13 }')
		sum=$((sum + t))
	done
	echo $sum
}

# The sum of the peak resident memory of the three entries, in kB.
entry_peak_kb() {
	for d in 1 2 3; do
		awk '/^VmHWM/ { print $2 }' "/proc/$(pid_of entry_${d}_1)/status"
	done | awk '{ s += $1 } END { print s }'
}

# A class file of one class: classes RATE MAX_TOKENS
classes() {
	printf '{"workspaces":["almaty-counter"],"classes":[{"name":"counter",'
	printf '"tokens_min":1000,"tokens_max":1000,"max_tokens":%s,' "$2"
	printf '"rate":%s,"deadline_ms":30000}]}\n' "$1"
}

# Run a load and print its processor time: measure SLOPE X RATE MAX_TOKENS
measure() {
	classes "$3" "$4" >"$DIR/classes.json"
	before=$(entry_ticks)
	test/tool_load --entries "$ENTRIES" --classes "$DIR/classes.json" \
		--seconds "$SECONDS_EACH" --quiet --out "$DIR/out" \
		>"$DIR/load.log" 2>&1 || true
	after=$(entry_ticks)
	awk -v s="$1" -v x="$2" -v t=$((after - before)) -v hz="$TICKS" \
		-v secs="$SECONDS_EACH" \
		'BEGIN { printf "%s\t%s\t%.1f\n", s, x, t / hz / secs * 1e6 }'
}

test_begin dala >/dev/null
{
	deploy_start || exit 1
} >&2
measure warm 0 5 10 >/dev/null
for tokens in 600 1200 2400 4800; do
	measure path_token_us $tokens $((tokens / 300)) 300
	echo "path_peak_kb	$((tokens / 60))	$(entry_peak_kb)"
done
for rate in 25 50 100 200; do
	measure path_request_us $rate $rate 1
done
test_end >/dev/null
