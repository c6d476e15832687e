# Shell functions that run a deployment as processes on loopback addresses, for
# the demo, the system tests and the benchmarks.  To be sourced.  Processes are
# stopped by process id, and only those that were started here.
#
#   deploy_init KIND NET DIR   KIND: dala or zveza; NET: second octet of all
#                              addresses, different for concurrent deployments;
#                              DIR: directory of all files
#   deploy_start               start VMs, replicas and endpoints, then apply
#                              the configuration
#   deploy_stop                stop all processes that were started
#
# Addresses: VM v of failure domain d is 127.NET.d.v; endpoint i is
# 127.NET.1dd.i with dd its failure domain.

DL_BIN=${DL_BIN:-./daisyledge}
DL_HTTP=test/tool_http
DL_ENDPOINT=${DL_ENDPOINT:-test/tool_endpoint}
DL_RUNNER_OPTIONS=${DL_RUNNER_OPTIONS:-}
DL_LOG_LEVEL=${DL_LOG_LEVEL:-info}
HTTP_PORT=8080
OPERATOR_PORT=$HTTP_PORT
# A script that gives operators and endpoints separate listeners sets
# OPERATOR_PORT, ANNOUNCE_TO (where endpoints announce themselves; default
# ENTRIES), ENDPOINT_KEY, and redefines entry_settings.
ANNOUNCE_TO=
ENDPOINT_KEY=
entry_settings() { # D V
	:
}
PEER_PORT=7100
TUNNEL_PORT=7150
REPLICA_PORT=7200
ENDPOINT_PORT=9000

