#!/bin/sh
# Guards against a head that is none of HTTP/1.1 and that a caller gets as an answer:
# a status that HTTP does not have, another version, a name with a blank or a control
# byte, a coding that nobody asked for.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/net_deploy.sh
. test/answers_deploy.sh

KINDS="status-000 status-600 status-999 status-none version-9 name-blank name-control
	name-begins-blank name-ends-blank name-none value-control coding"

start_all
configure_all
sleep 2 # until the VMs have earned repeats
# With one slot, so that the other endpoint of its service gets calls as well.
start_stutter sound 1 pair --sound --slots 1
renew desk 2
wait_endpoints_known sound
row look none now --served-min $CALLS

for kind in $KINDS; do
	renew desk 2
	row look "$kind" now --served-max 0
	row book "$kind" now --served-max 0
	AT=$(entry_address 3)
	row look "$kind" now --served-max 0
	AT=$DIRECT
done
for kind in status-000 status-600 name-begins-blank name-control coding; do
	renew writer 2 --stream
	row chat "$kind" now --served-max 0
done
# One of two endpoints is sound: as each call may be repeated, all are served.
CALLS=48
for kind in $KINDS; do
	renew pair 1
	row pair "$kind" now --served-min $CALLS
done
end_rows
