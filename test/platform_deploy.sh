# Shell functions that run a deployment in the platform's protocol, for the
# system tests: the settings of its processes, emulated endpoints, and requests
# of operators and callers.  To be sourced after test/deploy.sh and test_begin.
CONTROL_PORT=7300
READY_PORT=7400
KEY='X-Api-Key: key-one'
HOST='Host: h.example'

control_address() { # D
	echo "127.$NET.$1.1:$CONTROL_PORT"
}

entry_address() { # D
	echo "127.$NET.$1.1:$HTTP_PORT"
}

SEEDS="\"$(control_address 1)\",\"$(control_address 2)\",\"$(control_address 3)\""

# The failure domain of a process: the same for all, or, with SEPARATE_DOMAINS
# set, one for each VM, in one region.
domain_settings() { # D
	if [ -n "${SEPARATE_DOMAINS:-}" ]; then
		printf '"failure_domain":"place-%s","region":"r"' "$1"
		printf ',"failure_domains":["place-1","place-2","place-3"]'
	else
		printf '"failure_domain":"r"'
	fi
}

# With ALLOW_CUT set, a process drops traffic to and from the addresses in the
# cut file of its VM.
cut_file_setting() { # D
	[ -z "${ALLOW_CUT:-}" ] || printf '"cut_file":"%s",' "$DIR/cut-$1"
}

# Partition VM 3 from the two others by dropping packets; callers and endpoints
# still reach it.
isolate_vm_3() {
	for d in 1 2; do
		printf '127.%s.3.1:%s\n127.%s.3.2:%s\n' \
			"$NET" $PEER_PORT "$NET" $PEER_PORT >"$DIR/cut-$d"
		printf '127.%s.%s.1:%s\n127.%s.%s.2:%s\n' \
			"$NET" $d $PEER_PORT "$NET" $d $PEER_PORT
	done >"$DIR/cut-3.new"
	mv "$DIR/cut-3.new" "$DIR/cut-3"
}

reconnect_vm_3() {
	rm "$DIR/cut-1" "$DIR/cut-2" "$DIR/cut-3"
}

# With DRAIN_MS_SETTING set, endpoints that are leaving serve while no other one is open.
drain_setting() {
	[ -z "${DRAIN_MS_SETTING:-}" ] ||
		printf '"endpoint_drain_ms":%s,' "$DRAIN_MS_SETTING"
}

write_platform_settings() { # ROLE D FOUND
	if [ "$1" = entry ]; then
		printf '{%s%s"name":"entry-%s",%s,"foreign":true,"http":"%s","ready":"127.%s.%s.1:%s","peer":"127.%s.%s.1:%s","tunnel":"127.%s.%s.1:%s","seeds":[%s],"key_lease_ms":2500,"stop_s":8}\n' \
			"$(cut_file_setting "$2")" "$(drain_setting)" "$2" "$(domain_settings "$2")" "$(entry_address "$2")" \
			"$NET" "$2" $READY_PORT \
			"$NET" "$2" $PEER_PORT \
			"$NET" "$2" $TUNNEL_PORT "$SEEDS"
	else
		mkdir -p "$DIR/data-$2"
		printf '{%s%s"name":"replica-%s",%s,"foreign":true,"operators":"%s","peer":"127.%s.%s.2:%s","seeds":[%s],"found":%s,"failures_max":1,"data_folder":"%s"}\n' \
			"$(cut_file_setting "$2")" "$(drain_setting)" "$2" "$(domain_settings "$2")" "$(control_address "$2")" \
			"$NET" "$2" $PEER_PORT "$(replica_seeds)" "$3" "$DIR/data-$2"
	fi >"$DIR/$1-$2.json"
}

# The control addresses of the replicas.  A replica connects to its peers on the
# hosts of its seeds and the port of its own peer address.
replica_seeds() {
	for r in 1 2 3; do
		printf '"127.%s.%s.2:%s"' "$NET" $r $CONTROL_PORT
		[ $r = 3 ] || printf ,
	done
}
SEEDS=$(replica_seeds)

start_process() { # ROLE D FOUND
	write_platform_settings "$@"
	DAISYLEDGE_SETTINGS="$DIR/$1-$2.json" "$DL_BIN" "$1" \
		>>"$DIR/$1-$2.log" 2>&1 &
	record_pid "$1_$2" $!
}

# Start three VMs, each with an entry and a replica; the replicas form a new
# group.
start_all() {
	for d in 1 2 3; do
		start_process replica $d true
		start_process entry $d
	done
}

# Submit the first configuration and wait until all entries are ready.
configure_all() { # KEYS
	wait_for 10 "the first configuration" put_config "$(config 5 5000 "$1")" ||
		fail "the first configuration is not accepted"
	for d in 1 2 3; do
		wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
	done
}

start_platform_endpoint() { # NAME I [OPTION...]
	name=$1 host=$2
	shift 2
	test/tool_runner --listen "127.$NET.9.$host:$ENDPOINT_PORT" \
		--control "$(control_address 1),$(control_address 2),$(control_address 3)" \
		--instance "$name" --zone r --record "$RECORD" "$@" \
		>>"$DIR/runner-$name.log" 2>&1 &
	record_pid "runner_$(echo "$name" | tr - _)" $!
}

