#!/bin/sh
# Guards against a caller that gets bytes of another answer than its own.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/net_deploy.sh
. test/answers_deploy.sh

start_all
configure_all
sleep 2 # until the VMs have earned repeats
# With one slot, so that the other endpoint of its service gets calls as well.
start_stutter sound 1 pair --sound --slots 1
renew desk 2
wait_endpoints_known sound

row look none now --served-min $CALLS
row book none now --served-min $CALLS
for kind in stop-line stop-eol stop-first stop-id stop-value stop-value-500 \
	stop-blank stop-body stop-size stop-between stop-fits stop-skips \
	copy copy-no-id; do
	renew desk 2
	for route in look book; do
		row $route $kind now
		row $route $kind late
	done
done
for kind in close-twice id-twice id-other-first id-other-last; do
	renew desk 2
	row look $kind now
	row book $kind now
done

# Through another VM.
AT=$(entry_address 3)
row look none now
for kind in stop-first stop-value stop-body stop-fits id-other-first copy-no-id; do
	renew desk 2
	row look $kind now
	row book $kind now
done
AT=$DIRECT

# One of two endpoints is sound: as each call may be repeated, all are served.
CALLS=48
for kind in stop-value stop-body id-other-last copy; do
	renew pair 1
	row pair $kind now --served-min $CALLS
done
for kind in copy copy-no-id copy-cut-first copy-cut-value copy-cut-body; do
	renew pair 1
	row pair $kind next --served-min $CALLS
done
end_rows
