#!/bin/sh
# Changes of the configuration that a replica accepts and cannot commit: because no
# disk stores them, or because the leader is cut off.  The answer says which it is,
# and comes soon after the leader has stepped down.  Such a change may take effect
# later, once, and its repetition under the same number is then acknowledged.
# Guards against refusals without a reason, and answers that come later than
# callers wait for them: a leader that had lost its lease answered after 3 s.
cd "$(dirname "$0")/.." || exit 2
ALLOW_CUT=1
. test/deploy.sh
. test/disk_deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/conf_deploy.sh

for d in 1 2 3; do
	on_fault_disk $d "$DIR/data-$d" start_process replica $d true
	start_process entry $d
done
configure_all '"key-one"'

leader() {
	leading_replica "$DIR/replica-1.log" "$DIR/replica-2.log" \
		"$DIR/replica-3.log"
}
# Submit a version to one replica and print the answer.
put_at() { # D VERSION
	$DL_HTTP -i -t 9000 -X POST -d "$(config "$2" 5000 '"key-one"')" \
		"$(control_address "$1")" /-/Config.Put
}
# Drop all packets between a replica and the two others.
cut_off_replica() { # D
	for r in 1 2 3; do
		[ $r = "$1" ] || echo "127.$NET.$r.2:$PEER_PORT"
	done >"$DIR/cut-$1"
	for r in 1 2 3; do
		[ $r = "$1" ] ||
			echo "127.$NET.$1.2:$PEER_PORT" >"$DIR/cut-$r"
	done
}
# Each entry has put in force so many versions, and none twice.
check_versions() { # COUNT WHEN
	for d in 1 2 3; do
		wait_for 5 "$1 versions at entry $d" has_versions $d "$1" ||
			fail "$2: entry $d has $(versions_in_force $d | wc -l) versions"
		check_order $d
	done
}
has_versions() { # D COUNT
	[ "$(versions_in_force "$1" | wc -l)" -eq "$2" ]
}

# No disk stores anything: each of two attempts is refused in the end, the leader
# keeps its lease, and confirms the version that is in force.
lead=$(leader)
leaders=$(count_leaders)
for d in 1 2 3; do
	order_disk $d "sync stall"
done
for attempt in 1 2; do
	put_at "$lead" 6 >"$DIR/stalled-$attempt"
	grep -q '^HTTP/1.1 503 ' "$DIR/stalled-$attempt" &&
		grep -q 'not committed in time' "$DIR/stalled-$attempt" ||
		fail "the answer with disks that hang is $(tr -d '\r' <"$DIR/stalled-$attempt" | tr '\n' ' ')"
done
wait_for 5 "version 5" config_is_version 5 ||
	fail "the version in force is not confirmed while disks hang"
[ "$(count_leaders)" -eq "$leaders" ] ||
	fail "the leader has lost its lease because disks hang"
for d in 1 2 3; do
	order_disk $d
done

# Both commands are committed now; the version takes effect without another attempt,
# and only once.
wait_for 5 "version 6" config_is_version 6 ||
	fail "a change that was not confirmed does not take effect"
put_at "$(leader)" 6 >"$DIR/repeated"
grep -q '^HTTP/1.1 200 ' "$DIR/repeated" ||
	fail "the repetition of a change is not acknowledged"
check_versions 2 "after disks that hung"

# The leader is cut off with a change that it has accepted.  It may have committed
# the change before the cut, or no longer lead; then another change is tried.
is_lost() { # FILE
	grep -q '^HTTP/1.1 503 ' "$1" && ! grep -q 'no leader is known' "$1"
}
count=2
for number in 7 8 9 10 11; do
	lead=$(leader)
	cut_off_replica "$lead"
	sleep 0.1
	put_at "$lead" $number >"$DIR/lost"
	if is_lost "$DIR/lost"; then
		break
	fi
	rm -f "$DIR"/cut-?
	grep -q '^HTTP/1.1 200 ' "$DIR/lost" && count=$((count + 1))
	wait_for 10 "a leader" get_config || fail "no replica leads"
done
is_lost "$DIR/lost" || fail "no change was lost with its leader"
grep -q 'no longer leads' "$DIR/lost" ||
	fail "the answer of a leader that was cut off is $(tr -d '\r' <"$DIR/lost" | tr '\n' ' ')"

# The others accept the repetition; the replica that was cut off drops its own.
wait_for 10 "version $number at the others" \
	put_config "$(config $number 5000 '"key-one"')" ||
	fail "the others do not accept the change"
rm -f "$DIR"/cut-?
check_versions $((count + 1)) "after the cut"
wait_for 5 "version $number" config_is_version $number ||
	fail "version $number is not in force"
echo "answered: $(tail -n 1 "$DIR/stalled-1"), $(tail -n 1 "$DIR/lost")"
