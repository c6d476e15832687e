#!/bin/sh
# Engines that reserve memory and break off the answer, in its head or its body: no
# such answer counts as memory, so that no request is sent to the group, and all
# memory that was reserved is released at once.  With whole answers it is served.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh
. test/group_deploy.sh

# A prompt needs all four engines, so that each group has helpers that break off.
CUTS="length-instatus-close length-afterstatus-reset chunks-invalue-close
	length-afterframing-close close-beforeend-close length-inend-close
	chunks-inend-reset length-nobody-close length-inline-reset
	chunks-inline-close"
DEADLINE_MS=1500

# Whether a line of the entry says that a reservation of the request was refused.
was_refused() { # ATTEMPT
	id=$(sed -n "s/.*A request ended. request=\([^ ]*\) attempt=$1 .*/\1/p" \
		"$DIR/entry-1.log")
	[ -n "$id" ] && grep -q "Memory was not to be had. request=$id " \
		"$DIR/entry-1.log"
}

# Whether all memory that was reserved has been released.
all_released() {
	awk '{ what[$2 " " $3] = $4 }
		END {
			for (r in what) {
				n++
				if (what[r] != "released") {
					print r ": " what[r]
					held++
				}
			}
			exit !(n && !held)
		}' "$DIR/orders"
}

start_all
configure_groups
for i in 1 2 3 4; do
	start_engine e$i $((10 + i)) --cut "$DIR/cut"
done
wait_for 5 "a stream" chat 1 first || fail "no stream"

for cut in $CUTS; do
	: >"$DIR/orders"
	echo "$cut" >"$DIR/cut.new"
	mv "$DIR/cut.new" "$DIR/cut"
	long_chat 1 "$cut" >"$DIR/stream.$cut" && fail "$cut: the request was served"
	wait_for 5 "the refusal" was_refused "$cut" ||
		fail "$cut: the answer counts as memory"
	[ -z "$(lead_of "$cut")" ] || fail "$cut: $(lead_of "$cut") got the request"
	wait_for 1 "the releases" all_released || {
		all_released
		fail "$cut: memory stays reserved"
	}
done

rm "$DIR/cut"
DEADLINE_MS=14000
long_chat 1 whole >"$DIR/stream.whole" || fail "whole answers: no stream"
check_stream whole
[ -n "$(lead_of whole)" ] || fail "whole answers: no engine got the request"
