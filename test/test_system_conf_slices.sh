#!/bin/sh
# Versions that replace all of 1,300 routes, while streams are open: they are
# applied as deltas in slices, with rests in between, no slice holds up the event
# loop for more than 20 ms, no stream pauses for long, and each VM has them in
# force within 2,500 ms after they were accepted. Guards against large deltas
# that are read whole or at once, or so slowly that they come into force late.
# A VM that is stopped while it applies one ends in order.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

METRICS_PORT=7500
# As in platform_deploy.sh, and entries have an address for metrics.
start_process() { # ROLE D FOUND
	write_platform_settings "$@"
	[ "$1" = replica ] ||
		sed -i "s/\"foreign\":true,/&\"metrics\":\"127.$NET.$2.1:$METRICS_PORT\",/" \
			"$DIR/entry-$2.json"
	DAISYLEDGE_SETTINGS="$DIR/$1-$2.json" "$DL_BIN" "$1" \
		>>"$DIR/$1-$2.log" 2>&1 &
	record_pid "$1_$2" $!
}
counter() { # D NAME
	metric "127.$NET.$1.1:$METRICS_PORT" "$2"
}

ROUTES=1300
LOOP_MAX_US=20000
IN_FORCE_MAX_MS=2500
start_all
start_platform_endpoint w1 11 --service writer --events 150 --event-ms 20
start_platform_endpoint d1 21 --service desk --plain
configure_all '"key-one"'
seq 1 $ROUTES | while read -r i; do
	printf '{"name":"r%s","host":"%s.example","path_prefix":"/%s/@/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":100,"priority":1,"service":"desk","attempts":2,"public":true},' \
		"$i" "$(printf %s "$i" | md5sum | cut -c1-12)" "$i"
done >"$DIR/routes"
# Each route of version N has another prefix than in any other version.
large_config() { # VERSION
	config "$1" 5000 '"key-one"' >"$DIR/config.part"
	{
		sed 's/"routes":\[.*/"routes":[/' "$DIR/config.part"
		sed "s/@/v$1/g" "$DIR/routes"
		sed 's/.*"routes":\[//' "$DIR/config.part"
	} | tr -d '\n' >"$DIR/large.$1"
}
put_large() { # VERSION
	for d in 1 2 3; do
		$DL_HTTP -t 3000 -X POST -f "$DIR/large.$1" \
			"$(control_address $d)" /-/Config.Put >/dev/null 2>&1 && return 0
	done
	return 1
}
# A replica whose disk is busy answers that a change is not recorded yet.
accept_large() { # VERSION
	wait_for 8 "version $1 accepted" put_large "$1" ||
		fail "version $1 is not accepted"
}
FIRST_HOST=$(printf 1 | md5sum | cut -c1-12).example
serves() { # D VERSION
	$DL_HTTP -t 1000 -H "Host: $FIRST_HOST" \
		-H "Daisyledge-Attempt-Id: s$1x$2" \
		"$(entry_address "$1")" "/1/v$2/x" >/dev/null 2>&1
}
last_in_force() { # D
	grep 'Configuration in force' "$DIR/entry-$1.log" | tail -1
}
field() { # LINE NAME
	echo "$1" | sed -n "s/.* $2=\([0-9]*\).*/\1/p"
}

for n in 6 7 8 9 11 12; do
	large_config $n
done
accept_large 6
for d in 1 2 3; do
	wait_for 5 "version 6 at $d" serves $d 6 ||
		fail "entry $d does not serve version 6"
done

# Streams of three seconds, while three versions replace all routes.
streams=
for d in 1 2 3; do
	wait_for 5 "an endpoint at $d" test -n "$(counter $d endpoints_known)"
	for i in 1 2 3 4; do
		$DL_HTTP -t 9000 -X POST -H "$HOST" -H "$KEY" \
			-H "Daisyledge-Attempt-Id: long$d$i" \
			-H 'Daisyledge-Deadline-Ms: 8000' \
			-H 'Daisyledge-Token-Usage: 1000,50' -d prompt \
			"$(entry_address $d)" /chat/x >"$DIR/stream-$d-$i" 2>&1 &
		streams="$streams $!"
	done
