#!/bin/sh
# Guards against an answer that begins with bytes left over on a kept connection.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/net_deploy.sh
. test/answers_deploy.sh

start_all
configure_all
sleep 2 # until the VMs have earned repeats

for kind in copy copy-no-id copy-cut-line copy-cut-eol copy-cut-first \
	copy-cut-first-500 copy-cut-id copy-cut-value copy-cut-blank \
	copy-cut-body; do
	for when in next apart; do
		renew desk 2
		row look $kind $when
		renew writer 2 --stream
		row chat $kind $when
	done
done
end_rows
