#!/bin/sh
# Calls with an idempotency key whose answer is not kept, as it is too long or a
# stream: a resend through any VM does not run, and gets no 2xx, which would have
# no body.  An answer that is short comes again as it was.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
test_begin dala
# One above what is kept, and one above what is held before it is sent on.
PADS="17000 1200000"

# Send a call that may run once: confirm D KEY PAD [OPTION...]
confirm() {
	d=$1 key=$2 pad=$3
	shift 3
	$DL_HTTP -t 6000 -X POST -H "Idempotency-Key: $key" \
		-H 'Daisyledge-Idempotent: no' \
		-H 'Daisyledge-Deadline-Ms: 5000' -d seat "$@" \
		"$(vm_address "$d" 1):$HTTP_PORT" \
		"/s/$PLAIN_SERVICE/confirm?pad=$pad"
}

stream() { # D KEY [OPTION...]
	d=$1 key=$2
	shift 2
	$DL_HTTP -t 6000 -X POST -H "Idempotency-Key: $key" \
		-H 'Daisyledge-Idempotent: no' \
		-H 'Daisyledge-Deadline-Ms: 5000' "$@" \
		-d "{\"model\":\"$MODEL\",\"prompt\":\"p\",\"max_tokens\":3,\"stream\":true}" \
		"$(vm_address "$d" 1):$HTTP_PORT" /v1/completions
}

count_executions() { # KEY
	grep -c "^B .* $1 " "$RECORD"
}

# Check that a resend was refused as done: check_refused WHAT FILE
check_refused() {
	grep -qi '^daisyledge-outcome: done' "$2" || {
		cat "$2"
		fail "$1: the resend is not told that it was done"
	}
	grep -q 'answer-not-kept' "$2" || fail "$1: the resend is not told why"
}

deploy_start || fail "the deployment does not start"

first=$(confirm 1 short 100) || fail "short: $first"
[ "$(confirm 2 short 100)" = "$first" ] || fail "short: another answer"

for pad in $PADS; do
	confirm 1 "long-$pad" "$pad" >"$DIR/first" || fail "$pad: no answer"
	[ "$(wc -c <"$DIR/first")" -gt "$pad" ] || fail "$pad: the answer is short"
	for d in 2 3 1; do
		confirm $d "long-$pad" "$pad" -e 409 --head >"$DIR/again" || {
			head -c 600 "$DIR/again"
			fail "$pad: the resend through VM $d is answered so"
		}
		check_refused "$pad" "$DIR/again"
	done
	[ "$(count_executions "long-$pad")" = 1 ] || fail "$pad: it ran again"
done

stream 1 stream >"$DIR/first" || fail "stream: no answer"
grep -q 'data: \[DONE\]' "$DIR/first" || fail "stream: it is not whole"
for d in 2 3 1; do
	stream $d stream -e 409 --head >"$DIR/again" || {
		head -c 600 "$DIR/again"
		fail "stream: the resend through VM $d is answered so"
	}
	check_refused stream "$DIR/again"
done
