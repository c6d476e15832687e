#!/bin/sh
# Run each benchmark program and then each benchmark script; every one prints
# "name<TAB>value<TAB>unit" lines only.
set -eu
cd "$(dirname "$0")/.."
for b in "$@"; do
	"./$b"
done
for s in bench/bench_*.sh; do
	[ -e "$s" ] || continue
	sh "$s"
done
