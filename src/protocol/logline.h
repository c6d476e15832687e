/*
 * Parser of the project's log lines: the output of dl_msg() after the timestamp
 * of log.c, with or without a prefix before it. All strings point into the
 * line.
 */
#ifndef DL_PROTOCOL_LOGLINE_H
#define DL_PROTOCOL_LOGLINE_H

#include "daisyledge/base.h"

/* More fields than any message has. */
#define DL_LOGLINE_FIELDS_MAX 40

struct dl_logfield {
	struct dl_str key;
	struct dl_str value; /* without its quotes */
};

struct dl_logline {
	struct dl_str prefix; /* added before the timestamp by a collector */
	int64_t at;	      /* Unix ms */
	struct dl_str level, part, sentence;
	struct dl_logfield field[DL_LOGLINE_FIELDS_MAX];
	uint32_t fields;
};

/* Returns 0, or -EINVAL if the line is not one of the project's log lines. */
int dl_logline_read(struct dl_str line, struct dl_logline *out);
/* The value of a field; empty if the value is empty or the field missing. */
struct dl_str dl_logline_field(const struct dl_logline *l, const char *key);
/* The value of a field as an integer; default_value if it is not one. */
int64_t dl_logline_number(const struct dl_logline *l, const char *key,
			  int64_t default_value);

#endif
