# Shell functions for system tests of endpoints that send more than one answer to
# a request (test/tool_stutter.c): services of which all or one of two endpoints
# do so, and rows of calls whose answers test/tool_answers.c checks.  To be sourced
# after test/platform_deploy.sh and test/net_deploy.sh.
CALLS=24
FAULTS=$DIR/faults
DIRECT="$(entry_address 1),$(entry_address 2)"
AT=$DIRECT
ROWS=0
RED=
FRESH=
FRESH_HOST=20
# All endpoints that renew() can start, for test/net_deploy.sh.
ENDPOINTS=$(seq 21 240 | sed 's/.*/f&:&/')

# As in platform_deploy.sh, with so many repeats allowed, once VMs have earned them,
# that what is served depends on attempts alone.
start_process() { # ROLE D FOUND
	write_platform_settings "$@"
	sed -i "s/\"foreign\":true,/&\"retry_slack\":1000000,\"retry_window_s\":1,/" \
		"$DIR/$1-$2.json"
	DAISYLEDGE_SETTINGS="$DIR/$1-$2.json" "$DL_BIN" "$1" \
		>>"$DIR/$1-$2.log" 2>&1 &
	record_pid "$1_$2" $!
}

# Start three VMs, of which VM 3 reaches endpoints through the others only.
start_all() {
	map_endpoints 3 "$CLOSED"
	for d in 1 2 3; do
		start_process replica $d true
	done
	start_process entry 1
	start_process entry 2
	with_mapped_links 3 start_process entry 3
}

route() { # NAME KIND SERVICE RESUMABLE
	printf '{"name":"%s","host":"h.example","path_prefix":"/%s/","kind":"%s","timeout_ms":2000,"target_latency_ms":200,"priority":1,"service":"%s","attempts":2,"public":true,"resumable":%s,"gap_target_ms":250}' "$1" "$@"
}

engine() { # NAME
	printf '{"name":"%s","max_conns":100,"engine":{"slots":16,"kv_capacity":315000,"stride":51,"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.003,"read_per_s":177000,"pairs_per_m":0.184,"chunk":2048,"usual":{"prompt":1000,"answer":500}}}' "$1"
}

# Each endpoint of the services "desk" and "writer" sends second answers, of those
# of "pair" and "choir" one does not.
config() {
	printf '{"version":5,"routes":[%s,%s,%s,%s,%s],"services":[{"name":"desk","max_conns":100},{"name":"pair","max_conns":100},%s,%s],"limits":{"idle_timeout_ms":15000},"tenants":[{"name":"team","api_keys":["key-one"],"priority":1}]}' \
		"$(route look idempotent desk false)" \
		"$(route book non_idempotent desk false)" \
		"$(route pair idempotent pair false)" \
		"$(route chat stream writer true)" \
		"$(route choir stream choir true)" \
		"$(engine writer)" "$(engine choir)"
}

start_stutter() { # NAME HOST SERVICE [OPTION...]
	name=$1 host=$2 service=$3
	shift 3
	test/tool_stutter --listen "127.$NET.9.$host:$ENDPOINT_PORT" \
		--control "$(control_address 1),$(control_address 2),$(control_address 3)" \
		--instance "$name" --service "$service" --record "$RECORD" \
		--zone r --faults "$FAULTS" "$@" >>"$DIR/stutter-$name.log" 2>&1 &
	record_pid "stutter_$name" $!
}

# Wait until each entry has logged a change of these endpoints, or for a second or
# two: an entry that has much to log drops lines, and knows of the change by then.
wait_logged() { # TEXT NAME...
	text=$1
	shift
	for d in 1 2 3; do
		for name in "$@"; do
			wait_for 1 "$name" grep -q "$text.*instance=$name " \
				"$DIR/entry-$d.log" 2>/dev/null
		done
	done
}

# Start endpoints of a service, of which no VM knows a fault yet, and let the ones
# before, in FRESH, leave.
renew() { # SERVICE HOW_MANY [OPTION...]
	service=$1 many=$2 before=$FRESH FRESH=
	shift 2
	while [ "$many" -gt 0 ]; do
		many=$((many - 1))
		FRESH_HOST=$((FRESH_HOST + 1))
		start_stutter f$FRESH_HOST $FRESH_HOST "$service" "$@"
		FRESH="$FRESH f$FRESH_HOST"
	done
	for name in $before; do
		kill -USR1 "$(pid_of "stutter_$name")"
	done
	wait_logged "An endpoint started" $FRESH
	wait_logged "An endpoint leaves" $before
	for name in $before; do
		kill -TERM "$(pid_of "stutter_$name")"
	done
}

# Send a row of calls and print what came of it: answers that are not the
# caller's own, calls served, what was wrong, and answers that the fault was
# part of.  A row in which no endpoint had the fault has tried nothing.
row() { # ROUTE KIND WHEN [OPTION...]
	route=$1 kind=$2 when=$3
	shift 3
	ROWS=$((ROWS + 1))
	case $kind in
	stop-size | stop-between | stop-fits | stop-skips | coding) set -- --framings chunks "$@" ;;
	esac
	case $route in
	chat | choir) set -- --stream --method POST \
		-H 'Daisyledge-Token-Usage: 1000,50' "$@" ;;
	book) set -- --method POST "$@" ;;
	esac
	# An entry drops lines over its limit of a second; one is waited for below.
	[ "$AT" = "$DIRECT" ] || sleep 1
	result=$(test/tool_answers --to "$AT" --path "/$route/$kind" \
		--when "$when" --tag "r$ROWS" --calls $CALLS "$@" \
		2>>"$DIR/answers.log")
	status=$?
	faults=$(grep -c "^r$ROWS-" "$FAULTS" 2>/dev/null)
	label="$route $kind $when"
	[ "$AT" = "$DIRECT" ] || label="$label, another VM"
	printf '%-40s %s, faults %s\n' "$label" "$result" "${faults:-0}"
	[ $status != 2 ] || fail "$label: the callers cannot be started"
	[ $status = 0 ] || RED="$RED $label;"
	[ "$kind" = none ] || [ "${faults:-0}" != 0 ] ||
		fail "$label: no endpoint did so"
	[ "$AT" = "$DIRECT" ] ||
		wait_for 3 "a log line" grep -q "attempt=r$ROWS-.* via=127" \
			"$DIR/entry-3.log" ||
		fail "$label: no endpoint was reached through another VM"
}

# Check that a call that must not be repeated reached one endpoint at most.
check_record() {
	awk '$3 ~ /^\/book\// && ran[$2]++ { print; twice = 1 }
		END { exit twice }' "$RECORD" || fail "a call ran twice"
}

end_rows() {
	check_record
	[ -z "$RED" ] || fail "answers that are not the caller's own, too few or too many:$RED"
}
