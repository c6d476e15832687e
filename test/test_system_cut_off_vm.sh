#!/bin/sh
# VMs that lose their links to all endpoints serve as the others do: new
# connections are refused or hang while old ones live on, hang or are reset.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

SETTLE_MS=1000	# from the cut until its requests are counted
CUT_S=5
HEALED_MS=1000	# from the end of a cut
SHARE_MIN=667	# per mille of the share that the other VMs serve
OTHERS_MIN=950	# per mille
ENDPOINTS="w1:11 w2:12 w3:13 w4:14 d1:21 d2:22 d3:23"
CLOSED=127.$NET.9.250:9
TARPIT=127.$NET.9.251:9
RELAY_PORT=9500
RELAY_CONTROL_PORT=9501

endpoint() { # NAME:HOST
	echo "127.$NET.9.${1#*:}:$ENDPOINT_PORT"
}

# Where connections of VM 1 pass, so that open ones can be cut too.
relay_of() { # NAME:HOST
	echo "127.$NET.8.${1#*:}:$RELAY_PORT"
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
	done >"$DIR/map-$1.new"
	mv "$DIR/map-$1.new" "$DIR/map-$1"
}

start_mapped_entry() { # D
	had_options=${ASAN_OPTIONS:-}
	[ -z "${DL_SANITIZED:-}" ] ||
		export ASAN_OPTIONS="$had_options:verify_asan_link_order=0"
	export LD_PRELOAD="$PWD/test/fault_net.so" DL_NET_MAP="$DIR/map-$1"
	start_process entry "$1"
	unset LD_PRELOAD DL_NET_MAP
	[ -z "${DL_SANITIZED:-}" ] || export ASAN_OPTIONS="$had_options"
}

# Send first tries through a VM until killed, and list their times and ends.
send_tries() { # D TAG
	n=0
	while :; do
		n=$((n + 1))
		for kind in c b l; do
			id=$kind$1x$2x$n
			at=$(wall_ms)
			case $kind in
			c) chat "$1" "$id" ;;
			b) book "$1" "$id" 200 -H "$KEY" ;;
			l) $DL_HTTP -t 2000 -H "$HOST" \
				-H "Daisyledge-Attempt-Id: $id" \
				-H 'Daisyledge-Deadline-Ms: 2000' \
				"$(entry_address "$1")" /look/x ;;
			esac >/dev/null 2>&1
			echo "$at $1 $id $?"
		done
	done >>"$DIR/tries"
}

# Check the tries of a time: as many are served at the VMs named as at others.
check_share() { # WHAT FROM TO VM...
	what=$1 from=$2 to=$3
	shift 3
	awk -v from="$from" -v to="$to" -v vms=" $* " -v least=$SHARE_MIN \
		-v others_least=$OTHERS_MIN '
		$1 >= from && $1 < to {
			cut = index(vms, " " $2 " ") > 0
			sent[cut]++
			served[cut] += $4 == 0
		}
		END {
			printf "served %d of %d at the VMs cut off, %d of %d at the others\n",
				served[1], sent[1], served[0], sent[0]
			if (!sent[0] || !sent[1])
				exit 1
			share = served[1] / sent[1]
			others = served[0] / sent[0]
			exit !(share * 1000 >= others * least &&
				others * 1000 >= others_least)
		}' "$DIR/tries" >"$DIR/share"
	result=$?
	echo "$what: $(cat "$DIR/share")"
	[ $result = 0 ] || failures="$failures $what;"
}

# Cut VMs off and check what they serve then and after it: run_cut WHAT HOW VM...
# HOW: refuse, hang or reset.  Open connections are cut off at VM 1 only.
run_cut() {
	what=$1 how=$2
	shift 2
	begin=$(wall_ms)
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
	sleep $CUT_S
	end=$(wall_ms)
	case "$how $*" in
	"hang 1"*) relay_control '{"forward":"pass","back":"pass","cut":true}' ;;
	esac
	for d in "$@"; do
		map_endpoints "$d" as-is
	done
	sleep 3
	check_share "$what" $((begin + SETTLE_MS)) "$end" "$@"
	check_share "$what, healed" $((end + HEALED_MS)) "$(wall_ms)" "$@"
}

failures=
for at in $ENDPOINTS; do
	test/tool_relay --listen "$(relay_of "$at")" --to "$(endpoint "$at")" \
		--control "127.$NET.8.${at#*:}:$RELAY_CONTROL_PORT" &
	record_pid "relay_${at%:*}" $!
done
test/tool_tarpit "$TARPIT" &
record_pid tarpit $!
for d in 1 2 3; do
	map_endpoints $d as-is
	start_process replica $d true
	start_mapped_entry $d
done
for at in $ENDPOINTS; do
	case $at in
	w*) start_platform_endpoint "${at%:*}" "${at#*:}" --service writer ;;
	d*) start_platform_endpoint "${at%:*}" "${at#*:}" --service desk --plain ;;
	esac
done
configure_all '"key-one"'
wait_endpoints_known w1 w2 w3 w4 d1 d2 d3
for d in 1 2 3; do
	wait_for 5 "a stream at $d" chat $d "first$d" || fail "no stream at $d"
	for tag in 1 2 3; do
		send_tries $d $tag &
		record_pid load_$d$tag $!
	done
done
sleep 1

dispatcher=$(dispatcher_of writer)
run_cut "one VM, refused" refuse 1
run_cut "one VM, hanging" hang 1
run_cut "one VM, reset" reset 1
run_cut "the dispatching VM, hanging" hang "$dispatcher"
run_cut "two VMs of three, refused" refuse 1 2
run_cut "two VMs of three, hanging" hang 2 3

# A call that must not be repeated runs once at most.
awk '
	$2 ~ /^b/ { ran[$2]++ }
	END {
		for (a in ran) {
			if (ran[a] > 1) {
				print a " ran " ran[a] " times"
				twice = 1
			}
		}
		exit twice
	}' "$RECORD" || fail "a call ran twice"
[ -z "$failures" ] || fail "served too few:$failures"
