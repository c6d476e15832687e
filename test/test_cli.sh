#!/bin/sh
# The command line without a running VM: the output of check for each file in
# test/data/conf, the output of explain, and exit statuses.
set -u
cd "$(dirname "$0")/.."
failed=0

expect() {
	want=$1
	shift
	"$@" >/dev/null 2>&1
	got=$?
	[ "$got" -eq "$want" ] && return
	echo "exit status $got, expected $want: $*"
	failed=1
}

for in in test/data/conf/*.json; do
	out=${in%.json}.out
	got=$(./daisyledge check "$in" 2>&1)
	if [ "$got" != "$(cat "$out")" ]; then
		echo "$in: check printed:"
		echo "$got"
		echo "which differs from $out"
		failed=1
	fi
done

bad=test/data/conf/many-faults.json
unset DAISYLEDGE_ENTRY
expect 0 ./daisyledge check examples/dala-serik.json
expect 0 ./daisyledge check --json examples/zveza.json
expect 0 ./daisyledge apply --help
expect 1 ./daisyledge explain no-such-id test/data/explain.log
expect 1 ./daisyledge explain a0a8207eb9639828 no-such-file.log
expect 2 ./daisyledge explain a0a8207eb9639828
expect 2 ./daisyledge explain --summary
expect 2 ./daisyledge explain --summary --step 0 test/data/explain.log
expect 1 ./daisyledge check "$bad"
expect 1 ./daisyledge check no-such-file.json
expect 1 ./daisyledge apply --entry 127.0.0.1:1 "$bad"
expect 2 ./daisyledge check
expect 2 ./daisyledge check --no-such-option examples/zveza.json
expect 2 ./daisyledge apply examples/zveza.json
expect 2 ./daisyledge get --entry here
expect 2 ./daisyledge status --entry 127.0.0.1:1 --timeout 0
expect 2 ./daisyledge no-such-subcommand
expect 4 ./daisyledge get --entry 127.0.0.1:1 --timeout 1
expect 4 ./daisyledge apply --entry 127.0.0.1:1 --timeout 1 \
	examples/dala-serik.json
expect 4 env DAISYLEDGE_ENTRY=127.0.0.1:1,127.0.0.1:2 ./daisyledge history \
	--timeout 1

# The output of explain for test/data/explain.log.
explains() { # OUTPUT [OPTION...]
	want=test/data/$1
	shift
	./daisyledge explain "$@" test/data/explain.log | cmp -s - "$want" || {
		echo "explain $*: output differs from $want" >&2
		failed=1
	}
}
explains explain-one.out a0a8207eb9639828
explains explain-one.out 0a0300241bbc-67d5f2dddc43b
explains explain-one.json --json ef54ac5838f8dc60
explains explain-sum.out --summary
explains explain-sum.json --summary --json --step 1

[ "$failed" -eq 0 ] && echo "command line: all checks passed"
exit "$failed"
