#!/bin/sh
# The data folder of a replica fails for a time: its quarantine cannot be saved,
# and after a restart neither the quarantine nor the journal can be read.  Once
# the folder works, the replica must have both without another restart.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

DATA=$DIR/data-3
LOG=$DIR/replica-3.log

# The number of lines of replica 3 with a text since its last start.
count_lines() { # TEXT
	tail -n "+$((started_at + 1))" "$LOG" | grep -c "$1"
}

has_line() { # TEXT
	[ "$(count_lines "$1")" -gt 0 ]
}

# Expect exactly one line with a text.
one_line() { # TEXT
	[ "$(count_lines "$1")" -eq 1 ] || fail "not one line: $1"
}

# A file that leads to itself cannot be opened.
make_unreadable() { # FILE
	mv "$1" "$DIR/saved-$(basename "$1")"
	ln -s "$(basename "$1")" "$1"
}

make_readable() { # FILE
	rm "$1"
	mv "$DIR/saved-$(basename "$1")" "$1"
}

started_at=0
start_all
for i in 1 2 3 4 5 6; do
	start_platform_endpoint d$i $((20 + i)) --service desk --plain --crash-on crash
done
configure_all '"key-one"'
wait_endpoints_known d1 d2 d3 d4 d5 d6
for d in 1 2 3; do
	wait_for 5 "a call at $d" book $d "book$d" 200 -H "$KEY" || fail "no call"
done

# A folder in place of the temporary file can be neither written nor unlinked.
mkdir "$DATA/crashes.tmp"
for n in 1 2 3 4 5 6; do
	$DL_HTTP -t 4000 -X POST -H "$HOST" -H "$KEY" \
		-H "Daisyledge-Attempt-Id: crash$n" \
		-H 'Daisyledge-Deadline-Ms: 3000' -d same \
		"$(entry_address $((n % 3 + 1)))" /book/crash >/dev/null 2>&1
done
wait_for 5 "a failed save" has_line "quarantine could not be saved" ||
	fail "no save failed"
sleep 2.5
one_line 'quarantine could not be saved.*step="unlink of the temporary file"'
rmdir "$DATA/crashes.tmp"
wait_for 3 "the save" has_line "quarantine is saved again" ||
	fail "the failed save was not repeated"
one_line 'quarantine is saved again.*tries=[2-9]'
[ -s "$DATA/crashes" ] || fail "the quarantine is not on the disk"

journal=$(echo "$DATA"/journal.0*)
kill -KILL "$(pid_of replica_3)"
wait "$(pid_of replica_3)" 2>/dev/null
make_unreadable "$journal"
make_unreadable "$DATA/crashes"
started_at=$(wc -l <"$LOG")
start_process replica 3 false
wait_for 5 "the failure" has_line "stored state cannot be read yet" ||
	fail "no line on the journal that cannot be read"
wait_for 10 "a change" put_config "$(config 6 4000 '"key-one"')" ||
	fail "the others do not accept a change"
sleep 2
one_line "stored state cannot be read yet"
one_line "stored quarantine cannot be read"
! has_line "stored state is damaged" || fail "a passing error counts as damage"
! has_line "Leading" || fail "leads without its journal"
! has_line "Following" || fail "follows without its journal"
[ "$(find "$DATA" -name 'journal.*' | wc -l)" -eq 1 ] ||
	fail "began a new journal"

make_readable "$journal"
make_readable "$DATA/crashes"
wait_for 4 "the journal" has_line "stored state is read after all" ||
	fail "the journal is not read"
wait_for 4 "the quarantine" has_line "stored quarantine is read after all" ||
	fail "the quarantine is not read"
wait_for 4 "a leader" has_line "Leading\|Following.*leader=127" || fail "no leader"
one_line "stored state is read after all"

# The replica is a voter with its old identity: with it, two are a majority.
kill -KILL "$(pid_of replica_1)"
wait_for 10 "a change" put_config "$(config 7 4000 '"key-one"')" ||
	fail "the replica does not count as a voter"
wait_for 5 "the change" config_is_version 7 || fail "the change is not in force"

# Damage does not pass: the replica stays halted, for an operator to decide.
kill -KILL "$(pid_of replica_3)"
wait "$(pid_of replica_3)" 2>/dev/null
journal=$(echo "$DATA"/journal.0*)
printf 'xxxxxxxx' | dd of="$journal" bs=1 seek=40 conv=notrunc 2>/dev/null
started_at=$(wc -l <"$LOG")
start_process replica 3 false
wait_for 5 "the damage" has_line "stored state is damaged" ||
	fail "no line on the damage"
sleep 2
one_line "stored state is damaged"
! has_line "stored state cannot be read yet" || fail "damage counts as passing"
! has_line "Following" || fail "follows with a damaged journal"
exit 0