config() { # VERSION TIMEOUT KEYS
	printf '{"version":%s,"routes":[{"name":"chat","host":"h.example","path_prefix":"/chat/","kind":"stream","timeout_ms":%s,"target_latency_ms":300,"priority":1,"service":"writer","attempts":2,"public":false,"resumable":true,"gap_target_ms":250},{"name":"book","host":"h.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":100,"priority":1,"service":"desk","attempts":1,"public":false},{"name":"look","host":"h.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":100,"priority":1,"service":"desk","attempts":2,"public":true}],"services":[{"name":"writer","max_conns":100,"engine":{"slots":16,"kv_capacity":315000,"stride":51,"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.003,"read_per_s":177000,"pairs_per_m":0.184,"chunk":2048,"usual":{"prompt":1000,"answer":500}}},{"name":"desk","max_conns":100}],"limits":{"idle_timeout_ms":15000},"tenants":[{"name":"team","api_keys":[%s],"priority":1}]}' \
		"$1" "$2" "$3"
}

# Submit a configuration.  Tries the replicas in turn until one accepts it,
# since those that do not lead only redirect.
put_config() { # CONFIG
	for d in 1 2 3; do
		$DL_HTTP -t 3000 -X POST -d "$1" "$(control_address $d)" /-/Config.Put \
			>/dev/null 2>&1 && return 0
	done
	return 1
}

get_config() {
	for d in 1 2 3; do
		$DL_HTTP -t 2000 "$(control_address $d)" /-/Config.Get 2>/dev/null &&
			return 0
	done
	return 1
}

config_is_version() { # VERSION
	get_config | grep -q "^{\"version\":$1,"
}

chat() { # D ATTEMPT [OPTION...]
	d=$1 attempt=$2
	shift 2
	case "$*" in
	*Token-Usage*) ;;
	*) set -- -H 'Daisyledge-Token-Usage: 1000,50' "$@" ;;
	esac
	$DL_HTTP -t 6000 -X POST -H "$HOST" -H "$KEY" \
		-H "Daisyledge-Attempt-Id: $attempt" \
		-H 'Daisyledge-Deadline-Ms: 5000' -d prompt "$@" \
		"$(entry_address "$d")" /chat/x 2>>"$DIR/chat.log"
}

book() { # D ATTEMPT STATUS [OPTION...]
	d=$1 attempt=$2 status=$3
	shift 3
	$DL_HTTP -t 4000 -X POST -H "$HOST" -H "Daisyledge-Attempt-Id: $attempt" \
		-H 'Daisyledge-Deadline-Ms: 2000' -d x -e "$status" "$@" \
		"$(entry_address "$d")" /book/x
}

stream_is_complete() { # FILE
	for n in 1 2 3 4 5 6 7 8; do
		printf 'id: %s\ndata: e%s\n\n' $n $n
	done | cmp -s - "$1"
}

entry_is_ready() { # D
	$DL_HTTP -t 1000 "127.$NET.$1.1:$READY_PORT" /-/ready
}

# Have an endpoint announce that it is leaving, then stop it.
retire() { # NAME
	kill -USR1 "$(pid_of "$1")"
	sleep 0.5
	kill -TERM "$(pid_of "$1")"
}

# Send streams and calls through a VM until killed.  The second character of an
# attempt id is the VM's number.  Attempts that fail are listed in
# $DIR/unserved.
generate_load() { # D TAG
	n=0
	while :; do
		n=$((n + 1))
		chat "$1" "c$1x$2x$n" >/dev/null || echo "c$1x$2x$n"
		for kind in b e; do
			book "$1" "$kind$1x$2x$n" 200 -H "$KEY" >/dev/null 2>&1 ||
				echo "$kind$1x$2x$n"
		done
		$DL_HTTP -t 2000 -H "$HOST" \
			-H "Daisyledge-Attempt-Id: l$1x$2x$n" \
			"$(entry_address "$1")" /look/x >/dev/null 2>&1 ||
			echo "l$1x$2x$n"
	done >>"$DIR/unserved"
}

# Run this many load generators through each VM, once it serves requests.
load_all() { # LOADS
	for d in 1 2 3; do
		wait_for 5 "a stream at $d" chat $d "first$d" ||
			fail "no stream at $d"
		wait_for 5 "a call at $d" book $d "call$d" 200 -H "$KEY" ||
			fail "no call at $d"
		l=0
		while [ $l -lt "$1" ]; do
			l=$((l + 1))
			generate_load $d $l &
			record_pid load_$d$l $!
		done
	done
}

check_all_served() { # WHEN
	[ ! -s "$DIR/unserved" ] ||
		fail "$1: requests failed: $(head -5 "$DIR/unserved" | tr '\n' ' ')"
}

# The VM that was the first dispatcher of a service.
dispatcher_of() { # SERVICE
	grep -l "Dispatching begins here. service=$1" "$DIR"/entry-?.log |
		head -1 | sed 's/.*entry-\(.\).log/\1/'
}

# Have endpoints reject all requests with a Retry-After, in seconds.
shed() { # RETRY_AFTER NAME...
	after=$1
	shift
	for name in "$@"; do
		echo "$after" >"$DIR/shed-$name.new"
		mv "$DIR/shed-$name.new" "$DIR/shed-$name"
	done
}

# Start four endpoints of each service, spread over the three failure domains,
# that log arrivals and reject requests while their shed file exists.
start_shedding_runners() { # [OPTION...]
	for i in 1 2 3 4; do
		at="--zone place-$((i % 3 + 1)) --arrivals $DIR/arrivals"
		# shellcheck disable=SC2086
		start_platform_endpoint w$i $((10 + i)) --service writer $at \
			--shed "$DIR/shed-w$i" "$@"
		# shellcheck disable=SC2086
		start_platform_endpoint d$i $((20 + i)) --service desk --plain $at \
			--shed "$DIR/shed-d$i" "$@"
	done
}

# Wait until every entry knows these endpoints.
wait_endpoints_known() { # NAME...
	for d in 1 2 3; do
		for name in "$@"; do
			wait_for 5 "$name" grep -q "started.*instance=$name " \
				"$DIR/entry-$d.log" || fail "an endpoint is not known"
		done
	done
}
