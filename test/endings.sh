# Shell functions for system tests of responses that end early: walks through the
# table of endings.  To be sourced after test/deploy.sh and test_begin.
ENDINGS=$DIR/endings
mkdir -p "$ENDINGS"
WAYS=144 # cells of one way to end
violations=
walks=0

# Walk the table through an entry: walk WHAT ADDRESS PATH KIND HOWS [OPTION...]
walk() {
	start_walk "$@"
	end_walk
}

# Walk the responses whose endpoint crashes, and kill it once all of them have
# come as far as they will: walk_crash PID-NAME WHAT ADDRESS PATH KIND [OPTION...]
walk_crash() {
	crashing=$1 title=$2 to=$3 path=$4 kind=$5
	shift 5
	start_walk "$title" "$to" "$path" "$kind" crash --at-once $WAYS "$@"
	wait_for 10 "all responses of $title" all_begun ||
		fail "$title: not all responses were begun"
	sleep 0.2
	kill -KILL "$(pid_of "$crashing")"
	end_walk
}

start_walk() { # WHAT ADDRESS PATH KIND HOWS [OPTION...]
	title=$1 to=$2 path=$3 kind=$4 hows=$5
	shift 5
	walks=$((walks + 1))
	test/tool_ending --to "$to" --path "$path" --kind "$kind" --how "$hows" \
		--tag "k${walks}_" --folder "$ENDINGS" "$@" >"$DIR/walk-$walks" &
	walker=$!
	record_pid walker $walker
}

end_walk() {
	wait $walker || violations="$violations $title;"
	echo "$title: $(tail -1 "$DIR/walk-$walks")"
	head -12 "$DIR/walk-$walks" | sed '$d; s/^/	/'
}

# Whether an endpoint has begun each response of the walk.
all_begun() {
	[ "$(find "$ENDINGS" -name "k${walks}_*" ! -name '*.heard' | wc -l)" -eq $WAYS ]
}

end_walks() {
	[ -z "$violations" ] || fail "responses are not what they seem:$violations"
}
