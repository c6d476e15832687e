#!/bin/sh
# Endpoints that name a limit on the requests from all VMs together, while the
# VM that dispatches is killed and comes back.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/foreign.sh

STABLE_MS=3000 # by when each VM knows of a limit
WINDOW_MS=4000 # in which requests are counted

# The most requests of a start in any window, from STABLE_MS after its first.
most() { # INSTANCE
	grep " $1\$" "$DIR/arrivals" | sort -n | awk -v w=$WINDOW_MS \
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

# Half as much again as the limit allows, and five.
keeps() { # INSTANCE LIMIT
	allowed=$((3 * $2 * WINDOW_MS / 2000 + 5))
	got=$(most "$1")
	echo "$1: $got requests in $WINDOW_MS ms, $allowed are allowed"
	[ "$got" -le $allowed ] || fail "$1 got $got, allowed $allowed"
	[ "$(grep -c " $1\$" "$DIR/arrivals")" -ge 5 ] ||
		fail "$1 got next to nothing"
}

load() { # D TAG
	n=0
	while :; do
		n=$((n + 1))
		chat "$1" "c$2x$n" >/dev/null
		book "$1" "b$2x$n" 200 -H "$KEY" >/dev/null 2>&1
		book "$1" "e$2x$n" 200 -H "$KEY" >/dev/null 2>&1
		$DL_HTTP -t 2000 -H "$HOST" "$(front "$1")" /look/x \
			>/dev/null 2>&1
	done
}

dispatcher() {
	grep -l 'Dispatching begins here. service=writer' "$DIR"/entry-?.log |
		head -1 | sed 's/.*entry-\(.\).log/\1/'
}

start_all
for i in 1 2 3; do
	limits="--arrivals $DIR/arrivals"
	[ $i -ne 1 ] || limits="$limits --limit 2"
	# shellcheck disable=SC2086
	runner w$i $((10 + i)) --service writer $limits
	# shellcheck disable=SC2086
	runner d$i $((20 + i)) --service desk --plain $limits
done
configure_all '"key-one"'
for d in 1 2 3; do
	wait_for 5 "a stream at $d" chat $d "first$d" || fail "no stream"
	for l in 1 2 3; do
		load $d "$d$l" &
		remember load_$d$l $!
	done
done
sleep 8
d=$(dispatcher)
kill -KILL "$(pid_of entry_$d)"
sleep 5
start entry "$d"
wait_for 10 "entry $d" ready "$d" || fail "entry $d is not ready"
sleep 6
keeps w1 2
keeps d1 2
