# Shell functions for system tests of hedged grant requests: three VMs of one
# region with metrics, and which of them grants.  To be sourced after
# test/platform_deploy.sh, with SEPARATE_DOMAINS set.
METRICS_PORT=7500

# As in platform_deploy.sh, and entries have an address for metrics.
start_process() { # ROLE D FOUND
	write_platform_settings "$@"
	[ "$1" != entry ] ||
		sed -i "s/\"foreign\":true,/&\"metrics\":\"127.$NET.$2.1:$METRICS_PORT\",/" \
			"$DIR/entry-$2.json"
	DAISYLEDGE_SETTINGS="$DIR/$1-$2.json" "$DL_BIN" "$1" \
		>>"$DIR/$1-$2.log" 2>&1 &
	record_pid "$1_$2" $!
}

value() { # D NAME
	metric "127.$NET.$1.1:$METRICS_PORT" "$2"
}

# Print the VM that grants a request for a service.
current_dispatcher() { # SERVICE TAG [D]
	for vm in 1 2 3; do
		eval "grants_$vm=$(value $vm grants_total)"
	done
	if [ "$1" = writer ]; then
		chat "${3:-1}" "find$2" >/dev/null
	else
		book "${3:-1}" "find$2" 200 -H "$KEY" >/dev/null
	fi || return 1
	for vm in 1 2 3; do
		[ "$(value $vm grants_total)" = "$(eval echo \$grants_$vm)" ] || echo $vm
	done
}

# No grant is held and no request is queued at any VM.
nothing_held() {
	for vm in 1 2 3; do
		[ "$(value $vm grants_held)" = 0 ] &&
			[ "$(value $vm queue_entries)" = 0 ] || return 1
	done
}

# Start three endpoints of each service, and wait until all VMs serve both.
start_endpoints_of_both() { # [OPTION of those of the model service...]
	for d in 1 2 3; do
		start_platform_endpoint "w$d" $d --zone "place-$d" --service writer "$@"
		start_platform_endpoint "d$d" $((d + 3)) --zone "place-$d" --service desk --plain
	done
	wait_endpoints_known w1 w2 w3 d1 d2 d3
	for d in 1 2 3; do
		wait_for 5 "a stream at $d" chat $d "first$d" || fail "no stream at $d"
		wait_for 5 "a call at $d" book $d "call$d" 200 -H "$KEY" || fail "no call at $d"
	done
}
