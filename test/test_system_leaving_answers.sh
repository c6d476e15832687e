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

load() { # D TAG
	n=0
	while :; do
		n=$((n + 1))
		chat "$1" "c$1x$2x$n" >/dev/null || echo "c$1x$2x$n"
		book "$1" "b$1x$2x$n" 200 -H "$KEY" >/dev/null 2>&1 ||
			echo "b$1x$2x$n"
	done >>"$DIR/unserved"
}

leave() { # NAME...
	for name in "$@"; do
		kill -USR1 "$(pid_of "runner_$name")"
	done
}

start_all
for i in 1 2 3 4; do
	options="--zone place-$((i % 3 + 1)) --arrivals $DIR/arrivals --unheard"
	# shellcheck disable=SC2086
	runner w$i $((10 + i)) --service writer $options
	# shellcheck disable=SC2086
	runner d$i $((20 + i)) --service desk --plain $options
done
configure_all '"key-one"'
for d in 1 2 3; do
	wait_for 5 "a stream at $d" chat $d "first$d" || fail "no stream"
	wait_for 5 "a call at $d" book $d "b$d" 200 -H "$KEY" ||
		fail "no call"
	for l in 1 2; do
		load $d $l &
		remember load_$d$l $!
	done
done
sleep 1
: >"$DIR/unserved"
leave w1 d1
sleep 5
stays_away "in touch"
[ ! -s "$DIR/unserved" ] ||
	fail "unserved: $(head -5 "$DIR/unserved" | tr '\n' ' ')"

# A VM that is cut off learns it from the answers that it gets itself.
cut_off_3
sleep 2
leave w2 d2
sleep 6
heal_3
stays_away "a VM is cut off"
