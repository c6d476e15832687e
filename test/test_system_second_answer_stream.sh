#!/bin/sh
# Guards against a stream with bytes of another answer than the caller's own.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/net_deploy.sh
. test/answers_deploy.sh

start_all
configure_all
sleep 2 # until the VMs have earned repeats
start_stutter sound 1 choir --stream --sound
renew writer 2 --stream
wait_endpoints_known sound

row chat none now --served-min $CALLS
for kind in stop-line stop-eol stop-first stop-id stop-value stop-value-500 \
	stop-blank stop-body stop-size stop-between stop-fits stop-skips \
	copy copy-no-id; do
	renew writer 2 --stream
	row chat $kind now
	row chat $kind late
done
for kind in close-twice id-twice id-other-first id-other-last; do
	renew writer 2 --stream
	row chat $kind now
done

# Through another VM.
AT=$(entry_address 3)
row chat none now
for kind in stop-first stop-value stop-body stop-fits id-other-first copy-no-id; do
	renew writer 2 --stream
	row chat $kind now
done
AT=$DIRECT

# One of two endpoints is sound: as each call may be repeated, all are served.
CALLS=48
for kind in stop-value stop-body copy; do
	renew choir 1 --stream
	row choir $kind now --served-min $CALLS
done
for kind in copy copy-cut-value copy-cut-body; do
	renew choir 1 --stream
	row choir $kind next --served-min $CALLS
done
end_rows
