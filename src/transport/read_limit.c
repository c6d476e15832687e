/* Limit on the bytes of requests that have not been read whole. */
#include "transport/read_limit.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/param.h>

#include "base/metric.h"
#include "base/msg.h"

/* Requests up to this size are always read. */
#define SMALL_BYTES  (64u << 10)
#define LENGTH_FIELD "\r\ncontent-length:"

/* Adds a connection, which must be removed before its socket is gone. */
void dl_read_limit_add(struct dl_read_limit *l, struct dl_read *r,
		       h2o_socket_t *sock)
{
	r->sock = sock;
	r->next = l->reads;
	if (r->next)
		r->next->prev = r;
	l->reads = r;
}

/* Removes a connection. */
void dl_read_limit_remove(struct dl_read_limit *l, struct dl_read *r)
{
	dl_read_limit_whole(l, r);
	if (r->next)
		r->next->prev = r->prev;
	if (r->prev)
		r->prev->next = r->next;
	else
		l->reads = r->next;
}

/* Forgets the request of a connection: it is whole, and its owner counts it. */
void dl_read_limit_whole(struct dl_read_limit *l, struct dl_read *r)
{
	if (r->admitted)
		l->admitted -= r->need;
	r->admitted = false;
	r->need = 0;
}

/*
 * Returns how many bytes a request will take by its head, which is at the start
 * of the input: chunks do not tell their sum.
 */
static size_t declared_bytes(const struct dl_read_limit *l,
			     const h2o_buffer_t *input)
{
	const char *end = memmem(input->bytes, input->size, "\r\n\r\n", 4);
	size_t field = strlen(LENGTH_FIELD);
	size_t body = l->body_max;

	if (!end)
		return l->body_max;
	for (const char *at = input->bytes; at + field < end; at++) {
		if (strncasecmp(at, LENGTH_FIELD, field) == 0)
			body = strtoul(at + field, NULL, 10);
	}
	return MIN(body, l->body_max) + (size_t)(end - input->bytes);
}

static void note_request(struct dl_read_limit *l, struct dl_read *r)
{
	if (r->paused)
		return;
	/* h2o does not read while it handles a request. */
	if (!r->sock->_cb.read || r->sock->input->size <= SMALL_BYTES) {
		dl_read_limit_whole(l, r);
		return;
	}
	if (r->need)
		return;
	r->need = declared_bytes(l, r->sock->input);
	r->order = ++l->last_order;
}

/* Returns the oldest request that is not admitted; NULL: none. */
static struct dl_read *oldest_waiting(const struct dl_read_limit *l)
{
	struct dl_read *oldest = NULL;

	for (struct dl_read *r = l->reads; r; r = r->next) {
		if (r->need && !r->admitted &&
		    (!oldest || r->order < oldest->order))
			oldest = r;
	}
	return oldest;
}

static void admit(struct dl_read_limit *l, struct dl_read *r)
{
	h2o_socket_cb on_read = r->paused;

	r->admitted = true;
	l->admitted += r->need;
	r->paused = NULL;
	if (on_read)
		h2o_socket_read_start(r->sock, on_read);
}

static void pause_reading(struct dl_read_limit *l, struct dl_read *r)
{
	r->paused = r->sock->_cb.read;
	h2o_socket_read_stop(r->sock);
	dl_count(DL_METRIC_reads_paused, 1);
	dl_msg(DL_MSG_READ_PAUSED, "bytes=%zu length=%zu reading=%zu limit=%zu",
	       r->sock->input->size, r->need, l->admitted, l->max);
}

/*
 * Admits requests while they fit, at least one, and pauses the others.  To be
 * called so often that what arrives meanwhile is little.
 */
void dl_read_limit_update(struct dl_read_limit *l)
{
	struct dl_read *r;

	if (!l->max)
		return;
	for (r = l->reads; r; r = r->next)
		note_request(l, r);
	while ((r = oldest_waiting(l)) &&
	       (!l->admitted || l->admitted + r->need <= l->max))
		admit(l, r);
	for (r = l->reads; r; r = r->next) {
		if (r->need && !r->admitted && !r->paused)
			pause_reading(l, r);
	}
}
