#!/bin/sh
# Endpoints that turn requests away and ask the VM that sent them to wait, while
# the VM that dispatches is killed and comes back, and while a VM is cut off.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
ALLOW_CUT=1
SEPARATE_DOMAINS=1
test_begin dala
. test/platform_deploy.sh

GRACE_MS=500 # what is on its way may still arrive
ALLOWED=2    # requests of a VM after that, until it may come again

# The most requests of one VM that came to one endpoint in a time in which it
# had asked that VM to wait.  Attempts are named by the VM they were sent to.
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
	echo "$1: $asked turned away, $got requests of a VM in a time to wait"
	[ "$asked" -gt 0 ] || fail "$1: nothing was turned away"
	[ "$got" -le $ALLOWED ] || fail "$1: $got came, $ALLOWED are allowed"
}

start_all
start_shedding_runners
configure_all '"key-one"'
load_all 3
sleep 1

# Some turn everything away; whoever is turned away is served by the others.
: >"$DIR/arrivals"
: >"$DIR/unserved"
shed 2 w1 w2 d1 d2 d3
sleep 5
check_backoff "some turn away"
check_all_served "some turn away"

# A dispatcher that takes over was not there when the endpoints asked to wait.
d=$(dispatcher_of writer)
kill -KILL "$(pid_of entry_$d)"
sleep 4
start_process entry "$d"
wait_for 10 "entry $d" entry_is_ready "$d" || fail "entry $d is not ready"
sleep 3
check_backoff "the dispatcher is killed"

# Both sides of a cut, each with a dispatcher of its own.
: >"$DIR/arrivals"
isolate_vm_3
sleep 6
reconnect_vm_3
sleep 4
check_backoff "a VM is cut off"

# All of a service turn everything away: its calls are refused at once, with the
# time to come back, and served again after that.
: >"$DIR/arrivals"
shed 1.5 d1 d2 d3 d4
sleep 1
begun=$(wall_ms)
book 1 b1xall 503 -H "$KEY" -i >"$DIR/refused" ||
	fail "a call is not refused: $(cat "$DIR/refused")"
took=$(($(wall_ms) - begun))
[ $took -lt 1000 ] || fail "a call is refused after $took ms"
after=$(tr -d '\r' <"$DIR/refused" | sed -n 's/^retry-after: *//Ip')
echo "refused after $took ms, come back in $after s"
awk -v s="${after:-0}" 'BEGIN { exit !(s > 0 && s <= 1.5) }' ||
	fail "the time to come back is '$after'"
sleep 2
check_backoff "all of a service turn away"
rm "$DIR"/shed-*
for d in 1 2 3; do
	wait_for 4 "a call at $d" book $d "b$d" 200 -H "$KEY" ||
		fail "VM $d does not serve again"
done
