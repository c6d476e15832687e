/*
 * HTTP server on h2o and libuv, with one handler for every path.  Request
 * bodies are delivered whole; responses are sent at once or streamed with
 * backpressure.
 */
#ifndef DL_TRANSPORT_HTTPD_H
#define DL_TRANSPORT_HTTPD_H

#include <uv.h>

#include "daisyledge/base.h"
#include "transport/httpc.h"

struct dl_httpd;
struct dl_httpd_req; /* one request, until its response has ended */

struct dl_httpd_conf {
	uint64_t address;   /* packed IP address and port */
	size_t body_max;    /* larger bodies are answered with 413 */
	uint32_t conns_max; /* further connections are closed at once */
	uint32_t read_ms;   /* limit on the time to receive a request */
	/* of large requests that are not whole yet; 0: no limit */
	size_t reading_max;
};

struct dl_httpd_ops {
	/* A request has arrived; reply from here or later. */
	void (*request)(void *arg, struct dl_httpd_req *req);
	/*
	 * The client disconnected before the response was finished; the
	 * request is freed after this returns.
	 */
	void (*aborted)(void *arg, struct dl_httpd_req *req);
	/* The queued part of a stream has been written; more may be sent. */
	void (*drained)(void *arg, struct dl_httpd_req *req);
};

int dl_httpd_open(uv_loop_t *loop, const struct dl_httpd_conf *conf,
		  const struct dl_httpd_ops *ops, void *arg,
		  struct dl_httpd **out, struct dl_err *err);
/* From now on, closes each connection after its response. */
void dl_httpd_close_after_responses(struct dl_httpd *server);
/* Stops accepting connections; open ones continue. */
void dl_httpd_stop_accepting(struct dl_httpd *server);
void dl_httpd_close(struct dl_httpd *server);

struct dl_str dl_httpd_method(const struct dl_httpd_req *req);
struct dl_str dl_httpd_path(const struct dl_httpd_req *req); /* with query */
/* The requested host, without the port. */
struct dl_str dl_httpd_host(const struct dl_httpd_req *req);
/* The requested host as sent, with the port. */
struct dl_str dl_httpd_authority(const struct dl_httpd_req *req);
struct dl_str dl_httpd_body(const struct dl_httpd_req *req);
/* The value of a header, empty if absent; name is in lower case. */
struct dl_str dl_httpd_header(const struct dl_httpd_req *req, const char *name);
/* All headers, valid as long as the request; *count is their number. */
const struct dl_header *dl_httpd_headers(struct dl_httpd_req *req,
					 size_t *count);
/*
 * The time since the first byte of a request arrived, in ms, which the client
 * has spent waiting.  Measured with the wall clock, which is what h2o records:
 * 0 if that clock was set back, and at most read_ms.
 */
uint32_t dl_httpd_age_ms(const struct dl_httpd_req *req);
/* A pointer for the owner's use. */
void dl_httpd_set_data(struct dl_httpd_req *req, void *data);
void *dl_httpd_data(const struct dl_httpd_req *req);
/* The name by which the log has the request; it is copied. */
void dl_httpd_set_name(struct dl_httpd_req *req, const char *name);

/* Sends a whole response, copying it; the request is invalid afterwards. */
void dl_httpd_reply(struct dl_httpd_req *req, uint16_t status,
		    const struct dl_header *headers, size_t count,
		    struct dl_str body);
/*
 * Begins a streamed response; length is SIZE_MAX if not known. Returns what
 * marks its end, which depends on the client's version of HTTP.
 */
enum dl_framing dl_httpd_begin(struct dl_httpd_req *req, uint16_t status,
			       const struct dl_header *headers, size_t count,
			       size_t length);
/* Queues bytes; false: the client is slow, wait for drained(). */
bool dl_httpd_send(struct dl_httpd_req *req, struct dl_str bytes);
/*
 * Whether a response has begun: bytes of it may have reached the client, so
 * that only more of the same response may follow.
 */
bool dl_httpd_begun(const struct dl_httpd_req *req);
/* How many bytes of a response's body were queued. */
size_t dl_httpd_body_bytes(const struct dl_httpd_req *req);
/* How many of them wait for the client to read. */
size_t dl_httpd_unread_bytes(const struct dl_httpd_req *req);
/* How many bytes of responses the server holds for its clients. */
size_t dl_httpd_held(const struct dl_httpd *server);
/* Ends a stream; if it is not complete, breaks the connection to show that. */
void dl_httpd_finish(struct dl_httpd_req *req, bool complete);
/* Whether a part of a request has come, and the rest is awaited. */
bool dl_httpd_is_reading(const struct dl_httpd *server);
/* Whether a client still reads a response that has been handed over. */
bool dl_httpd_has_unwritten(const struct dl_httpd *server);
/* Before the process ends: logs these, which its end breaks off. */
void dl_httpd_abandon_unwritten(struct dl_httpd *server);

#endif
