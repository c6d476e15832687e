#!/bin/sh
# Versions that replace all of 1,300 routes, while streams are open: they are
# applied as deltas in slices, with rests in between, no slice holds up the event
# loop for more than 20 ms, no stream pauses for long, and each VM has them in
# force within 2,500 ms after they were accepted. Guards against large deltas
# that are read whole or at once, or so slowly that they come into force late.
# A VM that is stopped while it applies one ends in order.
#
# A busy machine stretches a slice and the pause of a stream: one of 20 ms took 49 ms
# at a load of 18 on 7 cores.  So the CPU time of a slice is limited to 20 ms as
# well, without exception, and the limits of wall-clock time grow by the time
# for which the kernel let the processes wait for a core.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/conf_deploy.sh

ACCEPT_S=8
# Streams of three seconds had 132 to 139 of their 150 events after 5 s at a load of 68
# on 7 cores.
STREAM_MS=20000
LOOP_MAX_US=20000
IN_FORCE_MAX_MS=2500
PAUSE_MAX_MS=120
# Rests become shorter for a version of this age (conf_pace.c).
HURRY_MS=1200

# How long the event loop of a process has waited for a core, in us.
core_wait_us() { # NAME
	echo $(($(cut -d' ' -f2 "/proc/$(pid_of "$1")/schedstat") / 1000))
}
# No slice of entry D took longer than allowed, since its loop had waited for a core
# for SINCE us.
check_slices() { # D SINCE
	cpu=$(counter $1 conf_slice_cpu_max_us)
	longest=$(counter $1 conf_slice_max_us)
	waited=$(($(core_wait_us entry_$1) - $2))
	echo "entry $1: longest slice $longest us, most CPU time $cpu us; waited $waited us for a core"
	[ "$cpu" -gt 0 ] && [ "$cpu" -le $LOOP_MAX_US ] ||
		fail "a slice of entry $1 took $cpu us of CPU time"
	[ "$longest" -ge "$cpu" ] && [ "$longest" -le $((LOOP_MAX_US + waited)) ] ||
		fail "the event loop of entry $1 stood still for $longest us, and waited $waited us for a core"
}
is_newer() { # D VERSION
	[ "$(field "$(last_in_force "$1")" version)" -gt "$2" ]
}
acceptance() { # VERSION
	grep -h "answered.* number=$1 status=200" "$DIR"/replica-?.log | sort |
		head -n 1 | grep .
}
# When a log line was written, in ms.
logged_ms() { # LINE
	date -d "${1%% *}" +%s%3N
}
start_all
start_platform_endpoint w1 11 --service writer --events 150 --event-ms 20
start_platform_endpoint d1 21 --service desk --plain
configure_all '"key-one"'
write_routes @/
# Each route of version N has another prefix than in any other version.
large_config() { # VERSION
	sed "s/@/v$1/g" "$DIR/routes" | write_large "$1"
}
FIRST_HOST=$(route_host 1)
serves() { # D VERSION
	$DL_HTTP -t 1000 -H "Host: $FIRST_HOST" \
		-H "Daisyledge-Attempt-Id: s$1x$2" \
		"$(entry_address "$1")" "/1/v$2/x" >/dev/null 2>&1
}
for n in 6 7 8 9 11 12; do
	large_config $n
done
accept_change 6
for d in 1 2 3; do
	wait_for 5 "version 6 at $d" serves $d 6 ||
		fail "entry $d does not serve version 6"
done

# Streams of three seconds, while three versions replace all routes.
streams=
for d in 1 2 3; do
	wait_for 5 "an endpoint at $d" test -n "$(counter $d endpoints_known)"
	for i in 1 2 3 4; do
		$DL_HTTP -t $((STREAM_MS + 1000)) -X POST -H "$HOST" -H "$KEY" \
			-H "Daisyledge-Attempt-Id: long$d$i" \
			-H "Daisyledge-Deadline-Ms: $STREAM_MS" \
			-H 'Daisyledge-Token-Usage: 1000,50' -d prompt \
			"$(entry_address $d)" /chat/x >"$DIR/stream-$d-$i" 2>&1 &
		streams="$streams $!"
	done
