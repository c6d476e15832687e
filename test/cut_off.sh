# Shell functions for system tests of VMs that lose their links to endpoints:
# tries through each VM, and what is served at those cut off and at the others.
# To be sourced after test/platform_deploy.sh and test/net_deploy.sh.
SETTLE_MS=1000	# from the cut until its requests are counted
HEALED_MS=1000	# from the end of a cut
SHARE_MIN=667	# per mille of the share that the other VMs serve
OTHERS_MIN=950	# per mille
ENDPOINTS="w1:11 w2:12 w3:13 w4:14 d1:21 d2:22 d3:23"

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

# Start three VMs and the endpoints that ENDPOINTS lists, w* for the service
# "writer" and d* for the plain service "desk", and tries through each VM.
start_all() {
	start_relays
	start_tarpit
	for d in 1 2 3; do
		map_endpoints $d as-is
		start_process replica $d true
		with_mapped_links $d start_process entry $d
	done
	names=
	for at in $ENDPOINTS; do
		names="$names ${at%:*}"
		case $at in
		w*) start_platform_endpoint "${at%:*}" "${at#*:}" --service writer ;;
		d*) start_platform_endpoint "${at%:*}" "${at#*:}" --service desk --plain ;;
		esac
	done
	configure_all '"key-one"'
	wait_endpoints_known $names
	for d in 1 2 3; do
		wait_for 5 "a stream at $d" chat $d "first$d" ||
			fail "no stream at $d"
		for tag in 1 2 3; do
			send_tries $d $tag &
			record_pid load_$d$tag $!
		done
	done
	sleep 1
}

# Check that a call that must not be repeated ran once at most, and that every
# share was enough.
end_checks() {
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
}
