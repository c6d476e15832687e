#!/bin/sh
# A service whose endpoints leave one after the other while the domain of
# another one is evacuated. Its calls must be served by the last one that leaves
# for 0.6 of the time that is promised to it, none may reach it later than that
# time, and none the evacuated domain. A VM that was suspended meanwhile, and
# one that has just started, must not extend the time.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
SEPARATE_DOMAINS=yes
DRAIN_MS_SETTING=5000
. test/platform_deploy.sh

DRAIN_MS=$DRAIN_MS_SETTING
# Of 0.6 of the time, which is counted from when a dispatcher heard; the rest is
# for a slow machine.
SERVED_MS=$((DRAIN_MS * 55 / 100))
ARRIVALS=$DIR/arrivals

now_ms() {
	date +%s%3N
}

operator() { # PATH
	for d in 1 2 3; do
		$DL_HTTP -t 4000 -X POST "$(control_address $d)" "$1" \
			>"$DIR/answer" 2>/dev/null && return 0
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

# Send calls of both kinds through a VM until killed; a line each: start and end
# in Unix ms, attempt, 1 if it was served.
call_repeatedly() { # D TAG
	n=0
	while :; do
		n=$((n + 1))
		began=$(now_ms)
		book "$1" "b$1x$2x$n" 200 -H "$KEY" >/dev/null 2>&1
		echo "$began $(now_ms) b$1x$2x$n $(($? == 0))"
		began=$(now_ms)
		$DL_HTTP -t 2000 -e 200 -H "$HOST" \
			-H "Daisyledge-Attempt-Id: l$1x$2x$n" \
			"$(entry_address "$1")" /look/x >/dev/null 2>&1
		echo "$began $(now_ms) l$1x$2x$n $(($? == 0))"
		sleep 0.02
	done >>"$DIR/calls-$2"
}

start_calls() { # TAG
	for d in 1 2 3; do
		call_repeatedly $d "$1" &
		record_pid calls_$d $!
	done
}

stop_calls() {
	for d in 1 2 3; do
		kill "$(pid_of calls_$d)"
	done
}

# Calls that began and ended within a time and were served, or were not.
count_calls() { # TAG FROM TO SERVED
	awk -v from="$2" -v to="$3" -v served="$4" \
		'$1 >= from && $2 <= to && $4 == served' "$DIR/calls-$1" | wc -l
}

# Arrivals at an endpoint within a time.
count_arrivals() { # NAME FROM TO
	awk -v name="$1" -v from="$2" -v to="$3" \
		'$2 == name && $1 >= from && $1 < to' "$ARRIVALS" | wc -l
}

FOREVER=9999999999999

start_desk() { # NAME ZONE HOST [OPTION...]
	name=$1 zone=$2 host=$3
	shift 3
	start_platform_endpoint "$name" "$host" --zone "place-$zone" \
		--service desk --plain --arrivals "$ARRIVALS" "$@"
}

leave() { # NAME
	kill -USR1 "$(pid_of "runner_$1")"
}

: >"$ARRIVALS"
start_all
configure_all '"key-one"'
start_platform_endpoint w1 1 --zone place-1 --service writer
start_desk d1 1 4
start_desk d2 2 5
start_desk d3 3 6
wait_endpoints_known w1 d1 d2 d3

# The domain of d1 is evacuated, then d2 and d3 leave: the last one serves.
start_calls one
sleep 1
evacuated=$(now_ms)
operator /-/Evacuate.Start/place-1 || fail "the evacuation is not acknowledged"
grep -q '"services_without_endpoint":\["writer"\]' "$DIR/answer" ||
	fail "the answer does not name the service: $(cat "$DIR/answer")"
all_know 1
sleep 0.5
first=$(now_ms)
leave d2
sleep 1
left=$(now_ms)
leave d3
sleep 7
stop_calls
served=$(count_calls one "$first" $((left + SERVED_MS)) 1)
lost=$(count_calls one "$first" $((left + SERVED_MS)) 0)
late=$(count_arrivals d3 $((left + DRAIN_MS)) $FOREVER)
late2=$(count_arrivals d2 $((first + DRAIN_MS)) $FOREVER)
there=$(count_arrivals d1 $((evacuated + 1000)) $FOREVER)
early=$(count_arrivals d2 $((first + 300)) $((left - 1)))
last=$(awk '$2 == "d3" { t = $1 } END { print t }' "$ARRIVALS")
refused=$(count_calls one $((left + DRAIN_MS)) $FOREVER 0)
echo "leaving: $served served and $lost lost until 0.55, last one after" \
	"$((last - left)) of $DRAIN_MS ms, $late late at d3, $late2 at d2," \
	"$there in the evacuated domain, $early at d2 while d3 was open," \
	"$refused refused at the end"
[ "$served" -gt 20 ] || fail "no calls are served after the last endpoint left"
[ "$lost" -eq 0 ] || fail "calls are lost though the last endpoint serves"
[ $((late + late2)) -eq 0 ] || fail "calls reach it too late"
[ "$there" -eq 0 ] || fail "calls reach the evacuated domain"
[ "$early" -eq 0 ] || fail "an endpoint that leaves is used while another is open"
[ "$refused" -gt 0 ] || fail "no call is refused at the end"
grep -q 'ended.*status=503.*reason=evacuated' "$DIR/entry-1.log" ||
	fail "the refusal does not name the evacuation"
grep -hq 'A service is served only by endpoints that leave.*service=desk' \
	"$DIR"/entry-?.log || fail "the log does not say who serves"
grep -hq 'A service has no open endpoint.*service=desk reason=evacuated' \
	"$DIR"/entry-?.log || fail "the log does not say that none is open"

# A new endpoint serves at once, and there is an end of the evacuation.
start_desk d4 2 7
wait_endpoints_known d4
wait_for 3 "a call at d4" book 1 after 200 -H "$KEY" || fail "d4 does not serve"
wait_for 2 "the line" grep -hq 'has an open endpoint again.*service=desk' \
	"$DIR"/entry-?.log || fail "the log does not say that one is open again"

# It leaves while VM 2 is suspended and VM 3 starts: neither extends its time.
kill -STOP "$(pid_of entry_2)"
sleep 3
start_calls two
sleep 0.3
left=$(now_ms)
leave d4
sleep 0.3
kill -KILL "$(pid_of entry_3)"
wait "$(pid_of entry_3)" 2>/dev/null
start_process entry 3
sleep 5
kill -CONT "$(pid_of entry_2)"
sleep 4
stop_calls
late=$(count_arrivals d4 $((left + DRAIN_MS)) $FOREVER)
served=$(awk -v from="$left" '$1 >= from && $3 ~ /^.1x/ && $4' \
	"$DIR/calls-two" | wc -l)
echo "suspended and started: $served served by VM 1, $late late at d4"
[ "$served" -gt 10 ] || fail "VM 1 serves no calls after d4 left"
[ "$late" -eq 0 ] || fail "calls reach d4 too late"

# One that deregisters without announcing it serves on, and is then left alone.
start_desk d5 2 8 --abrupt
wait_endpoints_known d5
wait_for 3 "a call at d5" book 1 five 200 -H "$KEY" || fail "d5 does not serve"
start_calls three
sleep 1
left=$(now_ms)
leave d5
sleep 7
stop_calls
served=$(count_calls three "$left" $((left + DRAIN_MS * 4 / 10)) 1)
lost=$(count_calls three "$left" $((left + DRAIN_MS * 4 / 10)) 0)
late=$(count_arrivals d5 $((left + DRAIN_MS)) $FOREVER)
echo "deregistered: $served served and $lost lost until 0.4, $late late"
[ "$served" -gt 20 ] || fail "no calls are served after it deregistered"
[ "$lost" -eq 0 ] || fail "calls are lost after it deregistered"
[ "$late" -eq 0 ] || fail "calls reach it too late after it deregistered"

# One that says so only in its answers.
start_desk d6 2 9 --unheard
wait_endpoints_known d6
wait_for 3 "a call at d6" book 1 six 200 -H "$KEY" || fail "d6 does not serve"
start_calls four
sleep 1
left=$(now_ms)
leave d6
sleep 7
stop_calls
served=$(count_calls four "$left" $((left + DRAIN_MS * 4 / 10)) 1)
lost=$(count_calls four "$left" $((left + DRAIN_MS * 4 / 10)) 0)
late=$(count_arrivals d6 $((left + DRAIN_MS)) $FOREVER)
echo "only in answers: $served served and $lost lost until 0.4, $late late"
[ "$served" -gt 20 ] || fail "no calls are served after an answer said so"
[ "$late" -eq 0 ] || fail "calls reach it too late after an answer said so"
there=$(count_arrivals d1 $((evacuated + 1000)) $FOREVER)
[ "$there" -eq 0 ] || fail "$there calls reach the evacuated domain"
