/*
 * Lines of our own log, read back: what dl_msg() wrote, as log.c stamped it,
 * with or without something before the stamp.  Views into the line.
 */
#ifndef DL_PROTOCOL_LOGLINE_H
#define DL_PROTOCOL_LOGLINE_H

#include "daisyledge/base.h"

/* More words than any message has. */
#define DL_LOGLINE_FIELDS_MAX 40

struct dl_logfield {
	struct dl_str key;
	struct dl_str value; /* without its quotes */
};

struct dl_logline {
	struct dl_str prefix; /* what a collector put before the stamp */
	int64_t at;	      /* Unix ms */
	struct dl_str level, part, sentence;
	struct dl_logfield field[DL_LOGLINE_FIELDS_MAX];
	uint32_t fields;
};

/* 0, or -EINVAL where a line is none of ours. */
int dl_logline_read(struct dl_str line, struct dl_logline *out);
/* The value of a word; empty where it has none, or is not there. */
struct dl_str dl_logline_field(const struct dl_logline *l, const char *key);
/* A word as a number; otherwise where it is none. */
int64_t dl_logline_number(const struct dl_logline *l, const char *key,
			  int64_t otherwise);

#endif
