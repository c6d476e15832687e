#!/bin/sh
# Run each test program, and each test script, a few at a time; the last line
# is "N passed, N failed".  A failure of a test listed in KNOWN-RED.txt (first
# word of a line) is printed but does not fail the run.
set -u
cd "$(dirname "$0")/.."
out=build/check
rm -rf "$out"
mkdir -p "$out"
for t in "$@" test/test_*.sh; do
	[ -e "$t" ] && echo "$t"
done >"$out/list"
export CK_VERBOSITY=normal OUT="$out"

# Run one test; its output and exit status are written to separate files.
# shellcheck disable=SC2016
xargs -P "${TEST_JOBS:-4}" -n 1 sh -c '
	name=$(basename "$1")
	case "$1" in
	*.sh) sh "$1" ;;
	*) "./$1" ;;
	esac >"$OUT/$name.out" 2>&1
	echo $? >"$OUT/$name.status"
	echo "ran $name"' run <"$out/list"

passed=0 failed=0 known=0
while read -r t; do
	name=$(basename "$t")
	cat "$out/$name.out"
	if [ "$(cat "$out/$name.status" 2>/dev/null)" = 0 ]; then
		passed=$((passed + 1))
	elif [ -f KNOWN-RED.txt ] && grep -q "^$name[ 	]" KNOWN-RED.txt; then
		echo "known red: $(grep "^$name[ 	]" KNOWN-RED.txt)"
		known=$((known + 1))
	else
		echo "FAILED: $name"
		failed=$((failed + 1))
	fi
done <"$out/list"
[ "$known" -eq 0 ] || echo "known red: $known (see KNOWN-RED.txt)"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
