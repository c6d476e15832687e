/*
 * One HTTP request to an endpoint or to an entry, over libuv and http-parser.
 * A connection of its own for each call, since a kept one may have gone silent;
 * a request that may be repeated can go over a kept one.
 */
#ifndef DL_TRANSPORT_HTTPC_H
#define DL_TRANSPORT_HTTPC_H

#include <uv.h>

#include "daisyledge/base.h"
#include "daisyledge/call.h"

struct dl_httpc;      /* the client of one loop */
struct dl_httpc_call; /* one request in flight */

struct dl_header {
	struct dl_str name;
	struct dl_str value;
};

/* Whether a header has a name, which is given in lower case. */
bool dl_header_is(struct dl_str name, const char *lower_name);
/* Whether a header concerns one connection only, and is not passed on. */
bool dl_header_is_hop_by_hop(struct dl_str name);

struct dl_httpc_req {
	uint64_t address; /* address as a packed ip and port */
	struct dl_str method;
	struct dl_str path;
	struct dl_str host;		 /* empty: the address */
	const struct dl_header *headers; /* beside Host and Content-Length */
	size_t headers_count;
	struct dl_str body_prefix; /* begin of the body, copied; may be empty */
	struct dl_str body;  /* the rest: must stay until the end of the call */
	uint32_t connect_ms; /* time to connect */
	uint32_t idle_ms;    /* longest silence after that */
	uint32_t head_ms;    /* longest wait for the head; 0: idle_ms */
	/*
	 * An answer without a length is whole when its connection is closed
	 * in order; else it counts as garbled.
	 */
	bool close_delimited;
	/*
	 * It may go over a kept connection, and leave one behind.  What is
	 * sent on one that its other end has closed is lost: not for requests
	 * that run once only.
	 */
	bool reuse;
};

struct dl_httpc_head {
	uint16_t status;
	const struct dl_header *headers;
	size_t headers_count;
};

/*
 * Callbacks of one call: head once, body for each piece, end once and last.
 * body returns false to pause; dl_httpc_resume() goes on.  broke tells what
 * ended it; attempt is filled for dl_call_outcome(); err says -ECONNREFUSED
 * where nobody listens.  NULL where nothing is to be done.
 */
struct dl_httpc_ops {
	void (*head)(void *arg, const struct dl_httpc_head *head);
	bool (*body)(void *arg, struct dl_str piece);
	void (*end)(void *arg, const struct dl_attempt *attempt,
		    const struct dl_err *err);
	/*
	 * Connected, nothing sent yet: false gives the call up as not sent.
	 */
	bool (*connected)(void *arg);
};

int dl_httpc_open(uv_loop_t *loop, struct dl_httpc **out);
void dl_httpc_close(struct dl_httpc *client);

/* Start a call; end() is called later, never from within. */
struct dl_httpc_call *dl_httpc_start(struct dl_httpc *client,
				     const struct dl_httpc_req *req,
				     const struct dl_httpc_ops *ops, void *arg);
void dl_httpc_resume(struct dl_httpc_call *call);
/* From now on, the longest silence allowed. */
void dl_httpc_set_idle_timeout(struct dl_httpc_call *call, uint32_t idle_ms);
/* How far the call has come. */
struct dl_attempt dl_httpc_progress(const struct dl_httpc_call *call);
/* Give up: the connection is closed, no callback follows. */
void dl_httpc_cancel(struct dl_httpc_call *call);

#endif
