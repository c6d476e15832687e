/*
 * The HTTP parts that the tools share: a server on h2o and a small client of
 * its own, so that the tools do not judge the daemon by the daemon's code.
 */
#ifndef DL_TEST_FAKE_HTTP_H
#define DL_TEST_FAKE_HTTP_H

#include <uv.h>

#include "daisyledge/base.h"

struct fake_header {
	const char *name;
	const char *value;
};

/* The server: one request is one struct, until it has ended or gone. */
struct fake_server;
struct fake_request;

struct fake_server_ops {
	/* A whole request came; answer it now or later. */
	void (*request)(void *arg, struct fake_request *req);
	/* The peer left, or all is sent: the request must be forgotten. */
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

/* Status, headers up to a null name, and a whole body. */
void fake_reply(struct fake_request *req, int status,
		const struct fake_header *headers, struct dl_str body);
/* The same in pieces; pieces are copied and sent as the peer takes them. */
void fake_reply_begin(struct fake_request *req, int status,
		      const struct fake_header *headers);
void fake_reply_write(struct fake_request *req, struct dl_str piece);
void fake_reply_end(struct fake_request *req);
/* Bytes written that the peer has not made room for. */
size_t fake_reply_pending(const struct fake_request *req);
/* Break the connection off; no gone() follows. */
void fake_reply_abort(struct fake_request *req);

/* Writing to a peer that has left is an error, no signal; call it first. */
void fake_ignore_sigpipe(void);

/* The client: a connection of its own for each call. */
struct fake_call;

enum fake_end {
	FAKE_END_COMPLETE,
	FAKE_END_CONNECT, /* no byte was sent */
	FAKE_END_RESET,	  /* closed or broken before the end */
	FAKE_END_TIMEOUT,
};

struct fake_call_req {
	uint64_t address;
	const char *method;
	const char *path;
	const struct fake_header *headers; /* up to a null name */
	struct dl_str body;		   /* copied */
	uint32_t connect_ms;
	uint32_t timeout_ms;
};

struct fake_call_ops {
	void (*head)(void *arg, int status, struct dl_str head);
	void (*body)(void *arg, struct dl_str piece);
	void (*end)(void *arg, enum fake_end end);
};

/* Start a call; end() is called later, once and last. */
struct fake_call *fake_call_start(uv_loop_t *loop,
				  const struct fake_call_req *req,
				  const struct fake_call_ops *ops, void *arg);
/* Close the connection; no callback follows. */
void fake_call_cancel(struct fake_call *call);
/* Find a header in the raw head of an answer; empty where it is not. */
struct dl_str fake_head_find(struct dl_str head, const char *name);

#endif