# Set the variables of a deployment and write its configuration.
deploy_init() {
	KIND=$1
	NET=$2
	DIR=$3
	mkdir -p "$DIR"
	: >"$DIR/pids"
	: >"$DIR/away"
	RECORD=$DIR/record
	: >"$RECORD"
	case $KIND in
	dala)
		DOMAINS="medeu-hall alatau-hall turksib-hall"
		MODEL_SERVICE=match-writer MODEL=match-7b RUNNERS=16
		PLAIN_SERVICE=front-desk PLAINS=3
		CONFIG=examples/dala-serik.json
		CLASSES=test/data/load-dala.json
		;;
	zveza)
		DOMAINS="dvorana-a dvorana-b dvorana-c"
		MODEL_SERVICE=daisyledge-pool MODEL=dimnik-7b RUNNERS=14
		PLAIN_SERVICE=termini PLAINS=3
		CONFIG=examples/zveza.json
		CLASSES=test/data/load-zveza.json
		;;
	*)
		echo "deploy: unknown deployment: $KIND" >&2
		return 2
		;;
	esac
	VMS_EACH=${VMS_EACH:-2}
	RUNNERS=${DL_RUNNERS:-$RUNNERS}
	ENTRIES=
	for d in 1 2 3; do
		v=1
		while [ $v -le "$VMS_EACH" ]; do
			ENTRIES=$ENTRIES,$(vm_address $d $v):$HTTP_PORT
			v=$((v + 1))
		done
	done
	ENTRIES=${ENTRIES#,}
	ENDPOINTS=
	i=1
	while [ $i -le $((RUNNERS + PLAINS)) ]; do
		ENDPOINTS=$ENDPOINTS,$(endpoint_address $i)
		i=$((i + 1))
	done
	ENDPOINTS=${ENDPOINTS#,}
	# The configuration lists the replicas by address.
	sed "s/127\.0\./127.$NET./g" "$CONFIG" >"$DIR/config.json"
}

vm_address() {
	echo "127.$NET.$1.$2"
}

# Endpoints are assigned to the failure domains in turn.
endpoint_domain() {
	echo $((($1 - 1) % 3 + 1))
}

endpoint_address() {
	echo "127.$NET.$((100 + $(endpoint_domain "$1"))).$1:$ENDPOINT_PORT"
}

domain_name() {
	echo "$DOMAINS" | cut -d' ' -f"$1"
}

# When a process was started, which tells it from a later one with its id.
process_start() { # PID
	sed 's/.*) //' "/proc/$1/stat" 2>/dev/null | cut -d' ' -f20
}

# Record the process id of a started process under a name.
record_pid() {
	echo "$1 $2 $(process_start "$2")" >>"$DIR/pids"
	eval "PID_$1=$2"
}

pid_of() {
	eval "echo \${PID_$1:-}"
}

peer_list() {
	sep=
	for d in 1 2 3; do
		v=1
		while [ $v -le "$VMS_EACH" ]; do
			printf '%s"%s:%s"' "$sep" "$(vm_address $d $v)" \
				$PEER_PORT
			sep=,
			v=$((v + 1))
		done
		printf ',"%s:%s"' "$(vm_address $d 1)" $REPLICA_PORT
	done
}

replica_list() {
	printf '"%s:%s","%s:%s","%s:%s"' \
		"$(vm_address 1 1)" $REPLICA_PORT \
		"$(vm_address 2 1)" $REPLICA_PORT \
		"$(vm_address 3 1)" $REPLICA_PORT
}

write_settings() { # ROLE D V
	name=$(domain_name "$2")-$3
	file=$DIR/$1-$2-$3.json
	{
		printf '{"name":"%s","failure_domain":"%s",' \
			"$name" "$(domain_name "$2")"
		if [ "$1" = entry ]; then
			printf '"http":"%s:%s","peer":"%s:%s","tunnel":"%s:%s",' \
				"$(vm_address "$2" "$3")" $HTTP_PORT \
				"$(vm_address "$2" "$3")" $PEER_PORT \
				"$(vm_address "$2" "$3")" $TUNNEL_PORT
			entry_settings "$2" "$3"
		else
			mkdir -p "$DIR/data-$2-$3"
			printf '"peer":"%s:%s","data_folder":"%s",' \
				"$(vm_address "$2" "$3")" $REPLICA_PORT \
				"$DIR/data-$2-$3"
		fi
		[ -z "${ALLOW_CUT:-}" ] || printf '"cut_file":"%s",' \
			"$DIR/cut-$2"
		printf '"peers":[%s],"replicas":[%s],"log_level":"%s"}\n' \
			"$(peer_list)" "$(replica_list)" "$DL_LOG_LEVEL"
	} >"$file"
}

start_entry() { # D V
	write_settings entry "$1" "$2"
	"$DL_BIN" entry -c "$DIR/entry-$1-$2.json" \
		>>"$DIR/entry-$1-$2.log" 2>&1 &
	record_pid "entry_$1_$2" $!
}

start_replica() { # D
	write_settings replica "$1" 1
	"$DL_BIN" replica -c "$DIR/replica-$1-1.json" \
		>>"$DIR/replica-$1-1.log" 2>&1 &
	record_pid "replica_$1_1" $!
}

start_runner() { # I [OPTION...]
	i=$1
	shift
	# shellcheck disable=SC2086
	"$DL_ENDPOINT" --listen "$(endpoint_address "$i")" \
		--entries "${ANNOUNCE_TO:-$ENTRIES}" \
		--service $MODEL_SERVICE --models $MODEL \
		${ENDPOINT_KEY:+--key-file "$ENDPOINT_KEY"} \
		--domain "$(domain_name "$(endpoint_domain "$i")")" \
		--record "$RECORD" --seed "$i" $DL_RUNNER_OPTIONS "$@" \
		>>"$DIR/endpoint-$i.log" 2>&1 &
	record_pid "endpoint_$i" $!
}

start_plain() { # I [OPTION...]
	i=$1
	shift
	"$DL_ENDPOINT" --listen "$(endpoint_address "$i")" --plain \
		--entries "${ANNOUNCE_TO:-$ENTRIES}" \
		--service $PLAIN_SERVICE --models "" \
		${ENDPOINT_KEY:+--key-file "$ENDPOINT_KEY"} \
		--domain "$(domain_name "$(endpoint_domain "$i")")" \
		--record "$RECORD" --seed "$i" "$@" \
		>>"$DIR/endpoint-$i.log" 2>&1 &
	record_pid "endpoint_$i" $!
}

start_endpoints() {
	n=1
	while [ $n -le "$RUNNERS" ]; do
		start_runner $n
		n=$((n + 1))
	done
	while [ $n -le $((RUNNERS + PLAINS)) ]; do
		start_plain $n
		n=$((n + 1))
	done
}

# Poll a command until it succeeds: wait_for SECONDS WHAT COMMAND...
wait_for() {
	wait_until=$(($(date +%s) + $1))
	what=$2
	shift 2
	while :; do
		"$@" >/dev/null 2>&1 && return 0
		[ "$(date +%s)" -le $wait_until ] || break
		sleep 0.1
	done
	echo "deploy: timed out waiting for $what" >&2
	return 1
}

entry_ready() { # D V
	$DL_HTTP -t 1000 "$(vm_address "$1" "$2"):$HTTP_PORT" /readyz
}

# Whether an entry serves a completion.
entry_serves_model() { # D V
	$DL_HTTP -t 5000 -X POST -H 'Daisyledge-Deadline-Ms: 4000' \
		-d "{\"model\":\"$MODEL\",\"prompt\":\"ready\",\"max_tokens\":1}" \
		"$(vm_address "$1" "$2"):$HTTP_PORT" /v1/completions
}

entry_serves_plain() { # D V
	$DL_HTTP -t 5000 "$(vm_address "$1" "$2"):$HTTP_PORT" \
		"/s/$PLAIN_SERVICE/ready?by=$1$2"
}

for_each_vm() { # COMMAND
	for d in 1 2 3; do
		v=1
		while [ $v -le "$VMS_EACH" ]; do
			"$@" $d $v || return 1
			v=$((v + 1))
		done
	done
}

apply_config() {
	"$DL_BIN" apply "$DIR/config.json" --wait \
		--timeout 10 --entry "$(vm_address 1 1):$OPERATOR_PORT" >"$DIR/apply.log" 2>&1
}

deploy_start() {
	for d in 1 2 3; do
		start_replica $d
	done
	for_each_vm start_entry
	start_endpoints
	wait_for 15 "the first configuration" apply_config || {
		cat "$DIR/apply.log" >&2
		return 1
	}
	wait_for 15 "ready entries" for_each_vm entry_ready &&
		wait_for 15 "models at all entries" for_each_vm entry_serves_model &&
		wait_for 15 "services at all entries" for_each_vm entry_serves_plain
}

# Kill all processes that were started, by process id, and wait for them.  The id of
# one that has ended may be that of another test's process by now.
deploy_stop() {
	[ -f "$DIR/pids" ] || return 0
	while read -r _ pid started; do
		[ -n "$started" ] && [ "$(process_start "$pid")" = "$started" ] ||
			continue
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done <"$DIR/pids"
	wait 2>/dev/null
	: >"$DIR/pids"
}

# Reserve a second octet that no other deployment on this machine uses.
claim_subnet() {
	n=$((10 + $$ % 240))
	tries=240
	while [ $tries -gt 0 ]; do
		SUBNET_LOCK=/tmp/daisyledge-net.$n
		if mkdir "$SUBNET_LOCK" 2>/dev/null; then
			echo $$ >"$SUBNET_LOCK/pid"
			CLAIMED_SUBNET=$n
			return 0
		fi
		owner=$(cat "$SUBNET_LOCK/pid" 2>/dev/null)
		if [ -n "$owner" ] && ! kill -0 "$owner" 2>/dev/null; then
			rm -rf "$SUBNET_LOCK"
			continue
		fi
		n=$((10 + (n - 9) % 240))
		tries=$((tries - 1))
	done
	echo "deploy: no free loopback subnet" >&2
	return 1
}

release_subnet() {
	[ -z "${CLAIMED_SUBNET:-}" ] || rm -rf "$SUBNET_LOCK"
}

# Begin a test script: give it its own directory and addresses, and an exit
# handler that stops all processes and keeps the directory only on failure.
test_begin() { # KIND
	TEST_NAME=$(basename "$0" .sh)
	WORK=$(mktemp -d "${TMPDIR:-/tmp}/$TEST_NAME.XXXXXX")
	trap test_end EXIT
	trap 'exit 130' INT TERM
	claim_subnet || exit 1
	deploy_init "$1" "$CLAIMED_SUBNET" "$WORK"
}

test_end() {
	status=$?
	trap - EXIT
	deploy_stop
	release_subnet
	if [ $status -eq 0 ]; then
		[ -n "${DL_KEEP:-}" ] || rm -rf "$WORK"
		echo "$TEST_NAME: passed"
	else
		echo "$TEST_NAME: FAILED, logs are in $WORK"
	fi
	exit $status
}

fail() {
	echo "$TEST_NAME: $*" >&2
	exit 1
}

# Shorten the gap timeout of the configuration, so that tests detect silent
# endpoints sooner.
set_gap_timeout() { # MS
	sed "s/\"gap_timeout_ms\": *[0-9]*/\"gap_timeout_ms\": $1/g" \
		"$DIR/config.json" >"$DIR/config.new" &&
		mv "$DIR/config.new" "$DIR/config.json"
}

# Run the load tool against all entries and check its results:
# run_load OPTION...
run_load() {
	test/tool_load --entries "$ENTRIES" --classes "$CLASSES" \
		--endpoints "$ENDPOINTS" --check "$RECORD" --away "$DIR/away" \
		--out "$DIR/results" --promises "$@"
}

# The value of a counter of an entry that serves metrics to operators.
metric() { # ADDRESS NAME
	$DL_HTTP -t 2000 "$1" /metrics 2>/dev/null |
		sed -n "s/^[a-z_]*$2 //p"
}

# Send streams of 2.5 s each, which begin within a second, through one VM, and wait
# until the VM has read them all: start_streams ADDRESS [OPTION...]
start_streams() {
	to=$1
	shift
	read_before=$(metric "$to" requests_total)
	test/tool_load --entries "$to" --classes test/data/load-streams.json \
		--seconds 1 --seed 7 --out "$DIR/streams" --quiet --done-min 1000 \
		--sent "$DIR/sent" "$@" 2>"$DIR/streams.faults" &
	record_pid streams $!
	wait_for 20 "the last stream to be sent" test -s "$DIR/sent" ||
		fail "the streams are not sent"
	wait_for 20 "the VM to read all streams" all_streams_read ||
		fail "the streams are not read"
}

all_streams_read() {
	[ "$(metric "$to" requests_total)" -ge $((read_before + $(cat "$DIR/sent"))) ]
}

wall_ms() {
	date +%s%3N
}

# Record that a VM has just been killed or suspended, or is back.  The load tool
# excuses failures of that VM's own callers in between, and nothing else.
record_vm_down() { # D V
	echo "$(vm_address "$1" "$2"):$HTTP_PORT away $(wall_ms)" >>"$DIR/away"
}

record_vm_up() { # D V
	echo "$(vm_address "$1" "$2"):$HTTP_PORT back $(wall_ms)" >>"$DIR/away"
}

# Inject a fault at an endpoint: inject_fault I NAME TIMES
inject_fault() {
	$DL_HTTP -X POST -d "{\"fault\":\"$2\",\"times\":$3}" \
		"$(endpoint_address "$1")" /fake/fault >/dev/null ||
		fail "endpoint $1 rejected fault $2"
}

# Wait for a process to exit and check its status:
# expect_exit SECONDS NAME STATUS
expect_exit() {
	pid=$(pid_of "$2")
	wait_for "$1" "the exit of $2" not_running "$pid" || return 1
	wait "$pid"
	got=$?
	[ $got -eq "$3" ] || {
		echo "$2 exited with status $got, expected $3" >&2
		return 1
	}
}

# A child that has exited but has not been waited for is a zombie.
not_running() {
	state=$(sed 's/.*) //; s/ .*//' "/proc/$1/stat" 2>/dev/null)
	[ -z "$state" ] || [ "$state" = Z ]
}
