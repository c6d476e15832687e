#!/bin/sh
# A response to a stream's request that is whole by its length and no stream of events is
# delivered as it is.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

start_all
configure_all '"key-one"'
start_platform_endpoint w1 11 --service writer --fault json
wait_endpoints_known w1
chat 1 s1 >"$DIR/answer" || fail "s1: not delivered: $(cat "$DIR/answer")"
[ "$(cat "$DIR/answer")" = answer ] || fail "s1: $(cat "$DIR/answer")"
