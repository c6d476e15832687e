/*
 * The HTTP server: h2o over libuv, one handler for every path.  Bodies arrive
 * whole; answers go out at once or as a stream with backpressure.
 */
#ifndef DL_TRANSPORT_HTTPD_H
#define DL_TRANSPORT_HTTPD_H

#include <uv.h>

#include "daisyledge/base.h"
#include "transport/httpc.h"

struct dl_httpd;
struct dl_httpd_req; /* one request, from request() to its answer's end */

struct dl_httpd_conf {
	uint64_t address;   /* packed ip and port */
	size_t body_max;    /* larger ones are answered 413 */
	uint32_t conns_max; /* more are closed at once */
	uint32_t read_ms;   /* a request must have arrived whole within */
};

struct dl_httpd_ops {
	/* A request has arrived; answer now or later. */
	void (*request)(void *arg, struct dl_httpd_req *req);
	/*
	 * The caller of an unfinished answer has gone: the request is freed
	 * after this returns.
	 */
	void (*aborted)(void *arg, struct dl_httpd_req *req);
	/* What was sent of a stream has been written: more may follow. */
	void (*drained)(void *arg, struct dl_httpd_req *req);
};

int dl_httpd_open(uv_loop_t *loop, const struct dl_httpd_conf *conf,
		  const struct dl_httpd_ops *ops, void *arg,
		  struct dl_httpd **out, struct dl_err *err);
/* From now on every answer is the last of its connection. */
void dl_httpd_close_after_responses(struct dl_httpd *server);
/* Accept nothing more; answers in flight go on. */
void dl_httpd_stop_accepting(struct dl_httpd *server);
void dl_httpd_close(struct dl_httpd *server);

struct dl_str dl_httpd_method(const struct dl_httpd_req *req);
struct dl_str dl_httpd_path(const struct dl_httpd_req *req); /* with query */
/* The host asked for, without a port. */
struct dl_str dl_httpd_host(const struct dl_httpd_req *req);
/* The same with its port, as it was sent. */
struct dl_str dl_httpd_authority(const struct dl_httpd_req *req);
struct dl_str dl_httpd_body(const struct dl_httpd_req *req);
/* The value of a header, empty where absent; name in lower case. */
struct dl_str dl_httpd_header(const struct dl_httpd_req *req, const char *name);
size_t dl_httpd_headers(const struct dl_httpd_req *req, struct dl_header *out,
			size_t max);
/*
 * How long ago the first byte of a request came, ms: its caller has waited so
 * long.  By the time of day, as h2o notes it; 0 where that was set back, and no
 * longer than a request may take to arrive.
 */
uint32_t dl_httpd_age_ms(const struct dl_httpd_req *req);
/* For the owner's own use. */
void dl_httpd_set_data(struct dl_httpd_req *req, void *data);
void *dl_httpd_data(const struct dl_httpd_req *req);

/* Answer whole; the bytes are copied.  The request is gone afterwards. */
void dl_httpd_reply(struct dl_httpd_req *req, uint16_t status,
		    const struct dl_header *headers, size_t count,
		    struct dl_str body);
/* Begin a stream; length SIZE_MAX where it is not known. */
void dl_httpd_begin(struct dl_httpd_req *req, uint16_t status,
		    const struct dl_header *headers, size_t count,
		    size_t length);
/* Queue bytes; false where the caller is slower: wait for drained(). */
bool dl_httpd_send(struct dl_httpd_req *req, struct dl_str bytes);
/* End a stream; !complete breaks the connection so that the caller can tell. */
void dl_httpd_finish(struct dl_httpd_req *req, bool complete);

#endif
