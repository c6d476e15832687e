/*
 * Limit on the bytes of requests that have not been read whole.  Large requests
 * are read in the order in which they came, as many at a time as fit; what the
 * others send stays in their sockets, so that their clients have to wait.
 */
#ifndef DL_TRANSPORT_READ_LIMIT_H
#define DL_TRANSPORT_READ_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

/* A connection; the owner zeroes it and adds it. */
struct dl_read {
	h2o_socket_t *sock;
	struct dl_read *next, *prev;
	/* Of the request that is being read, 0 while it is small: */
	size_t need;	/* most bytes that it will take */
	uint64_t order; /* in which it came */
	bool admitted;
	h2o_socket_cb paused; /* h2o's callback; NULL: not paused */
};

struct dl_read_limit {
	size_t max;	 /* 0: none */
	size_t body_max; /* of a request that does not tell its length */
	size_t admitted; /* bytes that the admitted requests will take */
	uint64_t last_order;
	struct dl_read *reads;
};

void dl_read_limit_add(struct dl_read_limit *l, struct dl_read *r,
		       h2o_socket_t *sock);
void dl_read_limit_remove(struct dl_read_limit *l, struct dl_read *r);
void dl_read_limit_whole(struct dl_read_limit *l, struct dl_read *r);
void dl_read_limit_update(struct dl_read_limit *l);

#endif
