#!/bin/sh
# The dispatcher of a service is killed, and engines break off their answer to the
# next one's question for their load, in its head or its body: such an answer
# counts as none, and their load is not taken from it.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
READ="Load of engines read after a takeover. service=writer"
CUTS="length-instatus-close length-afterstatus-reset chunks-invalue-close
	length-afterframing-close close-beforeend-close length-inend-close
	chunks-inend-reset length-nobody-close length-inline-reset
	chunks-inline-close close-inline-close"

# The VM that began last to dispatch for the streams.
current_dispatcher() {
	grep -H "Dispatching begins here. service=writer" "$DIR"/entry-?.log |
		sed 's/^[^:]*entry-\(.\).log:/\1 /' | sort -k2 | tail -1 |
		cut -c1
}

start_all
start_platform_endpoint whole 1 --service writer --orphans 9
n=1
for cut in $CUTS; do
	n=$((n + 1))
	echo "$cut" >"$DIR/cut-$n"
	start_platform_endpoint "$cut" $n --service writer --orphans 9 \
		--cut "$DIR/cut-$n"
done
cut_engines=$((n - 1))
configure_all '"key-one"'
for d in 1 2 3; do
	wait_for 5 "a first stream" chat $d "first$d" || fail "no stream at $d"
done

# Let the queries of the start end.
sleep 5
dispatcher=$(current_dispatcher)
for d in 1 2 3; do
	wc -l <"$DIR/entry-$d.log" >"$DIR/lines-$d"
done
kill -KILL "$(pid_of "entry_$dispatcher")"
new_lines_read_load() {
	for d in 1 2 3; do
		[ $d = "$dispatcher" ] && continue
		tail -n +$(($(cat "$DIR/lines-$d") + 1)) "$DIR/entry-$d.log" |
			grep -q "$READ engines=1 foreign=9 unanswered=$cut_engines" &&
			return 0
	done
	return 1
}
wait_for 15 "the load" new_lines_read_load ||
	fail "the load is not that of whole answers: $(grep -h "$READ" "$DIR"/entry-?.log | tail -3)"
