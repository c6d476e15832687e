#!/bin/sh
# An engine and a plain service that reject requests with Retry-After, in the
# native API: the VM whose request was rejected must back off.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=6
WAIT_MS=2000 # the Retry-After of the emulated endpoints
GRACE_MS=500
ALLOWED=2
test_begin dala
deploy_start || fail "the deployment does not start"

# The most requests of one VM that reached an endpoint during one Retry-After
# that the endpoint had sent to that VM.  A request id begins with the VM that
# received the request.
max_requests_during_backoff() {
	awk -v wait=$WAIT_MS -v grace=$GRACE_MS '
		$1 != "B" && $1 != "X" { next }
		{
			n++
			at[n] = $2
			who[n] = $3 " " substr($4, 1, 12)
			asked[n] = $1 == "X" && $NF == "busy"
		}
		END {
			for (i = 1; i <= n; i++) {
				got = 0
				for (k = 1; k <= n && asked[i]; k++)
					got += who[k] == who[i] &&
						at[k] > at[i] + grace &&
						at[k] <= at[i] + wait
				if (got > most)
					most = got
			}
			print most + 0
		}' "$RECORD"
}

generate_load() { # D
	while :; do
		$DL_HTTP -t 5000 -X POST -H 'Daisyledge-Deadline-Ms: 4000' \
			-d "{\"model\":\"$MODEL\",\"prompt\":\"p\",\"max_tokens\":1}" \
			"$(vm_address "$1" 1):$HTTP_PORT" /v1/completions \
			>/dev/null 2>&1 || echo "completion $1"
		$DL_HTTP -t 5000 "$(vm_address "$1" 1):$HTTP_PORT" \
			"/s/$PLAIN_SERVICE/call" >/dev/null 2>&1 ||
			echo "call $1"
	done >>"$DIR/unserved"
}

for d in 1 2 3; do
	generate_load $d &
	record_pid load_$d $!
done
sleep 1
: >"$DIR/unserved"
# One engine in each of two failure domains, and one plain endpoint in the
# third.
inject_fault 1 busy -1
inject_fault 5 busy -1
inject_fault 9 busy -1
sleep 8
got=$(max_requests_during_backoff)
asked=$(grep -c 'busy$' "$RECORD")
echo "$asked rejected, at most $got requests of a VM during one Retry-After"
[ "$asked" -gt 0 ] || fail "no request was rejected"
[ "$got" -le $ALLOWED ] || fail "$got requests during one Retry-After, $ALLOWED allowed"
[ ! -s "$DIR/unserved" ] || fail "requests failed: $(sort "$DIR/unserved" | uniq -c | tr '\n' ' ')"
