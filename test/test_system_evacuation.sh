#!/bin/sh
# Evacuation of a failure domain in the platform's protocol: its endpoints get
# no new request from any VM, streams there end in peace, and the evacuation
# outlives a restart of every process.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
SEPARATE_DOMAINS=yes
. test/platform_deploy.sh

# Send an operator's call to the replicas in turn until one accepts it.
operator() { # PATH
	for d in 1 2 3; do
		$DL_HTTP -t 4000 -X POST "$(control_address $d)" "$1" \
			>/dev/null 2>&1 && return 0
	done
	return 1
}

knows_revision() { # D REVISION
	grep -q "evacuated failure domains changed.*revision=$2 " \
		"$DIR/entry-$1.log"
}

all_know() { # REVISION
	for d in 1 2 3; do
		wait_for 2 "revision $1 at $d" knows_revision $d "$1" ||
			fail "VM $d does not know the evacuation"
	done
}

# Send streams and calls through a VM; none may fail.
serve() { # D TAG
	for n in 1 2 3 4 5 6; do
		chat "$1" "s-$2-$1-$n" >"$DIR/stream" &&
			stream_is_complete "$DIR/stream" ||
			fail "a stream is not served ($2)"
		book "$1" "c-$2-$1-$n" 200 -H "$KEY" >/dev/null ||
			fail "a call is not served ($2)"
	done
}

ran_at() { # ENDPOINT TAG
	grep -q "^$1 [sc]-$2-" "$RECORD"
}

start_all
configure_all '"key-one"'
start_platform_endpoint w1 1 --zone place-1 --service writer --event-ms 200
for d in 2 3; do
	start_platform_endpoint "w$d" $d --zone "place-$d" --service writer
done
for d in 1 2 3; do
	start_platform_endpoint "d$d" $((d + 3)) --zone "place-$d" --service desk --plain
done
wait_endpoints_known w1 w2 w3 d1 d2 d3

# Calls that must be refused change nothing.
for d in 1 2 3; do
	for path in Evacuate.Start/nowhere Evacuate.Start/r Evacuate.End/nowhere \
		Evacuate.Start/place-1/x Evacuate.Start/place-1%20; do
		$DL_HTTP -t 2000 -X POST -e 400 "$(control_address $d)" "/-/$path" \
			>/dev/null || fail "$path is not refused"
	done
done

# A stream that runs there goes on; nothing new is sent there.
chat 1 in-flight >"$DIR/in-flight" &
record_pid in_flight $!
wait_for 5 "the stream in flight" grep -q '^w1 in-flight ' "$RECORD" ||
	fail "the stream did not begin in its domain"
operator /-/Evacuate.Start/place-1 || fail "the evacuation is not acknowledged"
all_know 1
serve 1 evacuated
serve 2 evacuated
for name in w1 d1; do
	ran_at $name evacuated && fail "$name got a request during the evacuation"
done
wait "$(pid_of in_flight)" && stream_is_complete "$DIR/in-flight" ||
	fail "the stream in flight did not end in peace"
operator /-/Evacuate.Start/place-1 || fail "a repeat is refused"

# It outlives all processes, and a VM that starts learns of it.
for d in 1 2 3; do
	kill -KILL "$(pid_of replica_$d)" "$(pid_of entry_$d)"
	wait "$(pid_of replica_$d)" "$(pid_of entry_$d)" 2>/dev/null
	: >"$DIR/entry-$d.log"
done
for d in 1 2 3; do
	start_process replica $d false
	start_process entry $d
done
for d in 1 2 3; do
	wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
done
all_know 1
sleep 1.5
serve 1 restarted
for name in w1 d1; do
	ran_at $name restarted && fail "$name got a request after the restart"
done

# The leader is killed right after the next acknowledgement.
leader=$(grep -h 'Leading' "$DIR"/replica-?.log | wc -l)
[ "$leader" -ge 2 ] || fail "no leader after the restart"
operator /-/Evacuate.Start/place-2 || fail "a second evacuation is not acknowledged"
acknowledged_by() { # D
	grep -q 'answered.*domain=place-2 evacuate=1 status=200' \
		"$DIR/replica-$1.log"
}
find_acknowledging() {
	for n in 1 2 3; do
		acknowledged_by $n && killed=$n && return 0
	done
	return 1
}
wait_for 2 "the line of the acknowledgement" find_acknowledging ||
	fail "an acknowledgement is not logged"
kill -KILL "$(pid_of "replica_$killed")"
all_know 2
serve 1 two
for name in w1 d1 w2 d2; do
	ran_at $name two && fail "$name got a request during two evacuations"
done

# All are evacuated: requests are refused at once, as not run.
wait_for 8 "the third evacuation" operator /-/Evacuate.Start/place-3 ||
	fail "the third evacuation is not acknowledged"
all_know 3
book 1 none-left 503 -i -H "$KEY" >"$DIR/refused" ||
	fail "a call is not refused when all domains are evacuated"
grep -qi '^retry-after:' "$DIR/refused" || fail "a refusal without Retry-After"
wait_for 2 "the reason" grep -q 'attempt=none-left.*reason=evacuated' \
	"$DIR/entry-1.log" || fail "the reason is not logged"

# The only domain that is taken back serves all; without a quorum nothing
# changes.
operator /-/Evacuate.End/place-1 || fail "an end is not acknowledged"
all_know 4
serve 1 ended
for name in w1 d1; do
	ran_at $name ended || fail "$name gets nothing after the evacuation"
done
for n in 2 3; do
	operator /-/Evacuate.End/place-$n || fail "an end is not acknowledged"
done
all_know 6
other=$((killed % 3 + 1))
kill -KILL "$(pid_of "replica_$other")"
sleep 2
operator /-/Evacuate.Start/place-1 &&
	fail "an evacuation is acknowledged without a quorum"
for d in 1 2 3; do
	knows_revision $d 7 && fail "an evacuation without a quorum is in force"
done
start_process replica "$other" false
wait_for 10 "the end of it" operator /-/Evacuate.End/place-1 ||
	fail "no change is accepted once there is a quorum"
for n in 2 3; do
	operator /-/Evacuate.Start/place-$n ||
		fail "an evacuation is not acknowledged after the last end"
done
knows_last() { # D
	grep -q 'changed.*revision=[1789][0-9]* domains=place-2,place-3 ' \
		"$DIR/entry-$1.log"
}
for d in 1 2 3; do
	wait_for 2 "the last list at $d" knows_last $d ||
		fail "VM $d does not know the last evacuations"
done
serve 1 unchanged
for name in w1 d1; do
	ran_at $name unchanged || fail "$name gets nothing after the last end"
done
