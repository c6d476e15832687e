#!/bin/sh
# Evacuation of a failure domain by the command line: the endpoints of other
# domains serve its callers, and status lists it.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
test_begin dala
deploy_start || fail "the deployment does not start"
ASK=$(vm_address 2 1):$HTTP_PORT
FIRST=$(domain_name 1)

evacuate() { # STATUS ARGUMENT...
	want=$1
	shift
	"$DL_BIN" evacuate --entry "$ASK" --timeout 8 "$@" >"$DIR/evacuate.out" 2>&1
	got=$?
	[ $got -eq "$want" ] || fail "exit status $got, expected $want: $*"
}

lists_domain() {
	"$DL_BIN" status --entry "$ASK" | grep -A1 'EVACUATED DOMAIN' |
		grep -q "$FIRST"
}

begun_there() { # MS: executions begun at the domain's endpoints since
	awk -v net="127.$NET.101." -v t="$1" \
		'$1 == "B" && $2 >= t && index($3, net) == 1' "$RECORD" | wc -l
}

evacuate 2 "$FIRST"
evacuate 2 "$FIRST" begin
evacuate 1 nowhere start
evacuate 0 "$FIRST" start
grep -q "$FIRST is evacuated" "$DIR/evacuate.out" || fail "the result is not printed"
evacuate 0 "$FIRST" start
grep -q 'nothing was changed' "$DIR/evacuate.out" || fail "a repeat is not named"
wait_for 3 "the status" lists_domain || fail "status does not list the domain"
sleep 1.2
since=$(date +%s%3N)
for n in 1 2 3 4; do
	for v in 1 2 3; do
		entry_serves_model $v 1 >/dev/null || fail "no completion at VM $v"
		entry_serves_plain $v 1 >/dev/null || fail "no service at VM $v"
	done
done
[ "$(begun_there "$since")" -eq 0 ] || fail "an evacuated endpoint got a request"
evacuate 0 "$FIRST" end
sleep 1.2
since=$(date +%s%3N)
for n in 1 2 3 4; do
	entry_serves_model 1 1 >/dev/null || fail "no completion after the end"
done
[ "$(begun_there "$since")" -gt 0 ] || fail "the domain gets nothing after the end"
