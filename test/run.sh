#!/bin/sh
# Run each test program; the last line is "N passed, N failed".
# A test listed in KNOWN-RED.txt (first word of a line) is run, printed and
# passed over in the verdict.
set -u
passed=0 failed=0 known=0
cd "$(dirname "$0")/.."
for t in "$@" test/test_*.sh; do
	[ -e "$t" ] || continue
	name=$(basename "$t")
	case "$t" in
	*.sh) cmd="sh $t" ;;
	*) cmd="./$t" ;;
	esac
	if CK_VERBOSITY=normal CK_FORK=${CK_FORK:-yes} $cmd; then
		passed=$((passed + 1))
	elif [ -f KNOWN-RED.txt ] && grep -q "^$name[ 	]" KNOWN-RED.txt; then
		echo "known red: $(grep "^$name[ 	]" KNOWN-RED.txt)"
		known=$((known + 1))
	else
		echo "FAILED: $name"
		failed=$((failed + 1))
	fi
done
[ "$known" -eq 0 ] || echo "known red: $known (see KNOWN-RED.txt)"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
