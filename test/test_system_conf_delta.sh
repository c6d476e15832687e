#!/bin/sh
# Small changes of a configuration of 1,300 routes in quick succession, while
# VMs are suspended, killed and restarted, cut off, or miss pushes: each VM ends
# with the newest version, serves its routes and none that it removed, and never
# goes back. A VM that was up all along read one whole text, the first; one that
# was restarted reads a whole text again.
cd "$(dirname "$0")/.." || exit 2
ALLOW_CUT=1
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/conf_deploy.sh

start_all
start_platform_endpoint d1 21 --service desk --plain
configure_all '"key-one"'
write_routes
# Version N has the route /new-N/ and not /new-(N-1)/; the change is in the
# middle of the list.
large_config() { # VERSION
	{
		cut -d'}' -f1-650 "$DIR/routes"
		printf '},{"name":"new","host":"x.example","path_prefix":"/new-%s/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":100,"priority":1,"service":"desk","attempts":2,"public":true}' "$1"
		cut -d'}' -f651- "$DIR/routes"
	} | write_large "$1"
}
apply_changes() { # FROM TO
	n=$1
	while [ "$n" -le "$2" ]; do
		large_config "$n"
		accept_change "$n"
		n=$((n + 1))
	done
}
# Whether a VM serves a route; x.example has no other one.
serves() { # D VERSION
	$DL_HTTP -t 1000 -H 'Host: x.example' -H "Daisyledge-Attempt-Id: s$1x$2" \
		"$(entry_address "$1")" "/new-$2/x" >/dev/null 2>&1
}
lacks() { # D VERSION
	$DL_HTTP -t 1000 -H 'Host: x.example' -e 404 \
		-H "Daisyledge-Attempt-Id: l$1x$2" \
		"$(entry_address "$1")" "/new-$2/x" >/dev/null 2>&1
}
check_newest() { # VERSION WHEN
	for d in 1 2 3; do
		wait_for 3 "route $1 at entry $d" serves $d "$1" ||
			fail "$2: entry $d does not serve the newest version"
		lacks $d $(($1 - 1)) ||
			fail "$2: entry $d serves a route that was removed"
	done
}
count_deltas() { # D
	versions_in_force "$1" | grep -c 'delta=1'
}
count_whole() { # D
	versions_in_force "$1" | grep -vc 'delta=1'
}

apply_changes 6 6
check_newest 6 "the large configuration"
for d in 1 2 3; do
	whole_before=$(count_whole $d)
	eval "whole_$d=$whole_before"
done

# Changes while all VMs are up: each is a delta.
apply_changes 7 16
check_newest 16 "ten changes"
for d in 1 2 3; do
	[ "$(count_whole $d)" -eq "$(eval echo \$whole_$d)" ] ||
		fail "entry $d read a whole text for a small change"
	[ "$(count_deltas $d)" -ge 10 ] || fail "entry $d applied $(count_deltas $d) deltas"
done

# A VM is suspended during changes: pushes wait in its connections, or are lost
# with them and pulled.
kill -STOP "$(pid_of entry_3)"
apply_changes 17 20
kill -CONT "$(pid_of entry_3)"
check_newest 20 "after a suspension"

# A VM is cut off from the others for a few changes.
isolate_vm_3
sleep 1
apply_changes 21 23
reconnect_vm_3
check_newest 23 "after three versions without links"

# It is cut off for more versions than replicas keep.
isolate_vm_3
sleep 1
apply_changes 24 36
reconnect_vm_3
check_newest 36 "after 13 versions without links"
for d in 1 2; do
	[ "$(count_whole $d)" -eq "$(eval echo \$whole_$d)" ] ||
		fail "entry $d read a whole text although it was up all along"
done

# A VM is killed during changes and restarted.
kill -KILL "$(pid_of entry_2)"
wait "$(pid_of entry_2)" 2>/dev/null
apply_changes 37 38
whole_before=$(count_whole 2)
start_process entry 2
apply_changes 39 42
check_newest 42 "after a restart"
[ "$(count_whole 2)" -gt "$whole_before" ] ||
	fail "the restarted VM has read no whole text"

# The replica that pushes is killed between changes; another one goes on.
apply_changes 43 43
kill -KILL "$(pid_of replica_1)"
wait "$(pid_of replica_1)" 2>/dev/null
apply_changes 44 46
check_newest 46 "after the loss of a replica"
start_process replica 1 true
apply_changes 47 50
check_newest 50 "after the restart of a replica"

# Changes of all kinds at once: links are cut and mended while versions follow.
apply_changes 51 53 &
changes=$!
for _ in 1 2 3; do
	isolate_vm_3
	sleep 0.3
	reconnect_vm_3
	sleep 0.3
done
wait $changes || fail "changes are not accepted while links are cut"
apply_changes 54 54
check_newest 54 "after links that flap"

[ "$(count_whole 1)" -eq "$whole_1" ] ||
	fail "entry 1 read $(count_whole 1) whole texts although it was up all along"
[ "$(counter 1 conf_whole_reads)" = "$whole_1" ] &&
	[ "$(counter 1 conf_deltas_applied)" = "$(count_deltas 1)" ] ||
	fail "the counters of entry 1 differ from its log"
[ "$(counter 2 conf_whole_reads)" -ge 1 ] ||
	fail "the restarted VM counts no whole text"
for d in 1 2 3; do
	check_order $d
	echo "entry $d: $(count_whole $d) whole texts, $(count_deltas $d) deltas, $(grep -c 'delta cannot be used' "$DIR/entry-$d.log") unusable"
done