done
sleep 0.5
for n in 7 8 9; do
	accept_large $n
	accepted=$(wall_ms)
	for d in 1 2 3; do
		wait_for 5 "version $n at $d" serves $d $n ||
			fail "entry $d does not serve version $n"
	done
	took=$(($(wall_ms) - accepted))
	echo "version $n is in force everywhere after $took ms"
	[ $took -le $IN_FORCE_MAX_MS ] ||
		fail "version $n is in force after $took ms"
	for d in 1 2 3; do
		line=$(last_in_force $d)
		echo "entry $d: ${line#*force. }"
		[ "$(field "$line" delta)" = 1 ] ||
			fail "entry $d read version $n as a whole text"
		[ "$(field "$line" slices)" -gt 1 ] ||
			fail "entry $d applied version $n at once"
		# The rest after a step is at most 100 ms, and there is none after the
		# last step, of some 4 ms.
		slice_ms=$(field "$line" slice_ms)
		rested=$(($(field "$line" read_ms) - slice_ms))
		[ "$slice_ms" -ge 33 ] || [ $rested -ge $((3 * (slice_ms - 4))) ] ||
			fail "entry $d rested for $rested ms, and worked for $slice_ms ms"
	done
done
for pid in $streams; do
	wait "$pid" || fail "a stream failed"
done
# The pauses of the streams of an entry, in ms; the log follows the response.
stream_pauses() { # D
	grep 'A request ended.*service=writer .*status=200' "$DIR/entry-$1.log" |
		sed -n 's/.* pause_ms=\([0-9]*\).*/\1/p' | sort -n
}
all_streams_ended() { # D
	[ "$(stream_pauses "$1" | wc -l)" -eq 4 ]
}
for d in 1 2 3; do
	for i in 1 2 3 4; do
		events=$(grep -c '^id: ' "$DIR/stream-$d-$i")
		[ "$events" -eq 150 ] ||
			fail "stream $i of entry $d has $events events"
	done
	wait_for 2 "the streams of entry $d in its log" all_streams_ended $d ||
		fail "entry $d logged $(stream_pauses $d | wc -l) streams"
	longest=$(counter $d conf_slice_max_us)
	pause=$(stream_pauses $d | tail -1)
	echo "entry $d: longest slice $longest us, longest pause of a stream $pause ms"
	[ "$longest" -gt 0 ] && [ "$longest" -le $LOOP_MAX_US ] ||
		fail "the event loop of entry $d stood still for $longest us"
	# The endpoint sends an event each 20 ms.
	[ "$pause" -gt 0 ] || fail "no stream of entry $d had two events"
	[ "$pause" -le 120 ] || fail "a stream of entry $d paused for $pause ms"
	[ "$(counter $d conf_slice_ms)" -gt 0 ] ||
		fail "entry $d counts no time of slices"
	[ "$(counter $d conf_deltas_applied)" -ge 3 ] ||
		fail "entry $d counts $(counter $d conf_deltas_applied) deltas"
done

# A service is added before the others: routes refer to services by index, so all
# are parsed again, although the delta has a few hundred bytes and is applied at
# once otherwise.
sed 's/"services":\[/&{"name":"added","max_conns":100},/; s/"version":9/"version":10/' \
	"$DIR/large.9" >"$DIR/large.10"
before=$(field "$(last_in_force 1)" version)
accept_large 10
is_newer() { # D VERSION
	[ "$(field "$(last_in_force "$1")" version)" -gt "$2" ]
}
for d in 1 2 3; do
	wait_for 3 "the added service at $d" is_newer $d "$before" ||
		fail "entry $d has not the version with another service"
	line=$(last_in_force $d)
	echo "entry $d: ${line#*force. }"
	[ "$(field "$line" delta)" = 1 ] && [ "$(field "$line" bytes)" -le 4096 ] ||
		fail "the version with another service is no small delta at entry $d"
	[ "$(field "$line" slices)" -gt 1 ] ||
		fail "entry $d parsed all routes at once for a small delta"
	[ "$(counter $d conf_slice_max_us)" -le $LOOP_MAX_US ] ||
		fail "the event loop of entry $d stood still for $(counter $d conf_slice_max_us) us"
done

# Two versions at once: the newer one waits, or replaces the one before; none
# goes back. VM 3 is told to stop meanwhile.
accept_large 11
sleep 0.45
accept_large 12
kill -TERM "$(pid_of entry_3)"
for d in 1 2; do
	wait_for 5 "version 12 at $d" serves $d 12 ||
		fail "entry $d does not serve version 12"
done
wait "$(pid_of entry_3)" || fail "entry 3 did not end in order"
for d in 1 2 3; do
	awk '/Configuration in force/ {
			split($0, at, "version="); v = at[2] + 0
			if (v <= last) exit 1
			last = v
		}' "$DIR/entry-$d.log" || fail "a version went back at entry $d"
	grep -q 'configuration is invalid\|reason=damaged\|reason=digest\|reason=faults' \
		"$DIR/entry-$d.log" && fail "entry $d could not use a version"
done
exit 0
