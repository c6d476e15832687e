/* The log in memory: entries after a base, in one array. */
#include "state/rlog_int.h"

#include <string.h>

#define FIRST_CAPACITY 64

static void free_range(struct rlog_entries *log, uint32_t from, uint32_t to);

/* The index of the last entry, or of the base if there is none. */
uint64_t rlog_last(const struct rlog_entries *log)
{
	return log->base_index + log->count;
}

/* Finds the term of an entry or of the base; false if it is not held. */
bool rlog_term_at(const struct rlog_entries *log, uint64_t index,
		  uint64_t *term)
{
	if (index == log->base_index) {
		*term = log->base_term;
		return true;
	}
	if (index < log->base_index || index > rlog_last(log))
		return false;
	*term = rlog_at(log, index)->term;
	return true;
}

/* The entry at an index, which must be held. */
const struct dl_rlog_entry *rlog_at(const struct rlog_entries *log,
				    uint64_t index)
{
	return &log->at[index - log->base_index - 1];
}

static uint64_t end_of(const struct rlog_entries *log, uint64_t index)
{
	if (index <= log->base_index)
		return log->base_bytes;
	return log->ends[index - log->base_index - 1];
}

/* The bytes of the entries after one index up to and including another. */
uint64_t rlog_bytes(const struct rlog_entries *log, uint64_t after,
		    uint64_t upto)
{
	return upto <= after ? 0 : end_of(log, upto) - end_of(log, after);
}

/* Appends a copy of an entry at the next index. */
void rlog_push(struct rlog_entries *log, const struct dl_rlog_entry *entry)
{
	struct dl_rlog_entry *e;
	char *copy = g_malloc(entry->data.n + 1);

	if (log->count == log->capacity) {
		log->capacity = log->capacity ? log->capacity * 2 :
						FIRST_CAPACITY;
		log->at = g_renew(struct dl_rlog_entry, log->at, log->capacity);
		log->ends = g_renew(uint64_t, log->ends, log->capacity);
	}
	if (entry->data.n)
		memcpy(copy, entry->data.s, entry->data.n);
	log->ends[log->count] = end_of(log, rlog_last(log)) + entry->data.n;
	e = &log->at[log->count++];
	*e = *entry;
	e->index = rlog_last(log);
	e->data.s = copy;
}

static void free_range(struct rlog_entries *log, uint32_t from, uint32_t to)
{
	for (uint32_t i = from; i < to; i++)
		g_free((char *)log->at[i].data.s);
}

/* Drops an entry and all after it. */
void rlog_truncate(struct rlog_entries *log, uint64_t from)
{
	uint32_t keep;

	if (from > rlog_last(log))
		return;
	keep = from <= log->base_index ? 0 :
					 (uint32_t)(from - log->base_index - 1);
	free_range(log, keep, log->count);
	log->count = keep;
}

/* Drops the entries up to and including an index, which becomes the base. */
void rlog_compact(struct rlog_entries *log, uint64_t upto)
{
	uint32_t drop;

	if (upto <= log->base_index || upto > rlog_last(log))
		return;
	drop = (uint32_t)(upto - log->base_index);
	log->base_term = rlog_at(log, upto)->term;
	log->base_bytes = end_of(log, upto);
	free_range(log, 0, drop);
	log->count -= drop;
	log->base_index = upto;
	memmove(log->at, log->at + drop, log->count * sizeof(*log->at));
	memmove(log->ends, log->ends + drop, log->count * sizeof(*log->ends));
}

/* Drops everything; the log continues after an index. */
void rlog_reset(struct rlog_entries *log, uint64_t index, uint64_t term)
{
	free_range(log, 0, log->count);
	log->count = 0;
	log->base_index = index;
	log->base_term = term;
	log->base_bytes = 0;
}
