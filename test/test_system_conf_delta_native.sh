#!/bin/sh
# A native configuration whose changes reach entries as deltas: counters and
# metrics tell deltas from whole texts, and entries show operators the whole
# configuration, though they received only the changes.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
VMS_EACH=1
DL_RUNNERS=3
test_begin dala
deploy_start || fail "the deployment does not start"

counter() { # D NAME
	metric "$(vm_address "$1" 1):$HTTP_PORT" "$2"
}
entry() { # D
	echo "--entry $(vm_address "$1" 1):$HTTP_PORT"
}
# The configuration with 600 more workspaces, whose text is too large to be
# pushed whole for each change: write_config NUMBER
write_config() {
	workspaces=$(seq 1 600 | while read -r i; do
		printf '"%s":{},' "$(printf %s "$i" | md5sum | cut -c1-20)"
	done)
	sed "s/\"weight_store_mb_per_s\": [0-9]*/\"weight_store_mb_per_s\": $1/" \
		"$DIR/config.json" | tr '\n' ' ' |
		sed "s/\"workspaces\": *{/&$workspaces/" >"$DIR/large.json"
}
apply_large() { # NUMBER
	write_config "$1"
	# shellcheck disable=SC2046
	"$DL_BIN" apply $(entry 1) --wait --timeout 5 "$DIR/large.json" \
		>"$DIR/apply.log" 2>&1 || fail "change $1: $(cat "$DIR/apply.log")"
}
# Whether a text equals the configuration except for white space.
same_config() { # FILE
	tr -d ' \n\t' <"$DIR/large.json" >"$DIR/wanted"
	tr -d ' \n\t' <"$1" | cmp - "$DIR/wanted"
}

apply_large 101
for d in 1 2 3; do
	eval "whole_$d=$(counter $d conf_whole_reads)"
	eval "deltas_$d=$(counter $d conf_deltas_applied)"
done
n=102
while [ $n -le 106 ]; do
	apply_large $n
	n=$((n + 1))
done
for d in 1 2 3; do
	[ "$(counter $d conf_whole_reads)" = "$(eval echo \$whole_$d)" ] ||
		fail "entry $d read a whole text for a small change"
	deltas=$(($(counter $d conf_deltas_applied) - $(eval echo \$deltas_$d)))
	[ $deltas = 5 ] || fail "entry $d applied $deltas deltas"
	# shellcheck disable=SC2046
	"$DL_BIN" get $(entry $d) >"$DIR/got" || fail "entry $d shows no configuration"
	same_config "$DIR/got" ||
		fail "entry $d shows another configuration"
	# shellcheck disable=SC2046
	"$DL_BIN" get --version "$(counter $d config_version)" $(entry $d) |
		cmp - "$DIR/large.json" ||
		fail "the text as it was submitted is not to be had at entry $d"
done

# Without replicas nearby, a restarted entry gets the whole text from another
# entry, which builds it from what it reached by deltas.
for d in 1 2 3; do
	kill -STOP "$(pid_of replica_${d}_1)"
done
kill -KILL "$(pid_of entry_3_1)"
wait "$(pid_of entry_3_1)" 2>/dev/null
start_entry 3 1
whole_text_is_read() {
	[ "$(counter 3 conf_whole_reads)" -ge 1 ]
}
wait_for 15 "the configuration at entry 3" whole_text_is_read ||
	fail "entry 3 gets no configuration from the other entries"
# shellcheck disable=SC2046
"$DL_BIN" get $(entry 3) >"$DIR/got" || fail "entry 3 shows no configuration"
same_config "$DIR/got" ||
	fail "entry 3 shows another configuration"
for d in 1 2 3; do
	kill -CONT "$(pid_of replica_${d}_1)"
done
apply_large 107
[ "$(counter 3 conf_deltas_applied)" = 1 ] ||
	fail "entry 3 applies no delta to the text that it got from an entry"
