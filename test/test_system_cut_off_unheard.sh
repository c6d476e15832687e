#!/bin/sh
# A VM that dispatches and loses its links to the endpoints is served by a VM
# that no endpoint has announced itself to.  Guards against tunnels that are
# refused because the forwarding VM does not know the endpoint.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=2
DL_RUNNERS=9
test_begin dala
. test/net_deploy.sh

REQUESTS=5

start_entry_unmapped() {
	write_settings entry "$1" "$2"
	"$DL_BIN" entry -c "$DIR/entry-$1-$2.json" \
		>>"$DIR/entry-$1-$2.log" 2>&1 &
	record_pid "entry_$1_$2" $!
}

start_entry() { # D V
	with_mapped_links "$1-$2" start_entry_unmapped "$1" "$2"
}

check_served() { # WHAT V
	n=0
	while [ $n -lt $REQUESTS ]; do
		n=$((n + 1))
		entry_serves_model 1 "$2" >"$DIR/answer" 2>&1 ||
			fail "$1: completion $n: $(cat "$DIR/answer")"
		entry_serves_plain 1 "$2" >"$DIR/answer" 2>&1 ||
			fail "$1: call $n: $(cat "$DIR/answer")"
		$DL_HTTP -t 5000 -X POST -H 'Daisyledge-Deadline-Ms: 4000' \
			-d "{\"model\":\"$MODEL\",\"prompt\":\"s\",\"max_tokens\":8,\"stream\":true}" \
			"$(vm_address 1 "$2"):$HTTP_PORT" /v1/completions \
			>"$DIR/answer" 2>&1 && grep -q '\[DONE\]' "$DIR/answer" ||
			fail "$1: stream $n: $(cat "$DIR/answer")"
	done
}

# VMs of other domains pass announcements on to the dispatchers only.
ANNOUNCE_TO=$(vm_address 2 1):$HTTP_PORT
deploy_start || fail "the deployment does not start"
check_served "links work" 1
for v in 1 2; do
	for at in $(echo "$ENDPOINTS" | tr ',' ' '); do
		echo "$at $CLOSED"
	done | map_links "1-$v"
	check_served "VM $v is cut off" $v
	: | map_links "1-$v"
	sleep 0.5
done
