#!/bin/sh
# Changed settings that cannot be read for a time, since the process has no file
# descriptor left, or the file is replaced, take effect once they can be read.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

SETTINGS=$DIR/entry-1.json
LOG=$DIR/entry-1.log

has_lines() { # COUNT TEXT
	[ "$(grep -c "$2" "$LOG")" -eq "$1" ]
}

# The entry alone: while a process has fewer descriptors than it uses, libuv tries
# to accept a connection that arrives again and again.
start_process entry 1
wait_for 5 "the start" has_lines 1 "entry: Started" || fail "no start"
pid=$(pid_of entry_1)

# Settings are looked at once a second.
limit=$(ulimit -n)
prlimit --pid "$pid" --nofile=3:"$(ulimit -Hn)"
touch "$SETTINGS"
wait_for 3 "the failure" has_lines 1 "Settings cannot be read" ||
	fail "no line on settings that cannot be read"
sleep 2.5
has_lines 1 "Settings cannot be read" || fail "each attempt is logged"
has_lines 0 "Settings reloaded" || fail "read without a file descriptor"
prlimit --pid "$pid" --nofile="$limit":"$(ulimit -Hn)"
wait_for 3 "the settings" has_lines 1 "Settings reloaded" ||
	fail "settings are not read again"

# The file is gone, and comes back as it was.
mv "$SETTINGS" "$SETTINGS.away"
wait_for 3 "the failure" has_lines 2 "Settings cannot be read" ||
	fail "no line on settings that are gone"
mv "$SETTINGS.away" "$SETTINGS"
wait_for 3 "the settings" has_lines 2 "Settings reloaded" ||
	fail "settings that are back are not read"

# A folder can be opened, but not read.
mv "$SETTINGS" "$SETTINGS.away"
mkdir "$SETTINGS"
wait_for 3 "the failure" has_lines 3 "Settings cannot be read" ||
	fail "no line on settings that are a folder"
rmdir "$SETTINGS"
mv "$SETTINGS.away" "$SETTINGS"
wait_for 3 "the settings" has_lines 3 "Settings reloaded" ||
	fail "settings in place of a folder are not read"

# Invalid settings are not tried again until they change.
cp -p "$SETTINGS" "$SETTINGS.good"
echo '{' >"$SETTINGS"
wait_for 3 "the fault" has_lines 1 "file is invalid" || fail "invalid settings pass"
sleep 2.5
has_lines 1 "file is invalid" || fail "invalid settings are tried again"
mv "$SETTINGS.good" "$SETTINGS"
wait_for 3 "the settings" has_lines 4 "Settings reloaded" ||
	fail "valid settings are not read"
kill -0 "$pid" || fail "the entry ended"
exit 0
