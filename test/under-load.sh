#!/bin/sh
# Run the system tests under the sanitizers beside busy processes, a number of times, and
# count the failures of each test: under-load.sh [TIMES [TEST...]].  By hand, before a
# landing; the build is that of make check-asan.
set -u
cd "$(dirname "$0")/.." || exit 2
times=${1:-10}
[ $# -eq 0 ] || shift
BUSY_BESIDE=4 # busy processes beyond one a core
SYSTEM="test/test_system_*.sh"
tests=${*:-$SYSTEM}
[ -x build/asan/daisyledge ] || {
	echo "under-load: run make check-asan first" >&2
	exit 2
}
cd build/asan || exit 2
export ASAN_OPTIONS=detect_leaks=1:abort_on_error=1 DL_SANITIZED=1
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
out=under-load
mkdir -p $out
: >$out/failed

busy=
stop_busy() {
	# shellcheck disable=SC2086
	[ -z "$busy" ] || kill $busy 2>/dev/null
}
trap stop_busy EXIT
trap 'exit 130' INT TERM
n=$(($(nproc) + BUSY_BESIDE))
while [ $n -gt 0 ]; do
	n=$((n - 1))
	while :; do :; done &
	busy="$busy $!"
done

i=0
while [ $i -lt "$times" ]; do
	i=$((i + 1))
	# shellcheck disable=SC2016,SC2086
	ls $tests | xargs -P "${TEST_JOBS:-4}" -n 1 sh -c '
		name=$(basename "$1" .sh)
		sh "$1" >"under-load/$name.$0.out" 2>&1 ||
			echo "$name $0" >>under-load/failed' $i
	echo "round $i of $times: load $(cut -d' ' -f1 /proc/loadavg), $(wc -l <$out/failed) failures so far"
done
sort $out/failed | awk '{ n[$1]++ } END { for (t in n) print n[t], t }' | sort -rn
[ ! -s $out/failed ]
