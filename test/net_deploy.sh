# Shell functions for system tests with links that fail: entries run with
# test/fake/preload_net.c, whose map of addresses is changed while they run.  To be
# sourced after test/deploy.sh and test_begin.
CLOSED=127.$NET.9.250:9
TARPIT=127.$NET.9.251:9

# Run a function that starts an entry whose connections are mapped by the file
# map-NAME.
with_mapped_links() { # NAME COMMAND...
	map=$DIR/map-$1
	shift
	[ -e "$map" ] || : >"$map"
	had_options=${ASAN_OPTIONS:-}
	[ -z "${DL_SANITIZED:-}" ] ||
		export ASAN_OPTIONS="$had_options:verify_asan_link_order=0"
	export LD_PRELOAD="$PWD/test/fault_net.so" DL_NET_MAP="$map"
	"$@"
	unset LD_PRELOAD DL_NET_MAP
	[ -z "${DL_SANITIZED:-}" ] || export ASAN_OPTIONS="$had_options"
}

# Replace the map of an entry by standard input: lines of two addresses.
map_links() { # NAME
	cat >"$DIR/map-$1.new"
	mv "$DIR/map-$1.new" "$DIR/map-$1"
}

# Start what does not answer connections, at $TARPIT.
start_tarpit() {
	test/tool_tarpit "$TARPIT" &
	record_pid tarpit $!
}

# The rest is for deployments in the platform's protocol.  ENDPOINTS lists the
# endpoints as NAME:HOST.  Connections of VM 1 pass relays, so that open ones can
# be cut too.
RELAY_PORT=9500
RELAY_CONTROL_PORT=9501

endpoint() { # NAME:HOST
	echo "127.$NET.9.${1#*:}:$ENDPOINT_PORT"
}

relay_of() { # NAME:HOST
	echo "127.$NET.8.${1#*:}:$RELAY_PORT"
}

start_relays() {
	for at in $ENDPOINTS; do
		test/tool_relay --listen "$(relay_of "$at")" \
			--to "$(endpoint "$at")" \
			--control "127.$NET.8.${at#*:}:$RELAY_CONTROL_PORT" &
		record_pid "relay_${at%:*}" $!
	done
}

relay_control() { # JSON
	for at in $ENDPOINTS; do
		$DL_HTTP -t 2000 -X POST -d "$1" \
			"127.$NET.8.${at#*:}:$RELAY_CONTROL_PORT" /relay >/dev/null ||
			fail "no answer of a relay"
	done
}

# Map the endpoints' addresses for VM D to one address, or, with "as-is", to
# themselves and for VM 1 to its relays.
map_endpoints() { # D ADDRESS|as-is
	for at in $ENDPOINTS; do
		if [ "$2" != as-is ]; then
			echo "$(endpoint "$at") $2"
		elif [ "$1" = 1 ]; then
			echo "$(endpoint "$at") $(relay_of "$at")"
		fi
	done | map_links "$1"
}

# Cut VMs off from all endpoints: cut_links HOW VM...; HOW: refuse, hang or reset.
# Open connections are cut as well, but, where the cut refuses, live on.
cut_links() { # HOW VM...
	how=$1
	shift
	for d in "$@"; do
		case $how in
		hang) map_endpoints "$d" "$TARPIT" ;;
		*) map_endpoints "$d" "$CLOSED" ;;
		esac
	done
	case "$how $*" in
	"hang 1"*) relay_control '{"forward":"silent","back":"silent"}' ;;
	"reset 1"*) relay_control '{"cut":true}' ;;
	esac
}

heal_links() { # HOW VM...
	how=$1
	shift
	case "$how $*" in
	"hang 1"*) relay_control '{"forward":"pass","back":"pass","cut":true}' ;;
	esac
	for d in "$@"; do
		map_endpoints "$d" as-is
	done
}
