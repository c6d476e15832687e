/*
 * HTTP/1.1 client for requests to endpoints and entries, on libuv and
 * http-parser.  Each call opens its own connection by default, since an idle
 * connection may be dead without notice; a request that is safe to repeat can
 * reuse a pooled one.
 */
#ifndef DL_TRANSPORT_HTTPC_H
#define DL_TRANSPORT_HTTPC_H

#include <uv.h>

#include "daisyledge/base.h"
#include "daisyledge/call.h"
#include "daisyledge/paths.h"

struct dl_httpc;      /* the client of one loop */
struct dl_httpc_call; /* one request in flight */

struct dl_header {
	struct dl_str name;
	struct dl_str value;
};

/* Reports whether a header has a name, which is given in lower case. */
bool dl_header_is(struct dl_str name, const char *lower_name);
/* Reports whether a header is hop-by-hop, so that it must not be forwarded. */
bool dl_header_is_hop_by_hop(struct dl_str name);

struct dl_httpc_req {
	uint64_t address; /* packed IP address and port */
	struct dl_str method;
	struct dl_str path;
	struct dl_str host;		 /* if empty, the address is sent */
	const struct dl_header *headers; /* besides Host and Content-Length */
	size_t headers_count;
	struct dl_str body_prefix; /* start of the body, copied; may be empty */
	struct dl_str body;	   /* the rest, which must outlive the call */
	uint32_t connect_ms;	   /* connect timeout */
	uint32_t idle_ms;	   /* longest time without a byte after that */
	uint32_t head_ms;  /* longest wait for the response head; 0: idle_ms */
	uint32_t total_ms; /* longest time of the whole call; 0: any */
	/*
	 * Accept a response that is delimited only by an orderly close of the
	 * connection; without this, such a response is malformed.
	 */
	bool close_delimited;
	/*
	 * The request may use a pooled connection and return its connection to
	 * the pool.  A request sent on a connection that the peer has already
	 * closed is lost, so this is not for requests that must not be
	 * repeated.
	 */
	bool reuse;
	bool direct; /* no VM may forward the connection */
};

struct dl_httpc_head {
	uint16_t status;
	enum dl_framing framing; /* LENGTH for a response without a body */
	const struct dl_header *headers;
	size_t headers_count;
};

/* The connection of a call, and the bytes on it that are not the response's. */
struct dl_httpc_conn_info {
	uint32_t carried; /* responses before this one; 0: a new connection */
	size_t bytes_before; /* unread as the request was sent, up to 512 */
	size_t bytes_after;  /* read together with the response's end */
	bool no_head;	     /* what came began with no head of a response */
};

/*
 * Callbacks of one call; any of them may be NULL.  head() is called once,
 * body() for each piece of the body, and end() once and last.  body() returns
 * false to pause reading until dl_httpc_resume().  attempt is filled in for
 * dl_call_outcome(); its failure says what ended the call.  err->code is
 * -ECONNREFUSED if the connection was refused.
 */
struct dl_httpc_ops {
	void (*head)(void *arg, const struct dl_httpc_head *head);
	bool (*body)(void *arg, struct dl_str piece);
	void (*end)(void *arg, const struct dl_attempt *attempt,
		    const struct dl_err *err);
	/*
	 * Connected, but nothing has been sent; returning false abandons the
	 * call as not sent.
	 */
	bool (*connected)(void *arg);
	/*
	 * The request was sent and nothing was received for the idle timeout.
	 * Returns for how long to go on waiting, ms; 0 ends the call.
	 */
	uint32_t (*idle)(void *arg);
};

/*
 * How connections reach endpoints whose direct path is interrupted.  vms()
 * lists VMs that may forward one, as they are named among VMs; address() is
 * where a VM accepts connections to forward.  The others report what became of
 * each way that was tried; undecided() is called where none led anywhere and
 * nobody knows why.
 */
struct dl_httpc_paths {
	void (*plan)(void *arg, uint64_t endpoint, struct dl_path_plan *out);
	uint32_t (*vms)(void *arg, uint64_t endpoint, uint64_t *out,
			uint32_t max, bool *alone);
	uint64_t (*address)(void *arg, uint64_t vm);
	void (*direct)(void *arg, uint64_t endpoint,
		       enum dl_direct_result result);
	void (*forwarded)(void *arg, uint64_t endpoint, uint64_t vm,
			  enum dl_forward_result result);
	void (*undecided)(void *arg, uint64_t endpoint);
	/*
	 * Returns the endpoint's last report, which the caller frees with
	 * free(), or NULL; a VM that forwards may not have heard of it.
	 */
	char *(*report)(void *arg, uint64_t endpoint, size_t *n);
	void *arg;
};

int dl_httpc_open(uv_loop_t *loop, struct dl_httpc **out);
/* Without paths every connection is direct. */
void dl_httpc_set_paths(struct dl_httpc *client,
			const struct dl_httpc_paths *paths);
void dl_httpc_close(struct dl_httpc *client);

/* Starts a call.  end() is never called from within this function. */
struct dl_httpc_call *dl_httpc_start(struct dl_httpc *client,
				     const struct dl_httpc_req *req,
				     const struct dl_httpc_ops *ops, void *arg);
void dl_httpc_resume(struct dl_httpc_call *call);
/* Changes the idle timeout; it takes effect with the next byte received. */
void dl_httpc_set_idle_timeout(struct dl_httpc_call *call, uint32_t idle_ms);
/* Returns what has been sent and received so far. */
struct dl_attempt dl_httpc_progress(const struct dl_httpc_call *call);
/*
 * Returns for how long nothing was received although it was waited for, ms; 0
 * before the request was sent, while reading is paused and after the end.
 */
int64_t dl_httpc_silent_ms(const struct dl_httpc_call *call);
/* The VM that forwards the connection that was used; DL_VM_NONE: none does. */
uint64_t dl_httpc_via(const struct dl_httpc_call *call);
/* What is known of the connection that was used; valid until end() returns. */
struct dl_httpc_conn_info dl_httpc_conn_info(const struct dl_httpc_call *call);
/* Ends a call after this time at the latest, also where bytes go on coming. */
void dl_httpc_end_within(struct dl_httpc_call *call, uint32_t ms);
/* Ends a call that makes no sense any more, as if it had timed out. */
void dl_httpc_give_up(struct dl_httpc_call *call, const char *why);
/*
 * Gives up a call whose response is not proved to be that of its request: the
 * endpoint's connections are not reused for a while.
 */
void dl_httpc_reject(struct dl_httpc_call *call, const char *why);
/* Cancels a call: closes its connection; no callback follows. */
void dl_httpc_cancel(struct dl_httpc_call *call);

#endif
