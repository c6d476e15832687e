#!/bin/sh
# The command line against an entry whose 200 breaks off in its head or its body:
# no subcommand takes it for an answer.  A whole one it does.  One without end is
# given up when its time is over.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
CUTS="length-instatus-close length-afterstatus-reset length-inname-close
	chunks-invalue-close length-afterframing-close close-beforeend-close
	length-inend-close chunks-inend-reset length-nobody-close
	length-inline-reset chunks-inline-close close-inline-close"
JSON='{"version":2,"text":"text","diff":"","vms":[],"changes":[]}'
UNREACHED=4 # exit status where no entry answered
END_S=8	    # with a timeout of 1 s

# Run a subcommand at an entry, in the background: begin NAME ENTRY OPTION...
begin() {
	name=$1 at=$2
	shift 2
	{
		timeout $END_S "$DL_BIN" "$@" --entry "$at" --timeout 1 >"$DIR/out.$name" 2>&1
		echo $? >"$DIR/status.$name"
	} &
	pids="$pids $!"
	begun=$((begun + 1))
	record_pid "cli_$begun" $!
}

begin_all() { # NAME ENTRY
	begin "$1.status" "$2" status
	begin "$1.get" "$2" get
	begin "$1.history" "$2" history
	begin "$1.apply" "$2" apply --change-id "$1" "$DIR/config.json"
	begin "$1.evacuate" "$2" evacuate "$(domain_name 1)" start
}

# Check the exit status of all subcommands: check NAME STATUS
check() {
	for what in status get history apply evacuate; do
		got=$(cat "$DIR/status.$1.$what")
		[ "$got" = "$2" ] ||
			fail "$1: $what ended with $got: $(cat "$DIR/out.$1.$what")"
	done
}

i=0
for cut in $CUTS endless whole; do
	i=$((i + 1))
	test/tool_cut "127.$NET.7.$i:$HTTP_PORT" "$cut" "$JSON" &
	record_pid "cut_$i" $!
done
wait_for 5 "the entries" $DL_HTTP -t 500 "127.$NET.7.$i:$HTTP_PORT" / ||
	fail "no entry listens"
pids= i=0 begun=0
for cut in $CUTS endless whole; do
	i=$((i + 1))
	begin_all "$cut" "127.$NET.7.$i:$HTTP_PORT"
done
for p in $pids; do
	wait "$p"
done
for cut in $CUTS endless; do
	check "$cut" $UNREACHED
done
check whole 0
