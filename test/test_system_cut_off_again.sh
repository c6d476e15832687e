#!/bin/sh
# While a VM is cut off from all endpoints another one is cut off too, the VM that
# helped is killed, or the replicas lose their leader: the VMs cut off serve on.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/net_deploy.sh
. test/cut_off.sh

LONG_S=4
FAILOVER_MS=2000	# from a kill until others have taken over

# Stop the tries through a VM that is to be killed.
end_tries() { # D
	for tag in 1 2 3; do
		kill -KILL "$(pid_of load_$1$tag)"
	done
}

# The number of the VM whose replica leads, by the log of the last one to say so.
leader() {
	grep -h 'replica: Leading' "$DIR"/replica-?.log | sort | tail -1 >"$DIR/leading"
	grep -lFf "$DIR/leading" "$DIR"/replica-?.log | sed 's/.*replica-\(.\).log/\1/'
}

failures=
start_all

for how in hang refuse; do
	cut_links $how 1
	sleep 2
	begin=$(wall_ms)
	cut_links $how 2
	sleep $LONG_S
	end=$(wall_ms)
	heal_links $how 1 2
	sleep 3
	check_share "a second VM cut off, $how" $((begin + SETTLE_MS)) "$end" 1 2
	check_share "both healed, $how" $((end + HEALED_MS)) "$(wall_ms)" 1 2
done

# The VM that forwards most is killed.
cut_links refuse 1
sleep 2
helper=2
[ "$(grep -c 'via=127[^ ]*\.2\.1:' "$DIR/entry-1.log")" -ge \
	"$(grep -c 'via=127[^ ]*\.3\.1:' "$DIR/entry-1.log")" ] || helper=3
begin=$(wall_ms)
kill -KILL "$(pid_of entry_$helper)"
end_tries $helper
sleep $LONG_S
check_share "the VM that helped is killed" $((begin + FAILOVER_MS)) "$(wall_ms)" 1
with_mapped_links $helper start_process entry $helper
wait_for 10 "entry $helper" entry_is_ready $helper || fail "entry $helper is not ready again"
heal_links refuse 1
sleep 2

# The replicas lose their leader.
cut_links hang 1
sleep 2
d=$(leader)
[ -n "$d" ] || fail "no leader is known"
begin=$(wall_ms)
kill -KILL "$(pid_of "replica_$d")"
sleep $LONG_S
check_share "the leader is killed" $((begin + FAILOVER_MS)) "$(wall_ms)" 1
heal_links hang 1
end_checks
