#!/bin/sh
# Operators' drain by the text: an endpoint gets nothing new 2 s later while
# its streams end whole; a VM is no longer ready, dispatches nothing and ends
# what it has; lifting the drain brings both back.  And what operators see:
# a span for each hop of a request, and the pools of every failure domain.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=2
DL_RUNNERS=6
test_begin dala
deploy_start || fail "the deployment does not start"
ASK=$(vm_address 2 1):$HTTP_PORT

dispatcher() { # prints the address of domain 1's dispatcher of the model
	"$DL_BIN" status --json --entry "$ASK" | tr '{' '\n' |
		grep "\"domain\":\"$(domain_name 1)\"" |
		grep "\"service\":\"$MODEL_SERVICE\"" | grep '"dispatcher"' |
		sed 's/.*"dispatcher":"\([^"]*\)".*/\1/'
}

dispatches() { # ADDRESS
	[ "$(dispatcher)" = "$1" ]
}

draining() { # ADDRESS
	$DL_HTTP -e 503 "$1" /readyz | grep -q draining
}

executions_since() { # ADDRESS MS: executions that began there from then on
	awk -v a="$1" -v t="$2" '$1 == "B" && $3 == a && $2 >= t' "$RECORD" |
		wc -l
}

# The pools of every failure domain, by name, whichever VM is asked.
for v in "1 1" "2 2" "3 1"; do
	# shellcheck disable=SC2086
	"$DL_BIN" status --entry "$(vm_address $v):$HTTP_PORT" >"$DIR/status"
	for name in $DOMAINS; do
		for s in $MODEL_SERVICE $PLAIN_SERVICE; do
			grep -q "^ *$s  *$name  *127\." "$DIR/status" ||
				fail "VM $v: no pool of $s in $name"
		done
	done
done

# A span for each hop of one request, by its id.
id=$($DL_HTTP -i -X POST -H 'Daisyledge-Deadline-Ms: 4000' \
	-d "{\"model\":\"$MODEL\",\"prompt\":\"hops\",\"max_tokens\":3}" \
	"$ASK" /v1/completions | tr -d '\r' |
	sed -n 's/^daisyledge-request: *//Ip')
[ -n "$id" ] || fail "an answer without its request's id"
$DL_HTTP "$ASK" /v1/traces | sed 's/{"request"/\n&/g' |
	grep "^{\"request\":\"$id\"" >"$DIR/trace" || fail "no trace of $id"
for span in 'ask\|queue' connect first_token body; do
	grep -q "\"name\":\"\\($span\\)\"" "$DIR/trace" ||
		fail "no span $span: $(cat "$DIR/trace")"
done

# Streams of up to 2.5 s begin through the VM that dispatches in domain 1, as
# many as its two runners take at once; test_system_drain_queue.sh has those
# that wait.
first=$(dispatcher)
VM=${first%:*}:$HTTP_PORT
case $VM in
"$(vm_address 1 1):$HTTP_PORT") other=$(vm_address 1 2):$PEER_PORT ;;
"$(vm_address 1 2):$HTTP_PORT") other=$(vm_address 1 1):$PEER_PORT ;;
*) fail "domain 1 has the dispatcher $first" ;;
esac
RUNNER=$(endpoint_address 1)
test/tool_load --entries "$VM" --classes test/data/load-streams.json \
	--seconds 1 --rate 0.45 --seed 7 --out "$DIR/streams" --quiet --done-min 1000 \
	2>"$DIR/streams.faults" &
record_pid streams $!
sleep 1.3
[ "$(executions_since "$RUNNER" 0)" -gt 0 ] || fail "no work before the drain"
sed "s/\"drain\": {\"vms\": \[\], \"endpoints\": \[\]}/\"drain\": {\"vms\": \
[\"$first\"], \"endpoints\": [\"$RUNNER\"]}/" "$DIR/config.json" \
	>"$DIR/drain.json"
"$DL_BIN" apply "$DIR/drain.json" --wait --timeout 10 --entry "$ASK" \
	>"$DIR/drain.log" 2>&1 || fail "drain: $(cat "$DIR/drain.log")"
drained=$(wall_ms)
draining "$VM" || fail "the drained VM says that it is ready"
kill -0 "$(pid_of streams)" || fail "no stream was in flight at the drain"
$DL_HTTP -e 503 -X POST -d "{\"model\":\"$MODEL\",\"prompt\":\"new\"}" "$VM" \
	/v1/completions >"$DIR/new" || fail "a drained VM: $(cat "$DIR/new")"
grep -q '"reason": *"draining"' "$DIR/new" || fail "$(cat "$DIR/new")"
wait_for 5 "dispatching to move off" dispatches "$other" || exit 1
all=$ENTRIES
ENTRIES=$(echo "$all" | tr ',' '\n' | grep -vxF "$VM" | paste -sd, -)
run_load --seconds 5 --done-min 800 || fail "a check of the load is broken"
wait "$(pid_of streams)"
status=$?
echo "streams: $(wc -l <"$DIR/streams")," \
	"cut: $(grep -c ' nothing ' "$DIR/streams")"
[ $status -eq 0 ] || {
	head "$DIR/streams.faults" >&2
	fail "not every stream was done"
}
late=$(executions_since "$RUNNER" $((drained + 2000)))
[ "$late" -eq 0 ] || fail "$late begun at the drained endpoint after 2 s"
[ "$(executions_since "$(endpoint_address 4)" $((drained + 2000)))" -gt 0 ] ||
	fail "its neighbour had no work either"
cut=$(awk -v a="$RUNNER" '$1 == "E" && $3 == a && $NF != "whole"' "$RECORD" |
	wc -l)
[ "$cut" -eq 0 ] || fail "$cut of its executions did not end whole"
kill -0 "$(pid_of endpoint_1)" || fail "the drained endpoint has ended"
draining "$VM" || fail "the drain does not last"

# Lifted: both are as before.
apply_config || fail "lifting: $(cat "$DIR/apply.log")"
lifted=$(wall_ms)
wait_for 5 "the VM to be ready again" $DL_HTTP "$VM" /readyz || exit 1
wait_for 5 "dispatching to come back" dispatches "$first" || exit 1
ENTRIES=$all
run_load --seconds 3 --seed 2 --done-min 400 || fail "a check after the drain is broken"
[ "$(executions_since "$RUNNER" "$lifted")" -gt 0 ] ||
	fail "the endpoint gets no work after the drain"
$DL_HTTP -X POST -d "{\"model\":\"$MODEL\",\"prompt\":\"new\"}" "$VM" \
	/v1/completions >"$DIR/new" || fail "the VM after it: $(cat "$DIR/new")"
