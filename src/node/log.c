/* Connects the library's log messages to log4c and a ring buffer. */
#include "node/log.h"

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <log4c.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/logring.h"
#include "base/msg.h"

#define LINE_BYTES_MAX 1280
#define NS_PER_MS      1000000
#define MS_PER_S       1000
/* Writes of up to PIPE_BUF bytes; limits the time per loop iteration. */
#define WRITES_PER_FLUSH 32
/* Pause between attempts to open a log file that cannot be opened. */
#define OPEN_RETRY_MS 1000

static enum dl_level level_of(int priority)
{
	if (priority <= LOG4C_PRIORITY_ERROR)
		return DL_ERROR;
	if (priority <= LOG4C_PRIORITY_WARN)
		return DL_WARN;
	return priority <= LOG4C_PRIORITY_INFO ? DL_INFO : DL_DEBUG;
}

static enum dl_level level_of(int priority);
static int on_append(log4c_appender_t *self,
		     const log4c_logging_event_t *event);
static int open_file(const char *path);
static void open_again(void);

static const int priorities[] = {
	[DL_DEBUG] = LOG4C_PRIORITY_DEBUG,
	[DL_INFO] = LOG4C_PRIORITY_INFO,
	[DL_WARN] = LOG4C_PRIORITY_WARN,
	[DL_ERROR] = LOG4C_PRIORITY_ERROR,
};

static const log4c_appender_type_t appender_type = {
	.name = "daisyledge",
	.append = on_append,
};

static log4c_category_t *category;
static enum dl_level current_level;
static struct dl_logring ring;
static int log_fd = STDOUT_FILENO; /* -1: the file is not open yet */
static char *unopened_path;	   /* of that file */
static int64_t open_retry_at;	   /* monotonic time, ms */

static int on_append(log4c_appender_t *self, const log4c_logging_event_t *event)
{
	char when[32], line[LINE_BYTES_MAX];
	struct timespec ts;
	struct tm tm;
	int n;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(line, sizeof(line) - 1, "%s.%03ldZ %-5s %s", when,
		     ts.tv_nsec / NS_PER_MS,
		     log4c_priority_to_string(event->evt_priority),
		     event->evt_msg);
	n = n < (int)sizeof(line) - 1 ? n : (int)sizeof(line) - 2;
	line[n++] = '\n';
	dl_logring_put(&ring, level_of(event->evt_priority),
		       (struct dl_str){ line, (size_t)n },
		       (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS);
	/* Flush at once: the process may be about to exit. */
	if (level_of(event->evt_priority) >= DL_WARN)
		dl_main_log_flush();
	return n;
}

/* Opens a file to append to; returns a descriptor, or a negative errno. */
static int open_file(const char *path)
{
	int fd = open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0640);

	return fd < 0 ? -errno : fd;
}

/* Tries from time to time to open a file that could not be opened. */
static void open_again(void)
{
	struct timespec ts;
	int64_t now;
	int fd;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	now = (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
	if (now < open_retry_at)
		return;
	open_retry_at = now + OPEN_RETRY_MS;
	fd = open_file(unopened_path);
	if (fd >= 0)
		log_fd = fd;
}

/*
 * Writes as much as the log accepts without blocking. A pipe that polls as
 * writable accepts PIPE_BUF bytes. If nobody reads it, nothing is written and
 * lines are dropped once the ring is full.  A file on a full disk is tried
 * again at the next call.
 */
void dl_main_log_flush(void)
{
	struct pollfd p = { .events = POLLOUT };
	struct dl_str next;
	ssize_t n;

	if (log_fd < 0)
		open_again();
	if (log_fd < 0)
		return;
	p.fd = log_fd;
	for (int i = 0; i < WRITES_PER_FLUSH; i++) {
		next = dl_logring_next(&ring);
		if (next.n == 0 || poll(&p, 1, 0) != 1 ||
		    !(p.revents & POLLOUT))
			return;
		n = write(log_fd, next.s,
			  next.n < PIPE_BUF ? next.n : PIPE_BUF);
		if (n <= 0)
			return;
		dl_logring_written(&ring, (size_t)n);
	}
}

static void on_message(void *arg, enum dl_level level, const char *part,
		       const char *text)
{
	log4c_category_log(category, priorities[level], "%s: %s", part, text);
}

/*
 * Opens the log; called once, before the first message.  A file that cannot be
 * opened on a disk without room must not keep the process from serving: lines
 * wait in the ring until it can be.
 */
int dl_main_log_open(const char *path, enum dl_level level)
{
	log4c_appender_t *appender;
	int code = path[0] ? open_file(path) : STDOUT_FILENO;

	log_fd = code;
	if (code < 0) {
		unopened_path = strdup(path);
		if (!unopened_path || !dl_open_may_succeed_later(code))
			return code;
		fprintf(stderr,
			"daisyledge: cannot open the log file yet: %s\n",
			strerror(-code));
	}
	atexit(dl_main_log_flush);
	/* log4c reports a missing log4crc file on standard error. */
	if (log4c_init())
		return -EINVAL;
	log4c_appender_type_set(&appender_type);
	appender = log4c_appender_get("daisyledge");
	log4c_appender_set_type(appender, &appender_type);
	category = log4c_category_get("daisyledge");
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	dl_main_log_set_level(level);
	dl_log_set_sink((struct dl_log_sink){ on_message, NULL });
	if (code < 0)
		dl_msg(DL_MSG_LOG_UNOPENED, "error=\"%s\"", strerror(-code));
	return 0;
}

/* Sets the lowest level that is logged. */
void dl_main_log_set_level(enum dl_level level)
{
	current_level = level;
	log4c_category_set_priority(category, priorities[level]);
}

/* On SIGUSR1: one level more verbose; after debug, only errors are logged. */
void dl_main_log_cycle_level(void)
{
	dl_main_log_set_level(current_level == DL_DEBUG ?
				      DL_ERROR :
				      (enum dl_level)(current_level - 1));
}
