#!/bin/sh
# A VM that loses its links to the endpoints serves API requests, streams and
# calls to plain services, with the help of the other VM of its failure domain.
# An endpoint that is gone is not taken for a lost link.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=2
DL_RUNNERS=9
test_begin dala
. test/net_deploy.sh

REQUESTS=15

start_entry_unmapped() {
	write_settings entry "$1" "$2"
	"$DL_BIN" entry -c "$DIR/entry-$1-$2.json" \
		>>"$DIR/entry-$1-$2.log" 2>&1 &
	record_pid "entry_$1_$2" $!
}

start_entry() { # D V
	with_mapped_links "$1-$2" start_entry_unmapped "$1" "$2"
}

# Map all endpoints of an entry to an address: cut_off D-V ADDRESS
cut_off() {
	for at in $(echo "$ENDPOINTS" | tr ',' ' '); do
		echo "$at $2"
	done | map_links "$1"
}

# Send requests of all kinds through VM 1 of domain 1 and check that all are
# served.
check_served() { # WHAT
	n=0
	while [ $n -lt $REQUESTS ]; do
		n=$((n + 1))
		entry_serves_model 1 1 >"$DIR/answer" 2>&1 ||
			fail "$1: completion $n: $(cat "$DIR/answer")"
		entry_serves_plain 1 1 >"$DIR/answer" 2>&1 ||
			fail "$1: call $n: $(cat "$DIR/answer")"
		$DL_HTTP -t 5000 -X POST -H 'Daisyledge-Deadline-Ms: 4000' \
			-d "{\"model\":\"$MODEL\",\"prompt\":\"s\",\"max_tokens\":8,\"stream\":true}" \
			"$(vm_address 1 1):$HTTP_PORT" /v1/completions \
			>"$DIR/answer" 2>&1 && grep -q '\[DONE\]' "$DIR/answer" ||
			fail "$1: stream $n: $(cat "$DIR/answer")"
	done
}

forwarded() {
	metric "$(vm_address 1 1):$HTTP_PORT" tunnels_used
}

start_tarpit
deploy_start || fail "the deployment does not start"
check_served "links work"
[ "$(forwarded)" = 0 ] || fail "connections are forwarded while links work"

cut_off 1-1 "$CLOSED"
check_served "refused"
used=$(forwarded)
[ "$used" -gt 0 ] || fail "no connection was forwarded"
cut_off 1-1 "$TARPIT"
check_served "hanging"
[ "$(forwarded)" -gt "$used" ] || fail "no connection was forwarded"
: | map_links 1-1
sleep 0.5
check_served "healed"
used=$(forwarded)
check_served "healed"
[ "$(forwarded)" = "$used" ] || fail "connections are forwarded after the cut"

# The plain endpoint of the domain is gone: calls go to other domains.
kill -KILL "$(pid_of "endpoint_$((RUNNERS + 1))")"
n=0
while [ $n -lt 5 ]; do
	n=$((n + 1))
	entry_serves_plain 1 1 >"$DIR/answer" 2>&1 ||
		fail "call without the domain's endpoint: $(cat "$DIR/answer")"
done
