/* What the files of the HTTP client share; see httpc.h. */
#ifndef DL_TRANSPORT_HTTPC_INT_H
#define DL_TRANSPORT_HTTPC_INT_H

#include <glib.h>
#include <http_parser.h>

#include "transport/frame.h"
#include "transport/httpc.h"
#include "transport/late_timer.h"
#include "transport/response_head.h"

#define READ_MAX 65536
/* Longest idle time of a connection in the pool. */
#define POOL_IDLE_MS 1500
/* VMs that one call asks to forward its connection. */
#define FORWARDERS_MAX 3
/*
 * For how long connections to an endpoint are not reused after bytes of it that
 * belong to no request, and for how many endpoints that is known.
 */
#define STRAY_BYTES_MS	    5000
#define STRAY_ENDPOINTS_MAX 4096

/* A connection: being made, in use by a call, or idle in the pool. */
struct conn {
	uv_tcp_t tcp; /* must be first */
	uv_connect_t connect;
	uv_write_t write;
	http_parser parser;
	struct dl_head_check head_check;
	struct dl_chunk_check chunk_check;
	struct dl_httpc *client;
	struct dl_httpc_call *call; /* NULL while pooled or closing */
	struct conn *next;	    /* in the pool */
	uint64_t address;
	uint64_t via;		   /* VM that forwards it; DL_VM_NONE: direct */
	struct dl_frame_reader in; /* of a forwarded one */
	char *open_frame;
	struct dl_conn_usage usage;
	uint32_t idle_ms;     /* how long it may stay idle in the pool */
	bool opened;	      /* requests can be sent on it */
	bool request_written; /* the request has been written to its end */
	bool closing;
	bool response_ended; /* the response has been read to its end */
};

struct dl_httpc {
	uv_loop_t *loop;
	uv_timer_t sweep;
	struct conn *pool;
	uint32_t pool_count;
	GHashTable *stray;	/* address to when its connections are reused */
	int64_t no_reuse_until; /* of any, as there are too many of these */
	struct dl_httpc_paths paths;
	bool has_paths;
	char buf[READ_MAX];
};

/*
 * Connections that are being made for a call, directly and through other VMs.
 * The first one that succeeds is used.
 */
struct connecting {
	struct conn *direct;
	struct conn *forwarded[FORWARDERS_MAX];
	uint64_t vm[FORWARDERS_MAX];
	uint32_t vms, started;
	bool vms_listed;
	bool alone; /* there is no other VM */
	bool direct_tried;
	bool looked_again; /* see httpc_connect_timer() */
	int64_t started_at, deadline;
	int64_t next_at; /* when the next VM is asked */
	uint32_t forwarded_at_ms;
	int direct_error;     /* of libuv; 0: none */
	uint32_t blames;      /* VMs that found the endpoint at fault */
	bool endpoint_silent; /* for one of them */
};

/* A header field, as offsets into header_text. */
struct header_field {
	size_t name, name_n, value, value_n;
};

struct dl_httpc_call {
	struct dl_httpc *client;
	struct conn
		*conn; /* NULL before it is made, and once closed or pooled */
	struct connecting *connecting; /* NULL: not any more */
	uv_timer_t timer;
	uint64_t due;	  /* when the timer fires */
	uint64_t ends_at; /* by then in any case; UINT64_MAX: no limit */
	uint32_t interim; /* responses before the final one */
	const struct dl_httpc_ops *ops;
	void *arg;
	struct dl_attempt attempt;
	struct dl_err err;
	uint64_t address;
	uint64_t via; /* of the connection that was used */
	struct dl_httpc_conn_info conn_info;
	int64_t sent_at;
	uint32_t idle_ms, head_ms;
	char *head; /* request line and headers */
	size_t head_n;
	struct dl_str body;
	bool is_head_method;
	bool close_delimited;
	bool reuse;
	bool direct;		 /* no VM may forward the connection */
	enum dl_framing framing; /* NONE before the head */
	bool paused;
	bool ended; /* end() is called when the timer fires next */

	GString *header_text;
	GArray *fields; /* of struct header_field */
	bool in_value;
};

/* httpc_conn.c */
int64_t httpc_now(const struct dl_httpc *client);
/* Closes a connection; with reset set, bytes under way are given up. */
void httpc_conn_close(struct conn *conn, bool reset);
void httpc_conn_read(struct conn *conn, bool go_on);
/* Connects a call, which is called back as below; -ENOMEM. */
int httpc_connect(struct dl_httpc_call *call, const struct dl_path_plan *plan,
		  uint32_t connect_ms);
void httpc_connect_timer(struct dl_httpc_call *call);
void httpc_connect_cancel(struct dl_httpc_call *call);
struct conn *httpc_pool_take(struct dl_httpc *client, uint64_t to);
void httpc_pool_add(struct conn *conn);
void httpc_pool_close(struct dl_httpc *client);
void httpc_pool_sweep(struct dl_httpc *client);
/*
 * Bytes that belong to no request came from an endpoint: closes its connections
 * in the pool, and has new ones used for a while.
 */
void httpc_stray_bytes(struct dl_httpc *client, uint64_t address);
bool httpc_may_reuse(const struct dl_httpc *client, uint64_t address);

/* httpc.c */
void httpc_call_timer(struct dl_httpc_call *call, uint32_t ms);
void httpc_call_connected(struct dl_httpc_call *call, struct conn *conn);
void httpc_call_not_connected(struct dl_httpc_call *call, int code,
			      bool doubtful, const char *why);
void httpc_call_bytes(struct conn *conn, const char *bytes, size_t n);
/* The connection ended; err is UV_EOF for an orderly close. */
void httpc_call_conn_end(struct conn *conn, int err);
void httpc_call_write_failed(struct dl_httpc_call *call, int status);

#endif
