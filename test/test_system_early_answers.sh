#!/bin/sh
# Guards against a part of an answer that a caller gets as the whole: an endpoint
# answers a long upload at once, with neither length nor chunks, sends half of the
# body and resets the connection while the upload is still written.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/net_deploy.sh
. test/answers_deploy.sh
UPLOAD_BYTES=${DL_EARLY_BYTES:-7000000}
CALLS=${DL_EARLY_CALLS:-96}
AT_ONCE=${DL_EARLY_AT_ONCE:-24}

upload() { # ROUTE
	row "$1" early now --method POST --body-bytes "$UPLOAD_BYTES" \
		--at-once "$AT_ONCE" --served-max 0
}

start_all
configure_all
renew desk 2
for route in look book; do
	upload $route
	AT=$(entry_address 3)
	upload $route
	AT=$DIRECT
done
end_rows
