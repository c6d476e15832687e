#!/bin/sh
# The dispatcher of a service is killed while engines work for callers that no
# entry knows of.  The VM that dispatches next must read the load of each engine
# with few calls; engines that do not tell it must go on to serve.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
REPORTS=$DIR/reports
READ="Load of engines read after a takeover. service=writer"

# The VM that began last to dispatch for the streams.
current_dispatcher() {
	grep -H "Dispatching begins here. service=writer" "$DIR"/entry-?.log |
		sed 's/^[^:]*entry-\(.\).log:/\1 /' | sort -k2 | tail -1 |
		cut -c1
}

# How many times an instance was called for its load.
reports_of() { # INSTANCE
	grep -c "^$1\$" "$REPORTS"
}


start_all
start_platform_endpoint idle 1 --service writer --reports "$REPORTS"
start_platform_endpoint busy 2 --service writer --reports "$REPORTS" --orphans 9
start_platform_endpoint mute 3 --service writer --reports "$REPORTS" --orphans -1
start_platform_endpoint d1 4 --service desk --plain --reports "$REPORTS"
configure_all '"key-one"'
for d in 1 2 3; do
	wait_for 5 "a first stream" chat $d "first$d" || fail "no stream at $d"
done
grep -q "/-/report" "$RECORD" && fail "a call for the load was run as a request"

# Let the queries of the start end.
sleep 5
: >"$REPORTS"
dispatcher=$(current_dispatcher)
for d in 1 2 3; do
	wc -l <"$DIR/entry-$d.log" >"$DIR/lines-$d"
done
kill -KILL "$(pid_of "entry_$dispatcher")"
new_lines_read_load() {
	for d in 1 2 3; do
		[ $d = "$dispatcher" ] && continue
		tail -n +$(($(cat "$DIR/lines-$d") + 1)) "$DIR/entry-$d.log" |
			grep -q "$READ engines=2 foreign=9 unanswered=1" &&
			return 0
	done
	return 1
}
wait_for 15 "the load" new_lines_read_load ||
	fail "the next dispatcher does not read the load: $(grep -h "$READ" "$DIR"/entry-?.log | tail -3)"
[ "$(reports_of idle)" = 1 ] || fail "an idle engine was called $(reports_of idle) times"
[ "$(reports_of busy)" = 3 ] || fail "a busy engine was called $(reports_of busy) times"
[ "$(reports_of mute)" = 1 ] || fail "an engine that tells nothing was called $(reports_of mute) times"
[ "$(reports_of d1)" = 0 ] || fail "an endpoint without an engine model was called"
for d in 1 2 3; do
	[ $d = "$dispatcher" ] && continue
	wait_for 5 "a stream at $d" chat $d "after$d" || fail "no stream at $d afterwards"
done
