#!/bin/sh
# bench/ledger.py names what each request that was not in time lost it to: one
# line of each kind of loss, with seconds and name before the lines and without.
cd "$(dirname "$0")/.." || exit 2
python3 bench/ledger.py test/data/ledger.log | diff test/data/ledger.out - ||
	{ echo "test_ledger: the ledger differs"; exit 1; }
# Without names a VM is one of its file: what follows "Stopping." is closing.
grep -v entry-2 test/data/ledger.log | sed 's/^ *[0-9.]* entry-1 //' |
	python3 bench/ledger.py - >"${TMPDIR:-/tmp}/ledger.$$"
grep -v 'refused:deadline' test/data/ledger.out | grep -v ' short ' >"${TMPDIR:-/tmp}/ledger-want.$$"
grep -v ' short ' "${TMPDIR:-/tmp}/ledger.$$" | diff "${TMPDIR:-/tmp}/ledger-want.$$" - &&
	grep -q 'all short         5       1  engine=1 queue=1 failed=1 closing=1' \
		"${TMPDIR:-/tmp}/ledger.$$"
rc=$?
rm -f "${TMPDIR:-/tmp}/ledger.$$" "${TMPDIR:-/tmp}/ledger-want.$$"
[ $rc -eq 0 ] || { echo "test_ledger: lines without names are read wrongly"; exit 1; }
python3 bench/ledger.py /dev/null | grep -q '^ *second kind' ||
	{ echo "test_ledger: an empty log is not read"; exit 1; }
echo "test_ledger: passed"
