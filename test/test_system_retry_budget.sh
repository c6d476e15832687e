#!/bin/sh
# Endpoints of a service fail all requests, at all VMs at once: together the VMs
# must not repeat more than the deployment allows in the window, and callers
# whose request is not repeated get the endpoint's answer at once.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
SLACK=16
REQUESTS=40 # at each VM
WINDOW_MS=10000
DENIED_MS=500 # within which a denied one is answered

test_begin dala
SEPARATE_DOMAINS=yes
. test/platform_deploy.sh

# As in platform_deploy.sh, with the bound on repeats.
start_process() { # ROLE D FOUND
	write_platform_settings "$@"
	sed -i "s/\"foreign\":true,/&\"retry_ratio\":0.2,\"retry_slack\":$SLACK,\"retry_window_s\":10,/" \
		"$DIR/$1-$2.json"
	DAISYLEDGE_SETTINGS="$DIR/$1-$2.json" "$DL_BIN" "$1" \
		>>"$DIR/$1-$2.log" 2>&1 &
	record_pid "$1_$2" $!
}

look_many() { # D
	n=0
	while [ $n -lt $REQUESTS ]; do
		n=$((n + 1))
		$DL_HTTP -t 2000 -e 500 --took "$DIR/took" -H "$HOST" -H "Daisyledge-Attempt-Id: look$1x$n" \
			"$(entry_address "$1")" /look/x >/dev/null 2>>"$DIR/look.log" ||
			echo "look$1x$n" >>"$DIR/not-500"
	done
	touch "$DIR/done-$1"
}

all_done() {
	[ -e "$DIR/done-1" ] && [ -e "$DIR/done-2" ] && [ -e "$DIR/done-3" ]
}

start_all
configure_all '"key-one"'
for d in 1 2 3; do
	start_platform_endpoint "w$d" $d --zone "place-$d" --service writer
	start_platform_endpoint "d$d" $((d + 3)) --zone "place-$d" --service desk \
		--plain --fault error --arrivals "$DIR/arrivals"
done
wait_endpoints_known w1 w2 w3 d1 d2 d3
for d in 1 2 3; do
	wait_for 5 "a stream at $d" chat $d "first$d" || fail "no stream at $d"
done
sleep 12 # as much is saved up as ever will be
for d in 1 2 3; do
	look_many $d &
	record_pid look_$d $!
done
streams=0 cut=0
until all_done; do
	for d in 1 2 3; do
		streams=$((streams + 1))
		chat $d "beside${d}x$streams" >"$DIR/stream" &&
			stream_is_complete "$DIR/stream" || cut=$((cut + 1))
	done
done

# The most arrivals beyond the first of each request in any window.
beyond=$(sort -n "$DIR/arrivals" | awk -v ms=$WINDOW_MS '
	BEGIN { n = first = 0 }
	seen[$3]++ {
		at[n++] = $1
		while (at[first] <= $1 - ms)
			first++
		if (n - first > most)
			most = n - first
	}
	END { print most + 0 }')
requests=$((REQUESTS * 3))
allowed=$((requests / 5 + SLACK))
echo "$requests requests, $beyond repeats, $allowed allowed; $streams streams beside them"
[ "$beyond" -le $allowed ] || fail "$beyond repeats, $allowed are allowed"
# Half of what is allowed, at least, is used.
[ "$beyond" -ge $((allowed / 2)) ] || fail "only $beyond repeats of $allowed"
[ ! -s "$DIR/not-500" ] || fail "not the endpoint's answer: $(head -3 "$DIR/not-500" | tr '\n' ' ')"
[ "$(wc -l <"$DIR/took")" = $requests ] || fail "not all answers were timed"
late=$(awk -v most=$DENIED_MS '$1 > most' "$DIR/took" | wc -l)
[ "$late" = 0 ] || fail "$late answers took over $DENIED_MS ms"
[ $cut = 0 ] || fail "$cut of $streams streams of the sound service failed"
grep -q 'A repeat was decided on.* decision=denied' "$DIR"/entry-?.log ||
	fail "no denied repeat is logged"
grep -q 'A request ended.* reason=retry-budget' "$DIR"/entry-?.log ||
	fail "no request says that the budget denied its repeat"
