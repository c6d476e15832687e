#!/bin/sh
# A native completion that may have run at an endpoint, and finds no other one, is not
# refused as if it had not run.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=1
test_begin dala
. test/endings.sh
DL_RUNNER_OPTIONS="--endings $ENDINGS"

deploy_start || fail "the deployment does not start"
for i in 1 2 3; do
	$DL_HTTP -i -t 5000 -X POST -H 'Daisyledge-Deadline-Ms: 3000' \
		-d "{\"model\":\"$MODEL\",\"prompt\":\"ending-length-nobody-close-lf-a$i\",\"max_tokens\":3,\"stream\":true}" \
		"$(vm_address 2 1):$HTTP_PORT" /v1/completions >"$DIR/answer"
	[ -e "$ENDINGS/a$i" ] || fail "the endpoint did not get request $i"
	head -1 "$DIR/answer" | grep -Eq ' (503|429) ' || continue
	grep -iq '^daisyledge-outcome: not-run' "$DIR/answer" &&
		fail "$i: said not to have run: $(head -1 "$DIR/answer")"
	fail "$i: refused though it may have run: $(tr '\r\n' '  ' <"$DIR/answer")"
done
