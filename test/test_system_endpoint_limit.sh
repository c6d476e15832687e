#!/bin/sh
# Endpoints that announce a limit on their total request rate, over all VMs,
# while the dispatcher is killed and restarted, and while a VM is partitioned.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
ALLOW_CUT=1
SEPARATE_DOMAINS=1
test_begin dala
. test/platform_deploy.sh

STABLE_MS=3000 # until every VM has learned of a limit
WINDOW_MS=4000 # window over which requests are counted

# The most requests of an instance from the given VMs in any window that begins
# at least STABLE_MS after its first request.  An attempt id contains the number
# of the VM that received the request.
max_in_window() { # INSTANCE VMS
	grep " $1 [cbel][$2]x" "$DIR/arrivals" | sort -n | awk -v w=$WINDOW_MS \
		-v stable=$STABLE_MS '
		{ at[n++] = $1 }
		END {
			for (i = 0; i < n; i++) {
				if (at[i] < at[0] + stable)
					continue
				while (at[i] - at[first] >= w ||
				       at[first] < at[0] + stable)
					first++
				if (i - first + 1 > most)
					most = i - first + 1
			}
			print most + 0
		}'
}

# Allows 1.5 times the limit, plus five requests.
check_limit() { # INSTANCE LIMIT VMS
	allowed=$((3 * $2 * WINDOW_MS / 2000 + 5))
	got=$(max_in_window "$1" "$3")
	echo "$1: $got requests of VMs $3 in $WINDOW_MS ms, $allowed allowed"
	[ "$got" -le $allowed ] || fail "$1 got $got requests, $allowed allowed"
	[ "$(grep -c " $1 " "$DIR/arrivals")" -ge 5 ] ||
		fail "$1 got fewer than 5 requests"
}

start_all
for i in 1 2 3; do
	limits="--zone place-$i --arrivals $DIR/arrivals"
	[ $i -eq 2 ] || limits="$limits --limit 2"
	# shellcheck disable=SC2086
	start_platform_endpoint w$i $((10 + i)) --service writer $limits
	# shellcheck disable=SC2086
	start_platform_endpoint d$i $((20 + i)) --service desk --plain $limits
done
configure_all '"key-one"'
load_all 3
sleep 8
d=$(dispatcher_of writer)
kill -KILL "$(pid_of entry_$d)"
sleep 5
start_process entry "$d"
wait_for 10 "entry $d" entry_is_ready "$d" || fail "entry $d is not ready"
sleep 6
for i in w1 w3 d1 d3; do
	check_limit $i 2 123
done

# A partitioned VM has its own dispatcher; each side must keep the limit.
: >"$DIR/arrivals"
isolate_vm_3
sleep 9
reconnect_vm_3
sleep 6
for i in w1 w3 d1 d3; do
	check_limit $i 2 12
	check_limit $i 2 3
done
