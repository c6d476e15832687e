#!/bin/sh
# Drain by configuration.  A drained endpoint gets no new request after 2 s,
# while its streams complete; a drained VM is not ready, does not dispatch, and
# completes its requests; ending the drain restores both.  Also checks what
# operators see: a trace span for each hop of a request, and the pools of all
# failure domains.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=2
DL_RUNNERS=6
test_begin dala
deploy_start || fail "the deployment does not start"
ASK=$(vm_address 2 1):$HTTP_PORT

dispatcher() { # the address of the dispatcher of the model in domain 1
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

executions_since() { # ADDRESS MS: the count of executions begun
	awk -v a="$1" -v t="$2" '$1 == "B" && $3 == a && $2 >= t' "$RECORD" |
		wc -l
}

# Every VM reports the pools of all failure domains.
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

# The trace of a request has a span for each hop.
id=$($DL_HTTP -i -X POST -H 'Daisyledge-Deadline-Ms: 4000' \
	-d "{\"model\":\"$MODEL\",\"prompt\":\"hops\",\"max_tokens\":3}" \
	"$ASK" /v1/completions | tr -d '\r' |
	sed -n 's/^daisyledge-request: *//Ip')
[ -n "$id" ] || fail "a response without a request id"
$DL_HTTP "$ASK" /v1/traces | sed 's/{"request"/\n&/g' |
	grep "^{\"request\":\"$id\"" >"$DIR/trace" || fail "no trace of $id"
for span in 'ask\|queue' connect first_token body; do
	grep -q "\"name\":\"\\($span\\)\"" "$DIR/trace" ||
		fail "no span $span: $(cat "$DIR/trace")"
done

# Start streams of up to 2.5 s through the VM that dispatches in domain 1, as
# many as its two runners execute concurrently.  test_system_drain_queue.sh
# covers queued streams.
first=$(dispatcher)
VM=${first%:*}:$HTTP_PORT
case $VM in
"$(vm_address 1 1):$HTTP_PORT") other=$(vm_address 1 2):$PEER_PORT ;;
"$(vm_address 1 2):$HTTP_PORT") other=$(vm_address 1 1):$PEER_PORT ;;
*) fail "domain 1 has the dispatcher $first" ;;
esac
RUNNER=$(endpoint_address 1)
start_streams "$VM" --rate 0.45
[ "$(executions_since "$RUNNER" 0)" -gt 0 ] || fail "the endpoint had no request before the drain"
sed "s/\"drain\": {\"vms\": \[\], \"endpoints\": \[\]}/\"drain\": {\"vms\": \
[\"$first\"], \"endpoints\": [\"$RUNNER\"]}/" "$DIR/config.json" \
	>"$DIR/drain.json"
"$DL_BIN" apply "$DIR/drain.json" --wait --timeout 10 --entry "$ASK" \
	>"$DIR/drain.log" 2>&1 || fail "drain: $(cat "$DIR/drain.log")"
drained=$(wall_ms)
draining "$VM" || fail "the drained VM reports ready"
kill -0 "$(pid_of streams)" || fail "no stream was in flight at the drain"
$DL_HTTP -e 503 -X POST -d "{\"model\":\"$MODEL\",\"prompt\":\"new\"}" "$VM" \
	/v1/completions >"$DIR/new" || fail "the drained VM accepted a request: $(cat "$DIR/new")"
grep -q '"reason": *"draining"' "$DIR/new" || fail "$(cat "$DIR/new")"
wait_for 5 "another dispatcher" dispatches "$other" || exit 1
all=$ENTRIES
ENTRIES=$(echo "$all" | tr ',' '\n' | grep -vxF "$VM" | paste -sd, -)
run_load --seconds 5 --done-min 800 || fail "a check of the load failed"
wait "$(pid_of streams)"
status=$?
echo "streams: $(wc -l <"$DIR/streams")," \
	"cut: $(grep -c ' nothing ' "$DIR/streams")"
[ $status -eq 0 ] || {
	head "$DIR/streams.faults" >&2
	fail "a stream did not complete"
}
late=$(executions_since "$RUNNER" $((drained + 2000)))
[ "$late" -eq 0 ] || fail "$late requests begun at the drained endpoint after 2 s"
[ "$(executions_since "$(endpoint_address 4)" $((drained + 2000)))" -gt 0 ] ||
	fail "endpoint 4, which is not drained, had no request either"
cut=$(awk -v a="$RUNNER" '$1 == "E" && $3 == a && $NF != "whole"' "$RECORD" |
	wc -l)
[ "$cut" -eq 0 ] || fail "$cut of its executions did not complete"
kill -0 "$(pid_of endpoint_1)" || fail "the drained endpoint has ended"
draining "$VM" || fail "the drained VM reports ready again"

# Ending the drain restores both.
apply_config || fail "ending the drain: $(cat "$DIR/apply.log")"
lifted=$(wall_ms)
wait_for 5 "the VM to be ready again" $DL_HTTP "$VM" /readyz || exit 1
wait_for 5 "the first dispatcher to take over again" dispatches "$first" || exit 1
ENTRIES=$all
run_load --seconds 3 --seed 2 --done-min 400 || fail "a check after the drain failed"
[ "$(executions_since "$RUNNER" "$lifted")" -gt 0 ] ||
	fail "the endpoint gets no request after the drain"
$DL_HTTP -X POST -d "{\"model\":\"$MODEL\",\"prompt\":\"new\"}" "$VM" \
	/v1/completions >"$DIR/new" || fail "the VM does not serve after the drain: $(cat "$DIR/new")"
