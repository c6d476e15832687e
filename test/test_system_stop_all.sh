#!/bin/sh
# All VMs stop at once: none of their callers is cut off, and streams are served for as long as
# they can end, as no other VM would serve them.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

callers() { # D TAG OPTION...
	d=$1 tag=$2
	shift 2
	test/tool_callers --to "$(entry_address "$d")" --tag "$tag" --begin "$begin_ms" \
		-H "$KEY" -H 'Daisyledge-Deadline-Ms: 9000' --warm-path /look/x \
		--path /chat/x --kept --from -1000 --until 7000 --every 300 "$@" \
		>"$DIR/callers-$tag" &
	record_pid "$tag" $!
}

start_all
wait_for 10 "the first configuration" put_config "$(config 5 9000 '"key-one"')" ||
	fail "the first configuration is not accepted"
for i in 1 2 3; do
	start_platform_endpoint w$i 1$i --service writer --events 12 --event-ms 250
done
start_platform_endpoint d1 21 --service desk --plain
for d in 1 2 3; do
	wait_for 10 "entry $d" entry_is_ready $d || fail "entry $d is not ready"
done
wait_endpoints_known w1 w2 w3 d1

begin_ms=$(($(date +%s%3N) + 2000))
for d in 1 2 3; do
	# Streams of 3 s that begin until 3.5 s into the stop, or half a second later, can end.
	callers $d at$d --whole-min 16
done
sleep 2
kill -TERM "$(pid_of entry_1)" "$(pid_of entry_2)" "$(pid_of entry_3)"
bad=
for d in 1 2 3; do
	wait "$(pid_of at$d)" || bad="$bad $d"
	tail -1 "$DIR/callers-at$d"
done
for d in 1 2 3; do
	expect_exit 10 entry_$d 0 || fail "the VM does not stop"
done
[ -z "$bad" ] || fail "answers are cut off, missing or refused:$bad"
