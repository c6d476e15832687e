#!/bin/sh
# Drain of a VM that dispatches, with more streams through it than the runners
# of its failure domain execute concurrently.  The queued streams must complete
# too, since runners become free long before their deadline.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=2
DL_RUNNERS=6
test_begin dala
deploy_start || fail "the deployment does not start"
ASK=$(vm_address 2 1):$HTTP_PORT
first=$("$DL_BIN" status --json --entry "$ASK" | tr '{' '\n' |
	grep "\"domain\":\"$(domain_name 1)\"" |
	grep "\"service\":\"$MODEL_SERVICE\"" | grep '"dispatcher"' |
	sed 's/.*"dispatcher":"\([^"]*\)".*/\1/')
VM=${first%:*}:$HTTP_PORT
start_streams "$VM"
sed "s/\"drain\": {\"vms\": \[\]/\"drain\": {\"vms\": [\"$first\"]/" \
	"$DIR/config.json" >"$DIR/drain.json"
"$DL_BIN" apply "$DIR/drain.json" --wait --timeout 10 --entry "$ASK" \
	>"$DIR/drain.log" 2>&1 || fail "drain: $(cat "$DIR/drain.log")"
$DL_HTTP -e 503 "$VM" /readyz >/dev/null || fail "the VM reports ready"
kill -0 "$(pid_of streams)" || fail "no stream was in flight at the drain"
wait "$(pid_of streams)" || {
	awk '{ print $6, $7, $11 }' "$DIR/streams" | sort | uniq -c >&2
	fail "a stream did not complete: $(tail -1 "$DIR/streams.faults")"
}
