#!/bin/sh
# Endpoints that announce only in their responses that they are leaving, while
# their heartbeats do not say so.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
ALLOW_CUT=1
SEPARATE_DOMAINS=1
test_begin dala
. test/platform_deploy.sh

DRAIN_MS=2000

# The most requests of one VM that reached an endpoint later than DRAIN_MS after
# it had told that VM that it is leaving.
max_requests_after_leaving() {
	sort -n "$DIR/arrivals" | awk -v drain=$DRAIN_MS '
		{ who = $2 " " substr($3, 2, 1) }
		told[who] && $1 > told[who] + drain && ++got[who] > most {
			most = got[who]
		}
		$4 == "leaving" && !told[who] { told[who] = $1 }
		END { print most + 0 }'
}

check_leaving() { # WHEN
	got=$(max_requests_after_leaving)
	told=$(grep -c ' leaving$' "$DIR/arrivals")
	echo "$1: $told leaving responses, at most $got requests of a VM after $DRAIN_MS ms"
	[ "$told" -gt 0 ] || fail "$1: no response said that its endpoint is leaving"
	[ "$got" -eq 0 ] || fail "$1: $got requests reached a leaving endpoint"
}

signal_leaving() { # NAME...
	for name in "$@"; do
		kill -USR1 "$(pid_of "runner_$name")"
	done
}

start_all
start_shedding_runners --unheard
configure_all '"key-one"'
load_all 2
sleep 1
: >"$DIR/unserved"
signal_leaving w1 d1
sleep 5
check_leaving "all VMs connected"
check_all_served "all VMs connected"

# A partitioned VM learns it from the responses that it receives itself.
isolate_vm_3
sleep 2
signal_leaving w2 d2
sleep 6
reconnect_vm_3
check_leaving "a VM is partitioned"
