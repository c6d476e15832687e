#!/bin/sh
# All replicas are killed and started again, and meanwhile each entry is asked for
# the text of an older version. A replica that has just started does not know yet
# which versions were acknowledged: it must not answer that the text is not stored.
# Such an answer came within milliseconds of the start.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=0
test_begin zveza

ROUNDS=5
ASKS=10

get_first() { # D
	"$DL_BIN" get --version 1 --timeout 1 \
		--entry "$(vm_address "$1" 1):$HTTP_PORT"
}
# A text must be the one that was accepted; a refusal must not deny that it is there.
ask_for_first() { # D
	if get_first "$1" >"$DIR/text-$1" 2>"$DIR/error-$1"; then
		cmp -s "$DIR/text-$1" "$DIR/first.json" ||
			fail "entry $1 returns another text"
		answered=$((answered + 1))
	else
		grep -q 'not stored' "$DIR/error-$1" &&
			fail "entry $1 denies a version that was acknowledged"
		refused=$((refused + 1))
	fi
	return 0
}
has_first() { # D
	get_first "$1" | cmp -s - "$DIR/first.json"
}

ENTRY_OPTIONS=
for d in 1 2 3; do
	start_replica $d
	start_entry $d 1
	ENTRY_OPTIONS="$ENTRY_OPTIONS --entry $(vm_address $d 1):$HTTP_PORT"
done
wait_for 15 "the first configuration" apply_config ||
	fail "no configuration is accepted"
cp "$DIR/config.json" "$DIR/first.json"
set_gap_timeout 4321
wait_for 15 "the second configuration" apply_config ||
	fail "no second configuration is accepted"
for d in 1 2 3; do
	wait_for 10 "version 1 at $d" has_first $d ||
		fail "entry $d does not return the first version"
done

round=0 answered=0 refused=0
while [ $round -lt $ROUNDS ]; do
	round=$((round + 1))
	for d in 1 2 3; do
		kill -KILL "$(pid_of "replica_${d}_1")"
		wait "$(pid_of "replica_${d}_1")" 2>/dev/null
	done
	for d in 1 2 3; do
		start_replica $d
	done
	n=0
	while [ $n -lt $ASKS ]; do
		n=$((n + 1))
		for d in 1 2 3; do
			ask_for_first $d
		done
	done
	for d in 1 2 3; do
		wait_for 10 "version 1 at $d" has_first $d ||
			fail "entry $d does not return the first version after round $round"
	done
done
echo "$answered answers, $refused refusals while replicas started"
