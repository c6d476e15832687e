/* Logging: every line is a message of the list in msg.h with its details. */
#include "base/msg.h"

#include <stdarg.h>
#include <stdio.h>

struct msg_entry {
	enum dl_level level;
	const char *part;
	const char *text;
};

static const struct msg_entry msg_table[DL_MSG_COUNT] = {
#define X(name, level, part, text) [DL_MSG_##name] = { level, part, text },
	DL_MSG_LIST(X)
#undef X
};

static struct dl_log_sink msg_sink;

/*
 * Sets the destination of log lines. Without a sink they are dropped, so a
 * program that embeds the library and wants no log needs no setup.
 */
void dl_log_set_sink(struct dl_log_sink sink)
{
	msg_sink = sink;
}

/*
 * Logs a message of the list; fmt formats its details as key=value pairs.
 */
void dl_msg(enum dl_msg msg, const char *fmt, ...)
{
	const struct msg_entry *e = &msg_table[msg];
	char line[1024];
	va_list ap;
	int n;

	if (!msg_sink.line)
		return;
	n = snprintf(line, sizeof(line), "%s ", e->text);
	va_start(ap, fmt);
	vsnprintf(line + n, sizeof(line) - (size_t)n, fmt, ap);
	va_end(ap);
	msg_sink.line(msg_sink.arg, e->level, e->part, line);
}
