# Shell functions that run a small deployment in the platform's protocol: three
# VMs, each with an entry and a replica, on loopback addresses.  The settings
# have the fields of deploy/entry.json.in and deploy/replica.json.in, with the
# bounds of sites/dimzveza.toml, or, with RETRY_SLACK and DRAIN_MS set, of a site
# with evacuations.  To be sourced in the root of the repository.

BIN=target/daisyledge
STANDIN=target/review/standin
FRONT_PORT=8227 READY_PORT=8220 CONTROL_PORT=8229 PEER_PORT=7340 TUNNEL_PORT=7341
RUNNER_PORT=8082

not_run() { # WHY
	echo "this case could not run: $*" >&2
	[ -z "${RECORD:-}" ] || echo "not run: $*" >>"$RECORD"
	exit 2
}

# Pick a network of loopback addresses that nobody uses.
pick_net() {
	NET=$((20 + $$ % 200))
	for try in 1 2 3 4 5 6 7 8; do
		"$STANDIN" free 127.$NET.1.1:$FRONT_PORT &&
			"$STANDIN" free 127.$NET.1.2:$CONTROL_PORT && return 0
		NET=$(((NET + 13) % 200 + 20))
	done
	not_run "no free addresses"
}

begin() { # FOLDER OF THE CASE
	[ -x "$BIN" ] || not_run "$BIN is not built"
	[ -x "$STANDIN" ] || not_run "$STANDIN is not built"
	RECORD=$PWD/$1/record.txt
	: >"$RECORD"
	TROUBLE=${TROUBLE:-1}
	DIR=$(mktemp -d)
	PIDS=
	trap finish EXIT
	trap 'exit 2' INT TERM HUP
	pick_net
	SEEDS=127.$NET.1.2:$CONTROL_PORT,127.$NET.2.2:$CONTROL_PORT,127.$NET.3.2:$CONTROL_PORT
	echo "trouble=$TROUBLE" >>"$RECORD"
}

# End every process that was started, by its id.
finish() {
	for pid in $PIDS; do
		kill -KILL "$pid" 2>/dev/null
	done
	for pid in $PIDS; do
		wait "$pid" 2>/dev/null
	done
	[ -n "${KEEP:-}" ] || rm -rf "$DIR"
}

started() { # NAME PID
	PIDS="$PIDS $2"
	eval "PID_$(echo "$1" | tr - _)=$2"
}

pid_of() {
	eval "echo \$PID_$(echo "$1" | tr - _)"
}

quoted_seeds() {
	echo "\"$SEEDS\"" | sed 's/,/","/g'
}

start_entry() { # VM
	cat >"$DIR/entry-$1.json" <<END
{"name":"entry-$1","failure_domain":"z$1","region":"r","failure_domains":["z1","z2","z3"],
"foreign":true,"metrics":"127.$NET.$1.1:9901","http":"127.$NET.$1.1:$FRONT_PORT",
"ready":"127.$NET.$1.1:$READY_PORT","peer":"127.$NET.$1.1:$PEER_PORT",
"tunnel":"127.$NET.$1.1:$TUNNEL_PORT","seeds":[$(quoted_seeds)],
"key_lease_ms":5000,"stop_s":8,"retry_ratio":0.2,"retry_slack":${RETRY_SLACK:-100},
"retry_window_s":10,${DRAIN_MS:+\"endpoint_drain_ms\":$DRAIN_MS,}"buffer_mb":64,"connections_max":3000}
END
	DAISYLEDGE_SETTINGS="$DIR/entry-$1.json" "$BIN" entry \
		>>"$DIR/entry-$1.log" 2>&1 &
	started "entry_$1" $!
}

start_replica() { # VM FOUND
	mkdir -p "$DIR/data-$1"
	cat >"$DIR/replica-$1.json" <<END
{"name":"replica-$1","failure_domain":"z$1","region":"r","failure_domains":["z1","z2","z3"],
"foreign":true,"metrics":"127.$NET.$1.2:9901","operators":"127.$NET.$1.2:$CONTROL_PORT",
"peer":"127.$NET.$1.2:$PEER_PORT","seeds":[$(quoted_seeds)],"found":$2,
"failures_max":1,${DRAIN_MS:+\"endpoint_drain_ms\":$DRAIN_MS,}"data_folder":"$DIR/data-$1"}
END
	DAISYLEDGE_SETTINGS="$DIR/replica-$1.json" "$BIN" replica \
		>>"$DIR/replica-$1.log" 2>&1 &
	started "replica_$1" $!
}

wait_for() { # SECONDS WHAT COMMAND...
	left=$(($1 * 10)) what=$2
	shift 2
	until "$@"; do
		left=$((left - 1))
		[ $left -gt 0 ] || not_run "waited in vain for $what"
		sleep 0.1
	done
}

# Start the deployment with a configuration, and wait until it is ready.
start_deployment() { # CONFIGURATION FILE
	for vm in 1 2 3; do
		start_replica $vm true
		start_entry $vm
	done
	wait_for 15 "the first configuration" "$STANDIN" put "$SEEDS" "$1"
	echo "configuration acknowledged" >>"$RECORD"
	for vm in 1 2 3; do
		wait_for 15 "entry $vm" "$STANDIN" get \
			127.$NET.$vm.1:$READY_PORT /-/ready
	done
}

start_runner() { # NAME HOST OPTION...
	name=$1 host=$2
	shift 2
	"$STANDIN" runner --listen "127.$NET.9.$host:$RUNNER_PORT" \
		--control "$SEEDS" --instance "$name" --record "$RECORD" "$@" \
		2>>"$DIR/runner-$name.log" &
	started "runner_$name" $!
}

# Wait until every entry knows a runner.
runner_is_known() { # NAME
	for vm in 1 2 3; do
		grep -q "instance=$1 " "$DIR/entry-$vm.log" || return 1
	done
}

in_record() { # PATTERN
	grep -q "$1" "$RECORD"
}
