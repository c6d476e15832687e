/*
 * JSON messages of callers and endpoints. daisyledge-api(7) and
 * daisyledge-endpoint(7) specify them.
 */
#ifndef DL_PROTOCOL_API_H
#define DL_PROTOCOL_API_H

#include <jansson.h>

#include "daisyledge/pool.h"

/*
 * A validated completion request of a caller. It owns its data, so the body may
 * be freed once it is parsed.
 */
struct dl_completion {
	struct dl_name model;
	uint64_t max_tokens;
	bool stream;
	uint64_t prompt_bytes;
	uint64_t prefix; /* dl_prefix_hash() of the prompt */
	char *rest;	 /* the JSON object without the keys the entry sets */
	size_t rest_n;
};

#define DL_MAX_TOKENS_DEFAULT 256
#define DL_MAX_TOKENS_MAX     1000000

/*
 * Returns 0, or -EINVAL and the reason in err. It takes about 25 ms per
 * megabyte and accesses no shared state, so a long prompt may be parsed on a
 * worker thread rather than on the event loop.
 */
int dl_completion_parse(struct dl_str body, struct dl_completion *out,
			struct dl_err *err);
void dl_completion_free(struct dl_completion *c);
/*
 * An endpoint's request body is this head followed by
 * dl_completion_body_tail(). It always asks for a stream and carries the
 * priority and, for a group, the other members. The caller frees the head; NULL
 * if out of memory.
 */
char *dl_completion_body_head(const struct dl_completion *c,
			      const struct dl_answer *grant);
struct dl_str dl_completion_body_tail(const struct dl_completion *c);

/* One chunk of a completion stream. */
struct dl_chunk {
	bool done; /* the "[DONE]" that ends the stream */
	bool has_text;
	bool has_usage;
	uint64_t prompt_tokens;
	uint64_t completion_tokens;
};

/* Reads the data of one event; -EBADMSG if it is not a chunk. */
int dl_chunk_parse(struct dl_str data, bool want_text, struct dl_chunk *out,
		   json_t **text);

/*
 * The hash by which requests and cache events identify a prompt prefix that
 * several prompts may share: XXH64 with seed 0 over the first DL_PREFIX_BYTES
 * bytes. It is 0 for a shorter prompt.
 */
#define DL_PREFIX_BYTES ((size_t)4096)

uint64_t dl_prefix_hash(struct dl_str prompt);

/* Events of an engine's prefix cache in one announcement. */
#define DL_CACHE_EVENTS_MAX 32

struct dl_cache_event {
	uint64_t prefix;
	uint32_t tokens; /* 0: evicted */
};

#define DL_ANNOUNCED_MODELS_MAX 8

/* An endpoint's announcement. */
struct dl_announcement {
	struct dl_name service;
	struct dl_endpoint_report report;
	/*
	 * Identifies the endpoint instance; if empty, report.incarnation tells
	 * instances apart.
	 */
	struct dl_name instance;
	uint64_t sequence; /* increases with each announcement of an instance */
	uint64_t born; /* start time of the instance by the endpoint's clock; 0:
			  unknown */
	/*
	 * When the first process heard of its departure, in ms since boot; 0:
	 * now. Only for departures that another process handed over.
	 */
	int64_t departure_heard_at;
	uint64_t order_fence;
	/* What orders change; empty if the endpoint announces none of it. */
	struct dl_name models[DL_ANNOUNCED_MODELS_MAX];
	uint32_t models_count;
	struct dl_name version;
	struct dl_name role;
	struct dl_cache_event events[DL_CACHE_EVENTS_MAX];
	uint32_t events_count;
};

int dl_announcement_parse(struct dl_str body, struct dl_announcement *out,
			  struct dl_err *err);

/* The JSON body of a refusal or an error; the caller frees it. */
char *dl_error_body(const char *reason, const char *step, const char *peer,
		    uint32_t retry_after_ms, const char *text, size_t *n);

#endif
