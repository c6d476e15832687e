#!/bin/sh
# An engine rejects a native completion, at its start or when it is resumed: the caller
# gets an error or a broken stream, and no completion that is said to be done.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=1
test_begin dala
. test/endings.sh
DL_RUNNER_OPTIONS="--endings $ENDINGS"

complete() { # PROMPT STREAM
	$DL_HTTP -i -t 5000 -e 200 -X POST -H 'Daisyledge-Deadline-Ms: 3000' \
		-d "{\"model\":\"$MODEL\",\"prompt\":\"$1\",\"max_tokens\":3,\"stream\":$2}" \
		"$(vm_address 2 1):$HTTP_PORT" /v1/completions >"$DIR/answer"
}

deploy_start || fail "the deployment does not start"
inject_fault 1 invalid -1
for stream in false true; do
	complete "at the start" $stream && fail "done: $(tr '\r\n' '  ' <"$DIR/answer")"
	head -1 "$DIR/answer" | grep -q ' 422 ' ||
		fail "at the start: $(tr '\r\n' '  ' <"$DIR/answer")"
done
complete ending-chunks-inline-close-lf-a1 true && fail "a resumed stream is complete"
[ -e "$ENDINGS/a1" ] || fail "the endpoint did not begin the stream"
grep -q 'e2' "$DIR/answer" || fail "resumed: $(tr '\r\n' '  ' <"$DIR/answer")"
grep -q 'DONE' "$DIR/answer" && fail "resumed: $(tr '\r\n' '  ' <"$DIR/answer")"
exit 0
