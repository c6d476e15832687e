# Shell functions for system tests of long answers that break off.  To be sourced
# after test/deploy.sh and test_begin.
ENDINGS=$DIR/endings
mkdir -p "$ENDINGS"
wrong=
n=0

# Ask for an answer of LENGTH bytes whose first run breaks off after STOP, and
# check that it is one run's: "whole", or "broken" after bytes of the first run.
# long_answer EXPECTED STATUS LENGTH STOP ADDRESS PATH [OPTION...]
long_answer() {
	expected=$1 status=$2 length=$3 stop=$4 to=$5 path=$6
	shift 6
	n=$((n + 1))
	$DL_HTTP -t 8000 -e "$status" "$@" "$to" \
		"${path}long-$status-$length-$stop-k$n" >"$DIR/long" 2>>"$DIR/long.log"
	code=$?
	bytes=$(wc -c <"$DIR/long")
	first=$(tr -d b <"$DIR/long" | wc -c)
	case $code in
	0) seen=whole ;;
	3) seen=broken ;;
	*) seen="exit status $code" ;;
	esac
	[ "$first" -eq 0 ] || [ "$first" -eq "$bytes" ] ||
		seen="$seen and joined after $first bytes"
	[ "$seen" != whole ] || [ "$bytes" -eq "$length" ] ||
		seen="whole with $bytes bytes"
	[ "$seen" != broken ] || [ "$first" -gt 0 ] || seen="broken with $bytes bytes"
	echo "$path $status, $length bytes, the first run stops at $stop: $seen"
	[ "$seen" = "$expected" ] || wrong="$wrong $path $status $stop: $seen;"
}

end_long_answers() {
	[ -z "$wrong" ] || fail "answers are not what they seem:$wrong"
}
