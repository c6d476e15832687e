#!/bin/sh
# Operators whose changes find no quorum and who disconnect before the response:
# the entry must not crash, and a late response must not reach another caller.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
test_begin dala
deploy_start || fail "the deployment does not start"
kill -KILL "$(pid_of replica_1_1)" "$(pid_of replica_2_1)"

# Changes whose operators disconnect; the entry abandons each some seconds
# later.
ENTRY=$(vm_address 1 1):$HTTP_PORT
# Written only once: a change that reads the file while it is rewritten finds it
# empty.
sed "s/\"log_level\": \"info\"/\"log_level\": \"warn\"/" \
	"$DIR/config.json" >"$DIR/config-2.json"
n=0
while [ $n -lt 12 ]; do
	$DL_HTTP -t 300 -X POST -d "{\"text\":$(printf '%s' \
		'"{}"'),\"change_id\":\"x$n\"}" "$ENTRY" /v1/config >/dev/null 2>&1
	"$DL_BIN" apply "$DIR/config-2.json" --change-id "c$n" --timeout 1 \
		--entry "$ENTRY" >"$DIR/apply-$n.log" 2>&1 &
	record_pid "apply_$n" $!
	"$DL_BIN" status --timeout 1 --entry "$ENTRY" >/dev/null 2>&1
	n=$((n + 1))
done

# Other callers are served meanwhile, each with its own response.
run_load --seconds 10 --done-min 500 || fail "a check of the load failed"
for n in 0 5 11; do
	wait "$(pid_of apply_$n)"
	[ $? -eq 4 ] || fail "apply without a quorum did not exit with status 4"
done
for d in 1 2 3; do
	kill -0 "$(pid_of entry_${d}_1)" || fail "an entry has died"
done

# The quorum returns: no abandoned change made a version twice, and a new change
# is accepted.
start_replica 1
start_replica 2
wait_for 20 "the quorum" "$DL_BIN" apply "$DIR/config.json" --change-id last \
	--timeout 5 --entry "$ENTRY" || fail "no change is accepted with the quorum back"
for d in 1 2 3; do
	kill -TERM "$(pid_of entry_${d}_1)"
	expect_exit 10 entry_${d}_1 0 || fail "an entry does not stop"
done