done
sleep 0.5
for d in 1 2 3; do
	eval "waited_$d=$(core_wait_us entry_$d)"
done
runner_waited=$(core_wait_us runner_w1)
for n in 7 8 9; do
	before=$(field "$(last_in_force 1)" version)
	accept_change $n
	# Lines are written to the log after what they report.
	wait_for 2 "the acceptance in the log" acceptance $n ||
		fail "no replica logs that it accepted version $n"
	accepted=$(logged_ms "$(acceptance $n)")
	for d in 1 2 3; do
		wait_for 5 "version $n at $d" serves $d $n ||
			fail "entry $d does not serve version $n"
		wait_for 2 "version $n in the log of $d" is_newer $d "$before" ||
			fail "entry $d does not log version $n"
		took=$(($(logged_ms "$(last_in_force $d)") - accepted))
		echo "version $n is in force at entry $d after $took ms"
		[ $took -le $IN_FORCE_MAX_MS ] ||
			fail "version $n is in force at entry $d after $took ms"
	done
	for d in 1 2 3; do
		line=$(last_in_force $d)
		echo "entry $d: ${line#*force. }"
		[ "$(field "$line" delta)" = 1 ] ||
			fail "entry $d read version $n as a whole text"
		[ "$(field "$line" slices)" -gt 1 ] ||
			fail "entry $d applied version $n at once"
		# A rest lasts three times as long as the step, or 100 ms, and so at
		# least three times its CPU time; there is none after the last step,
		# of some 4 ms.
		read_ms=$(field "$line" read_ms)
		rested=$((read_ms - $(field "$line" slice_ms)))
		cpu_ms=$(field "$line" slice_cpu_ms)
		[ $rested -gt 0 ] && { [ "$read_ms" -ge $HURRY_MS ] ||
			[ $rested -ge $((3 * (cpu_ms - 4))) ]; } ||
			fail "entry $d rested for $rested ms, and worked for $cpu_ms ms"
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
	check_slices $d "$(eval echo \$waited_$d)"
	# An event comes late if the endpoint or the entry waits for a core.
	waited=$((waited + $(core_wait_us runner_w1) - runner_waited))
	pause=$(stream_pauses $d | tail -n 1)
	echo "entry $d: longest pause of a stream $pause ms"
	# The endpoint sends an event each 20 ms.
	[ "$pause" -gt 0 ] || fail "no stream of entry $d had two events"
	[ "$pause" -le $((PAUSE_MAX_MS + waited / 1000)) ] ||
		fail "a stream of entry $d paused for $pause ms; it and the endpoint waited $waited us for a core"
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
accept_change 10
for d in 1 2 3; do
	wait_for 3 "the added service at $d" is_newer $d "$before" ||
		fail "entry $d has not the version with another service"
	line=$(last_in_force $d)
	echo "entry $d: ${line#*force. }"
	[ "$(field "$line" delta)" = 1 ] && [ "$(field "$line" bytes)" -le 4096 ] ||
		fail "the version with another service is no small delta at entry $d"
	[ "$(field "$line" slices)" -gt 1 ] ||
		fail "entry $d parsed all routes at once for a small delta"
	check_slices $d "$(eval echo \$waited_$d)"
done

# Two versions at once: the newer one waits, or replaces the one before; none
# goes back. VM 3 is told to stop meanwhile.
accept_change 11
sleep 0.45
accept_change 12
kill -TERM "$(pid_of entry_3)"
for d in 1 2; do
	wait_for 5 "version 12 at $d" serves $d 12 ||
		fail "entry $d does not serve version 12"
done
wait "$(pid_of entry_3)" || fail "entry 3 did not end in order"
for d in 1 2 3; do
	check_order $d
done
exit 0
