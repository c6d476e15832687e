#!/bin/sh
# Endpoints break responses off in every way: no caller, in any version of HTTP, gets
# a response that is complete and short, and whole ones stay whole.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/net_deploy.sh
. test/endings.sh

ENDPOINTS="w1:11 w2:12 w3:13 w4:14 w5:15 d1:21 d2:22 d3:23 d4:24 d5:25"
HOWS=whole,close,reset,silence
STREAM='Daisyledge-Token-Usage: 100,50'

# Streams that may not be repeated, and room for many requests at once.
endings_config() {
	config 5 5000 '"key-one"' | sed 's/"routes":\[/"routes":[{"name":"talk","host":"h.example","path_prefix":"\/talk\/","kind":"stream","timeout_ms":5000,"target_latency_ms":300,"priority":1,"service":"writer","attempts":2,"public":false,"gap_target_ms":250},/
		s/"slots":16/"slots":200/; s/"max_conns":100/"max_conns":1000/g'
}

# Start the endpoints of a number, one of each service.
start_endpoints() { # I
	start_platform_endpoint "w$1" "1$1" --service writer --slots 200 \
		--endings "$ENDINGS"
	start_platform_endpoint "d$1" "2$1" --service desk --plain --slots 200 \
		--endings "$ENDINGS"
	wait_endpoints_known "w$1" "d$1"
}

walk_streams() { # WHAT D PATH [OPTION...]
	what=$1 d=$2 path=$3
	shift 3
	walk "$what" "$(entry_address "$d")" "$path" stream $HOWS \
		-H "$KEY" -H "$STREAM" --deadline 2500 "$@"
}

walk_calls() { # WHAT D PATH [OPTION...]
	what=$1 d=$2 path=$3
	shift 3
	walk "$what" "$(entry_address "$d")" "$path" plain $HOWS \
		-H "$KEY" --deadline 1500 "$@"
}

for d in 1 2 3; do
	: | map_links $d
	start_process replica $d true
	with_mapped_links $d start_process entry $d
done
wait_for 10 "the first configuration" put_config "$(endings_config)" ||
	fail "the first configuration is not accepted"
for d in 1 2 3; do
	wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
done

# One endpoint of a service at a time, which crashes.
start_endpoints 1
wait_for 5 "a stream" chat 2 first || fail "no stream"
walk_crash runner_w1 "resumable, crash" "$(entry_address 2)" /chat/ stream \
	-H "$KEY" -H "$STREAM"
walk_crash runner_d1 "repeatable, crash" "$(entry_address 2)" /look/ plain
start_endpoints 2
walk_crash runner_w2 "once, crash" "$(entry_address 2)" /talk/ stream \
	-H "$KEY" -H "$STREAM"
walk_crash runner_d2 "unrepeatable, crash" "$(entry_address 2)" /book/ plain \
	-H "$KEY"

for i in 3 4 5; do
	start_endpoints $i
done
walk_streams resumable 2 /chat/
walk_streams once 2 /talk/
walk_calls repeatable 2 /look/
walk_calls unrepeatable 2 /book/

# VM 1 loses its links to endpoints, so that others forward its connections.
map_endpoints 1 "$CLOSED"
wait_for 5 "a stream that is forwarded" chat 1 forwarded || fail "no VM forwards"
walk_streams "resumable, forwarded" 1 /chat/
walk_streams "once, forwarded" 1 /talk/
walk_calls "repeatable, forwarded" 1 /look/
walk_calls "unrepeatable, forwarded" 1 /book/
grep -q 'via=127' "$DIR/entry-1.log" || fail "no connection was forwarded"
end_walks
