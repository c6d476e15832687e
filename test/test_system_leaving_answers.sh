#!/bin/sh
# Endpoints that say in their answers alone that they leave: their announcements
# go on as if they stayed.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
CUTTABLE=1
APART=1
test_begin dala
. test/foreign.sh

DRAIN_MS=2000

# The most requests of one VM that came to one endpoint later than DRAIN_MS after
# it had told that VM that it leaves.
most_after_leaving() {
	sort -n "$DIR/arrivals" | awk -v drain=$DRAIN_MS '
		{ who = $2 " " substr($3, 2, 1) }
		told[who] && $1 > told[who] + drain && ++got[who] > most {
			most = got[who]
		}
		$4 == "leaving" && !told[who] { told[who] = $1 }
		END { print most + 0 }'
}

stays_away() { # WHEN
	got=$(most_after_leaving)
	told=$(grep -c ' leaving$' "$DIR/arrivals")
	echo "$1: $told told, $got requests of a VM after $DRAIN_MS ms"
	[ "$told" -gt 0 ] || fail "$1: nobody was told"
	[ "$got" -eq 0 ] || fail "$1: $got requests came to one that leaves"
}

leave() { # NAME...
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
leave w1 d1
sleep 5
stays_away "in touch"
none_unserved "in touch"

# A VM that is cut off learns it from the answers that it gets itself.
cut_off_3
sleep 2
leave w2 d2
sleep 6
heal_3
stays_away "a VM is cut off"
