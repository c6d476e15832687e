#!/bin/sh
# Changes of a large configuration in quick succession: the last one takes
# effect on all VMs within two seconds, and VMs need not parse each earlier one.
# Each change alters all routes, so it is a large delta, which is applied in
# slices, or, after a gap, a whole text; test_system_conf_delta.sh has changes of
# a few routes.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

start_all
configure_all '"key-one"'

# 500 more routes, each for a different host.
routes=$(seq 1 500 | while read -r i; do
	printf '{"name":"r%s","host":"%s.example","path_prefix":"/%s/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":100,"priority":1,"service":"desk","attempts":2,"public":true},' \
		"$i" "$(printf %s "$i" | md5sum | cut -c1-12)" "$i"
done)
large_config() { # VERSION
	config "$1" 5000 '"key-one"' | sed "s|\"routes\":\[|&@|" |
		awk -v r="$(echo "$routes" | sed "s/:2000,/:$((2000 + $1)),/g")" '{ i = index($0, "@"); print substr($0, 1, i - 1) r substr($0, i + 1) }'
}
n=6
while [ $n -le 25 ]; do
	large_config $n >"$DIR/large.$n"
	n=$((n + 1))
done
apply_changes() { # FROM TO
	n=$1
	while [ $n -le "$2" ]; do
		$DL_HTTP -t 3000 -X POST -d "$(cat "$DIR/large.$n")" \
			"$(control_address 1)" /-/Config.Put >/dev/null 2>&1 ||
			put_config "$(cat "$DIR/large.$n")" ||
			fail "change $n is not accepted"
		n=$((n + 1))
	done
}
count_versions_in_force() { # D
	grep -c 'Configuration in force' "$DIR/entry-$1.log"
}
latest_version_is() { # D VERSION
	grep 'Configuration in force' "$DIR/entry-$1.log" | tail -1 |
		grep -q "version=$2 "
}
# Whether a VM parsed each whole text only after a pause of three times the parse
# time of the one before, or once the version had waited 300 ms; 2 ms allow for
# rounding.
check_read_intervals() { # D
	grep 'Configuration in force' "$DIR/entry-$1.log" | grep -v 'delta=1' |
		sed 's/.*waited_ms=\([0-9]*\) rested_ms=\([-0-9]*\) read_ms=\([0-9]*\).*/\1 \2 \3/' |
		awk '$2 >= 0 && $2 + 2 < 3 * before && $1 < 300 { exit 1 }
			{ before = $3 }'
}
# Whether a VM rested three times as long as it applied each large delta. After
# the last step, of some 4 ms, it need not. The rest after a step is at most
# 100 ms, so a delta with a step of more than 33 ms, as on a busy machine, is not
# checked.
check_slices() { # D
	grep 'Configuration in force' "$DIR/entry-$1.log" | grep 'delta=1' |
		grep -v 'slices=0' |
		sed 's/.*read_ms=\([0-9]*\) .*slice_ms=\([0-9]*\).*/\1 \2/' |
		awk '$2 < 33 && $1 - $2 < 3 * ($2 - 4) { exit 1 }'
}
begun=$(wall_ms)
apply_changes 6 15
took=$(($(wall_ms) - begun))
for d in 1 2 3; do
	wait_for 2 "the last change" $DL_HTTP -t 1000 -H 'Host: x.example' \
		-e 404 "$(entry_address $d)" /x/ >/dev/null || fail "entry $d does not respond"
	wait_for 2 "version 11 in force" latest_version_is $d 11 ||
		fail "the last change is not in force at entry $d"
	check_read_intervals $d || fail "entry $d parses without a pause"
	check_slices $d || fail "entry $d applies a delta without a pause"
	# Slower changes may each be parsed after a pause.
	[ $took -ge 1000 ] || [ "$(count_versions_in_force $d)" -le 8 ] ||
		fail "entry $d parsed each of the changes"
done
echo "versions parsed: $(count_versions_in_force 1) $(count_versions_in_force 2) $(count_versions_in_force 3), in $took ms"

# Of ten changes made while a VM is suspended, it may parse the first, the last
# and one in between.
before=$(count_versions_in_force 3)
kill -STOP "$(pid_of entry_3)"
apply_changes 16 25
kill -CONT "$(pid_of entry_3)"
wait_for 4 "version 21 in force" latest_version_is 3 21 ||
	fail "the last change is not in force at the VM that was suspended"
read_since=$(($(count_versions_in_force 3) - before))
echo "versions parsed after the suspension: $read_since"
[ $read_since -le 3 ] || fail "entry 3 parsed $read_since of the ten changes that it missed"
