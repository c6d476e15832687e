/* The way from the library's messages to log4c. */
#include "main/log.h"

#include <errno.h>
#include <log4c.h>
#include <stdio.h>
#include <time.h>

static int on_append(log4c_appender_t *self,
		     const log4c_logging_event_t *event);

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
static enum dl_level level_now;
static FILE *log_to;

static int on_append(log4c_appender_t *self, const log4c_logging_event_t *event)
{
	struct timespec ts;
	char when[32];
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	return fprintf(log_to, "%s.%03ldZ %-5s %s\n", when,
		       ts.tv_nsec / 1000000,
		       log4c_priority_to_string(event->evt_priority),
		       event->evt_msg);
}

static void on_line(void *arg, enum dl_level level, const char *part,
		    const char *text)
{
	log4c_category_log(category, priorities[level], "%s: %s", part, text);
}

/* Open the log; called once, before anything speaks. */
int dl_main_log_open(const char *path, enum dl_level level)
{
	log4c_appender_t *appender;

	log_to = path[0] ? fopen(path, "ae") : stderr;
	if (!log_to)
		return -errno;
	setvbuf(log_to, NULL, _IOLBF, 0);
	/* Without its own settings file log4c says so on standard error. */
	if (log4c_init())
		return -EINVAL;
	log4c_appender_type_set(&appender_type);
	appender = log4c_appender_get("daisyledge");
	log4c_appender_set_type(appender, &appender_type);
	category = log4c_category_get("daisyledge");
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	dl_main_log_level(level);
	dl_log_set_sink((struct dl_log_sink){ on_line, NULL });
	return 0;
}

/* Say only what is at least this loud. */
void dl_main_log_level(enum dl_level level)
{
	level_now = level;
	log4c_category_set_priority(category, priorities[level]);
}

/* Step through the levels; an operator sends a signal for it. */
void dl_main_log_louder(void)
{
	dl_main_log_level(level_now == DL_DEBUG ?
				  DL_ERROR :
				  (enum dl_level)(level_now - 1));
}
