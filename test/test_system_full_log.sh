#!/bin/sh
# The disk of the log file is full, at the start of a process and later.  The
# process must serve all the same, and its lines must be in the file once there
# is room, none twice or in part.
cd "$(dirname "$0")/.." || exit 2
. test/deploy.sh
test_begin dala
. test/platform_deploy.sh

LOG=$DIR/log/entry
mkdir "$DIR/log"

# A limit of the file size stands for a full disk: a write is cut short, then
# fails.
start_logging_entry() { # [VARIABLE=VALUE...]
	write_platform_settings entry 1
	sed "s|^{|{\"log_file\":\"$LOG\",|" "$DIR/entry-1.json" >"$DIR/logging.json"
	(
		trap '' XFSZ
		exec env DAISYLEDGE_SETTINGS="$DIR/logging.json" "$@" "$DL_BIN" entry
	) >>"$DIR/entry-1.log" 2>&1 &
	record_pid entry_1 $!
}

hangup_pending() { # the first of the pending signals
	grep -q '^ShdPnd:.*[13579bdf]$' "/proc/$(pid_of entry_1)/status"
}

# Reloads that say how many there were.  A second signal before the first one is delivered
# would be lost.
reload() { # TIMES
	n=0
	while [ $n -lt "$1" ]; do
		n=$((n + 1))
		kill -HUP "$(pid_of entry_1)" || fail "the entry ended"
		sleep 0.05
		while hangup_pending; do
			sleep 0.01
		done
	done
}

reloads_logged() { # COUNT
	[ "$(grep -c "Settings reloaded" "$LOG")" -eq "$1" ]
}

every_line_is_whole() {
	! grep -v '^20..-..-..T..:..:..\....Z [A-Z]* *[a-z]*: [A-Z].*\.' "$LOG"
}

start_process replica 1 true
start_logging_entry
wait_for 5 "the start" grep -q "entry: Started" "$LOG" || fail "no start"
prlimit --pid "$(pid_of entry_1)" --fsize=$(($(wc -c <"$LOG") + 20)):unlimited
reload 20
sleep 0.2
reloads_logged 0 || fail "the limit has no effect"
prlimit --pid "$(pid_of entry_1)" --fsize=unlimited:unlimited
wait_for 3 "the lines" reloads_logged 20 || fail "lines are lost"
every_line_is_whole || fail "a line is not whole"

# No file can be created: open() fails for the log while a marker file exists.
[ -z "${DL_SANITIZED:-}" ] || exit 0
kill -KILL "$(pid_of entry_1)"
wait "$(pid_of entry_1)" 2>/dev/null
cat >"$DIR/full.c" <<'EOF'
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

int open(const char *path, int flags, ...)
{
	int (*next)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
	va_list args;
	int mode;

	va_start(args, flags);
	mode = flags & O_CREAT ? va_arg(args, int) : 0;
	va_end(args);
	if (strcmp(path, getenv("FULL_PATH")) == 0 &&
	    access(getenv("FULL_MARK"), F_OK) == 0) {
		errno = ENOSPC;
		return -1;
	}
	return next(path, flags, mode);
}
EOF
"${CC:-cc}" -shared -fPIC -o "$DIR/full.so" "$DIR/full.c" -ldl || fail "cc"
rm "$LOG"
: >"$DIR/full"
start_logging_entry LD_PRELOAD="$DIR/full.so" FULL_PATH="$LOG" FULL_MARK="$DIR/full"
sleep 1
reload 5
sleep 1
[ ! -e "$LOG" ] || fail "the log was opened"
rm "$DIR/full"
wait_for 3 "the log" reloads_logged 5 || fail "the log is not opened later"
[ "$(grep -c "log file could not be opened at first.*No space left" "$LOG")" -eq 1 ] ||
	fail "no line on the log"
grep -q "entry: Started" "$LOG" || fail "the first lines are lost"
every_line_is_whole || fail "a line is not whole"
grep -q "log file.*No space left" "$DIR/entry-1.log" ||
	fail "nothing on standard error"

# A file that is named wrongly is a fault of the settings.
kill -KILL "$(pid_of entry_1)"
wait "$(pid_of entry_1)" 2>/dev/null
LOG=$DIR/nowhere/entry
start_logging_entry
expect_exit 3 entry_1 1 || fail "a log in a folder that is missing passes"
exit 0
