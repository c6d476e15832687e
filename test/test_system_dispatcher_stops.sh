#!/bin/sh
# VMs that dispatch are told to stop, one after the other, in a region of thirty
# under load.  Each must name the VM that dispatches next, that VM must begin, all
# calls must be served, and none may go back and forth between VMs that do not
# dispatch.  How soon the next one learns of it is checked in test_memb.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=10
DL_RUNNERS=6
entry_settings() { # D V
	printf '"region":"one",'
}
STOPS=4
# The VM that stops refuses at most until the VM that asks has read what it is
# told with that reply, and the next one until it has read what it is told at the
# same time: two replies, and one for an ask that was under way.
MISDIRECTED_MAX=3

test_begin dala

# Send calls through a VM until it is to stop: plain_load D V
plain_load() {
	while [ ! -e "$DIR/stop-$1-$2" ]; do
		entry_serves_plain "$1" "$2" >/dev/null 2>>"$DIR/unserved"
		sleep 0.1
	done
}
# The VM that dispatches for the plain service, as "D V": the last one that says so.
dispatcher() {
	grep -H "Dispatching begins here. service=$PLAIN_SERVICE" "$DIR"/entry-*.log |
		sed 's/.*entry-\([0-9]*\)-\([0-9]*\)\.log:\([^ ]*\) .*/\3 \1 \2/' |
		sort | tail -1 | cut -d' ' -f2-
}
# How log lines name a VM.
peer_id() { # "D V"
	printf '7f%02x%02x%02x%04x' "$NET" "${1% *}" "${1#* }" $PEER_PORT
}
load_has_ended() { # "D V"
	not_running "$(pid_of "load_${1% *}_${1#* }")"
}
has_moved() { # "D V"
	[ "$(dispatcher)" != "$1" ]
}
# The most replies of VMs that did not dispatch, of any request.
most_misdirected() {
	sed -n 's/.*A request ended.* misdirected=\([0-9]*\).*/\1/p' \
		"$DIR"/entry-*.log | sort -n | tail -1
}

deploy_start || fail "the deployment does not start"
# What was sent during the start does not count.
for log in "$DIR"/entry-*.log; do
	grep "Dispatching begins" "$log" >"$DIR/begun"
	cp "$DIR/begun" "$log"
done
load_at() { # D V
	plain_load "$1" "$2" &
	record_pid "load_$1_$2" $!
}
for_each_vm load_at

n=0
while [ $n -lt $STOPS ]; do
	n=$((n + 1))
	was=$(dispatcher)
	[ -n "$was" ] || fail "no VM dispatches"
	touch "$DIR/stop-$(echo "$was" | tr ' ' -)"
	wait_for 10 "the end of calls there" load_has_ended "$was" ||
		fail "stop $n: a call at the VM that stops does not end"
	at=entry_$(echo "$was" | tr ' ' _)
	log=$DIR/$(echo "$at" | tr _ -).log
	kill -TERM "$(pid_of "$at")"
	wait_for 10 "the next dispatcher" has_moved "$was" ||
		fail "stop $n: no other VM dispatches"
	grep -q "Dispatching ends here. service=$PLAIN_SERVICE next=$(peer_id "$(dispatcher)")" \
		"$log" || fail "stop $n: the VM that stops names another one as the next"
	sleep 3 # until all have learned of it through gossip
	echo "stop $n: from $was to $(dispatcher), misdirected up to $(most_misdirected)"
done
[ ! -s "$DIR/unserved" ] || fail "calls failed: $(head -3 "$DIR/unserved")"
most=$(most_misdirected)
[ -n "$most" ] || fail "no request has ended"
[ "$most" -le $MISDIRECTED_MAX ] ||
	fail "a request got $most replies of VMs that do not dispatch"
