#!/bin/sh
# Run each benchmark program and then each benchmark script.  Standard output
# gets only their "name<TAB>value<TAB>unit" lines, standard error the rest.
set -eu
cd "$(dirname "$0")/.."

figures() {
	awk -F '\t' 'NF == 3 { print; fflush(); next }
		{ print >"/dev/stderr" }'
}

status=0
out=build/bench.status
mkdir -p build
for b in "$@" bench/bench_*.sh; do
	[ -e "$b" ] || continue
	case "$b" in
	*.sh) { sh "$b" || echo failed >"$out"; } | figures ;;
	*) { "./$b" || echo failed >"$out"; } | figures ;;
	esac
	if [ -e "$out" ]; then
		echo "bench: $b failed" >&2
		rm -f "$out"
		status=1
	fi
done
exit $status
