#!/bin/sh
# Malformed input at every listener of one entry: it must respond, survive and
# keep its memory bounded.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
test_begin dala
deploy_start || fail "the deployment does not start"

RSS_MAX_KB=600000
[ -z "${DL_SANITIZED:-}" ] || RSS_MAX_KB=2000000
test/tool_badinput "$(vm_address 1 1):$HTTP_PORT" \
	"$(vm_address 1 1):$PEER_PORT" $MODEL $PLAIN_SERVICE ||
	fail "a malformed input was handled wrongly"
entry_serves_model 1 1 >/dev/null || fail "the entry does not serve afterwards"
rss=$(awk '/^VmRSS/ { print $2 }' "/proc/$(pid_of entry_1_1)/status")
[ "$rss" -lt $RSS_MAX_KB ] || fail "resident memory is $rss KB"
kill -TERM "$(pid_of entry_1_1)"
expect_exit 15 entry_1_1 0 || fail "the entry does not stop"
