#!/bin/sh
# A completion that crashes every engine that runs it, resent through every VM,
# in the native API.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=9
STABLE_S=3 # until every VM has learned of the crashes
test_begin dala
deploy_start || fail "the deployment does not start"

complete() { # D PROMPT [OPTION...]
	d=$1 prompt=$2
	shift 2
	$DL_HTTP -t 5000 -X POST -H 'Daisyledge-Deadline-Ms: 4000' \
		-d "{\"model\":\"$MODEL\",\"prompt\":\"$prompt\",\"max_tokens\":1}" \
		"$@" "$(vm_address "$d" 1):$HTTP_PORT" /v1/completions
}

count_ended() {
	n=0
	for i in 1 2 3 4 5 6 7 8 9; do
		not_running "$(pid_of endpoint_$i)" && n=$((n + 1))
	done
	echo $n
}

for i in 1 2 3 4 5 6 7 8 9; do
	inject_fault $i die-first 1
done
n=0
while [ "$(count_ended)" -lt 3 ] && [ $n -lt 4 ]; do
	n=$((n + 1))
	complete 1 crash >/dev/null 2>&1
	sleep 0.3
done
before=$(count_ended)
[ "$before" -ge 3 ] || fail "$before engines crashed, expected at least 3"
[ "$before" -le 4 ] || fail "$before engines crashed, expected at most 4"
sleep $STABLE_S
for d in 1 2 3 1 2 3; do
	complete $d crash -e 503 | grep -q '"quarantined"' ||
		fail "VM $d does not refuse the request as quarantined"
done
[ "$(count_ended)" -eq "$before" ] || fail "$(count_ended) engines crashed, expected $before"
