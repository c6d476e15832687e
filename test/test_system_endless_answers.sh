#!/bin/sh
# Guards against an endpoint whose bytes are no response and have no end, in a
# head or a body, slow or fast: the connection has to be closed, the request
# repeated where that is allowed or ended in time, and memory stays bounded.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

# The routes end a request after 2,000 ms, streams after 5,000 ms.
LOOK_MS=2000
LATE_MS=1000
RSS_MAX_KB=150000
[ -z "${DL_SANITIZED:-}" ] || RSS_MAX_KB=1500000

start_all
start_platform_endpoint sound 1 --service desk --plain
configure_all '"key-one"'
wait_endpoints_known sound
sleep 5 # until the VMs have earned a part of the retry budget
next=10

now_ms() {
	date +%s%3N
}

was_taken() { # NAME
	grep -q ' taken$' "$DIR/arrivals-$1" 2>/dev/null
}

was_closed() { # NAME
	[ "$(grep -c ' closed$' "$DIR/arrivals-$1")" -ge \
		"$(grep -c ' taken$' "$DIR/arrivals-$1")" ]
}

# Send requests until the endpoint gets one.  Each must be answered by the sound
# endpoint, or, if it cannot be repeated any more, end in time and not as done.
send_until_taken() { # NAME PATH ENDS
	n=0
	while ! was_taken "$1"; do
		n=$((n + 1))
		[ $n -le 60 ] || fail "$1: the endpoint gets no request"
		began=$(now_ms)
		if [ "$2" = look ]; then
			$DL_HTTP -t 5000 -H "$HOST" -H "Daisyledge-Attempt-Id: $1-$n" \
				"$(entry_address $((n % 3 + 1)))" /look/x >"$DIR/answer" 2>/dev/null
		else
			chat $((n % 3 + 1)) "$1-$n" >"$DIR/answer"
		fi
		rc=$?
		took=$(($(now_ms) - began))
		if was_taken "$1" && [ "$3" = fails ]; then
			[ $rc -ne 0 ] || fail "$1: no end, and the answer is complete"
			[ $took -le $((LOOK_MS + LATE_MS)) ] ||
				fail "$1: the request ends after $took ms"
			return
		fi
		[ $rc -eq 0 ] || fail "$1: a request is not served: exit $rc after $took ms"
		[ "$2" = look ] || stream_is_complete "$DIR/answer" ||
			fail "$1: a stream is not complete"
	done
}

check_memory() { # WHEN
	for d in 1 2 3; do
		rss=$(awk '/^VmRSS/ { print $2 }' "/proc/$(pid_of entry_$d)/status")
		[ "$rss" -le $RSS_MAX_KB ] || fail "$1: entry $d uses $rss kB"
	done
}

check_endless() { # KIND SPEED ENDS
	case=$1-$2
	next=$((next + 1))
	service=desk path=look
	set -- "$1" "$2" "$3" --endless "$1"
	[ "$2" = slow ] || set -- "$@" --endless-fast
	if [ "$1" = event ]; then
		service=writer path=chat
	else
		set -- "$@" --plain
	fi
	ends=$3
	shift 3
	start_platform_endpoint "$case" $next --service $service \
		--arrivals "$DIR/arrivals-$case" "$@"
	wait_endpoints_known "$case"
	# Of two idle engines the one that was known first is used.
	if [ $service = writer ]; then
		next=$((next + 1))
		start_platform_endpoint "sound-$case" $next --service writer
		wait_endpoints_known "sound-$case"
	fi
	send_until_taken "$case" $path "$ends"
	wait_for 2 "the end of its connection" was_closed "$case" ||
		fail "$case: the connection is not closed"
	check_memory "$case"
	retire "runner_$(echo "$case" | tr - _)"
	[ $service = desk ] || retire "runner_sound_$(echo "$case" | tr - _)"
}

for speed in slow fast; do
	check_endless garbage $speed served
	check_endless interim $speed served
	check_endless error $speed served
	check_endless not-run $speed served
	check_endless foreign $speed served
	check_endless event $speed served
	check_endless body $speed fails
done
check_endless extension slow fails
check_endless extension fast served
check_endless head slow fails
check_endless head fast served
check_endless trailer slow fails
check_endless trailer fast served
