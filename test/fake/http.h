/*
 * HTTP for the test tools: a server on h2o and a small independent client, so
 * that the daemon is not tested with its own HTTP code.
 */
#ifndef DL_TEST_FAKE_HTTP_H
#define DL_TEST_FAKE_HTTP_H

#include <uv.h>

#include "daisyledge/base.h"

struct fake_header {
	const char *name;
	const char *value;
};

/* The server.  A request is valid until closed() is called for it. */
struct fake_server;
struct fake_request;

struct fake_server_ops {
	/* A complete request has arrived; reply from here or later. */
	void (*request)(void *arg, struct fake_request *req);
	/* The client disconnected or the reply is sent; do not use req. */
	void (*closed)(void *arg, struct fake_request *req);
};

int fake_server_open(uv_loop_t *loop, uint64_t listen,
		     const struct fake_server_ops *ops, void *arg,
		     struct fake_server **out);
void fake_server_stop_listening(struct fake_server *server);

struct dl_str fake_request_method(const struct fake_request *req);
struct dl_str fake_request_path(const struct fake_request *req);
struct dl_str fake_request_query(const struct fake_request *req);
struct dl_str fake_request_body(const struct fake_request *req);
struct dl_str fake_request_header(const struct fake_request *req,
				  const char *name);
void fake_request_set_owner(struct fake_request *req, void *owner);
void *fake_request_owner(const struct fake_request *req);

/* Sends a complete reply; headers end with a null name. */
void fake_reply(struct fake_request *req, int status,
		const struct fake_header *headers, struct dl_str body);
/* Streams a reply; data is copied and sent as fast as the client reads. */
void fake_reply_begin(struct fake_request *req, int status,
		      const struct fake_header *headers);
void fake_reply_write(struct fake_request *req, struct dl_str piece);
void fake_reply_end(struct fake_request *req);
/* Bytes written by the owner but not yet passed to h2o. */
size_t fake_reply_pending(const struct fake_request *req);
/* Aborts the reply and its connection; closed() is not called. */
void fake_reply_abort(struct fake_request *req);

/*
 * Writes bytes to the client as they are, in place of a reply; those that it
 * does not take are left out. false: the client has closed the connection.
 */
bool fake_reply_raw(struct fake_request *req, struct dl_str bytes);
/*
 * Ends the connection after raw bytes, in order or by a reset; closed() is not
 * called.
 */
void fake_reply_drop(struct fake_request *req, bool reset);

/* Ignores SIGPIPE, so that writes fail with EPIPE; must be called first. */
void fake_ignore_sigpipe(void);

/* The client: each call uses its own connection. */
struct fake_call;

enum fake_end {
	FAKE_END_COMPLETE,
	FAKE_END_CONNECT, /* nothing was sent */
	FAKE_END_RESET,	  /* closed, reset or malformed before the end */
	FAKE_END_TIMEOUT,
};

struct fake_call_req {
	uint64_t address;
	const char *method;
	const char *path;
	const struct fake_header *headers; /* ends with a null name */
	struct dl_str body;		   /* copied */
	uint32_t connect_ms;
	uint32_t timeout_ms;
};

struct fake_call_ops {
	void (*head)(void *arg, int status, struct dl_str head);
	void (*body)(void *arg, struct dl_str piece);
	void (*end)(void *arg, enum fake_end end);
};

/* Starts a call; end() is called from the loop, once and last. */
struct fake_call *fake_call_start(uv_loop_t *loop,
				  const struct fake_call_req *req,
				  const struct fake_call_ops *ops, void *arg);
/* Cancels a call by closing its connection; no callback follows. */
void fake_call_cancel(struct fake_call *call);
/* Finds a header in the raw head of a response; empty if absent. */
struct dl_str fake_head_find(struct dl_str head, const char *name);

#endif
