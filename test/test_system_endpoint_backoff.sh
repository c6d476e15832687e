#!/bin/sh
# Endpoints that reject requests with Retry-After, which the VM that sent the
# request must honor, while the dispatcher is killed and restarted, and while a
# VM is partitioned.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
ALLOW_CUT=1
SEPARATE_DOMAINS=1
test_begin dala
. test/platform_deploy.sh

GRACE_MS=500 # requests already in flight may still arrive
ALLOWED=2    # requests of a VM after that, during one Retry-After

# The most requests of one VM that reached an endpoint during one Retry-After
# that the endpoint had sent to that VM.  An attempt id contains the number of
# the VM that received the request.
max_requests_during_backoff() {
	sort -n "$DIR/arrivals" | awk -v grace=$GRACE_MS '
		{
			vm = substr($3, 2, 1)
			at[NR] = $1
			who[NR] = $2 " " vm
			wait[NR] = $4 == "shed" ? $5 * 1000 : 0
		}
		END {
			for (i = 1; i <= NR; i++) {
				got = 0
				for (k = i + 1; k <= NR && wait[i] > grace &&
				     at[k] <= at[i] + wait[i]; k++)
					got += who[k] == who[i] &&
						at[k] > at[i] + grace
				if (got > most)
					most = got
			}
			print most + 0
		}'
}

check_backoff() { # WHEN
	got=$(max_requests_during_backoff)
	asked=$(grep -c ' shed ' "$DIR/arrivals")
	echo "$1: $asked rejected, at most $got requests of a VM during one Retry-After"
	[ "$asked" -gt 0 ] || fail "$1: no request was rejected"
	[ "$got" -le $ALLOWED ] || fail "$1: $got requests during one Retry-After, $ALLOWED allowed"
}

start_all
start_shedding_runners
configure_all '"key-one"'
load_all 3
sleep 1

# Some endpoints reject all requests, which the other endpoints serve instead.
: >"$DIR/arrivals"
: >"$DIR/unserved"
shed 2 w1 w2 d1 d2 d3
sleep 5
check_backoff "some endpoints reject"
check_all_served "some endpoints reject"

# A dispatcher that takes over has not seen the earlier Retry-After itself.
d=$(dispatcher_of writer)
kill -KILL "$(pid_of entry_$d)"
sleep 4
start_process entry "$d"
wait_for 10 "entry $d" entry_is_ready "$d" || fail "entry $d is not ready"
sleep 3
check_backoff "the dispatcher is killed"

# Both sides of a partition, each with its own dispatcher.
: >"$DIR/arrivals"
isolate_vm_3
sleep 6
reconnect_vm_3
sleep 4
check_backoff "a VM is partitioned"

# All endpoints of a service reject: its calls are refused at once with
# Retry-After, and served again after that time.
: >"$DIR/arrivals"
shed 1.5 d1 d2 d3 d4
sleep 1
begun=$(wall_ms)
book 1 b1xall 503 -H "$KEY" -i >"$DIR/refused" ||
	fail "a call is not refused: $(cat "$DIR/refused")"
took=$(($(wall_ms) - begun))
[ $took -lt 1000 ] || fail "a call is refused after $took ms"
after=$(tr -d '\r' <"$DIR/refused" | sed -n 's/^retry-after: *//Ip')
echo "refused after $took ms, Retry-After $after s"
awk -v s="${after:-0}" 'BEGIN { exit !(s > 0 && s <= 1.5) }' ||
	fail "Retry-After is '$after'"
sleep 2
check_backoff "all endpoints of a service reject"
rm "$DIR"/shed-*
for d in 1 2 3; do
	wait_for 4 "a call at $d" book $d "b$d" 200 -H "$KEY" ||
		fail "VM $d does not serve again"
done
