/*
 * What callers and endpoints say in JSON, as typed messages.  daisyledge-api(7)
 * and daisyledge-endpoint(7) describe it.
 */
#ifndef DL_PROTOCOL_API_H
#define DL_PROTOCOL_API_H

#include <jansson.h>

#include "daisyledge/pool.h"

/*
 * A caller's completion request, checked.  What it holds is its own: the body
 * may go once it is parsed.
 */
struct dl_completion {
	struct dl_name model;
	uint64_t max_tokens;
	bool stream;
	uint64_t prompt_bytes;
	uint64_t prefix; /* dl_prefix_hash() of the prompt */
	char *rest;	 /* the JSON object without the keys that we set */
	size_t rest_n;
};

#define DL_MAX_TOKENS_DEFAULT 256
#define DL_MAX_TOKENS_MAX     1000000

/*
 * 0, or -EINVAL and why.  Takes some 25 ms a megabyte and touches nothing
 * shared, so that a long prompt may be parsed beside the loop.
 */
int dl_completion_parse(struct dl_str body, struct dl_completion *out,
			struct dl_err *err);
void dl_completion_free(struct dl_completion *c);
/*
 * The body for an endpoint is what this returns followed by
 * dl_completion_body_tail: always streamed, with the priority and, for a group,
 * its other members. Owned by the caller; NULL without memory.
 */
char *dl_completion_body_head(const struct dl_completion *c,
			      const struct dl_answer *grant);
struct dl_str dl_completion_body_tail(const struct dl_completion *c);

/* What a chunk of a completion stream says. */
struct dl_chunk {
	bool done; /* the end mark */
	bool has_text;
	bool has_usage;
	uint64_t prompt_tokens;
	uint64_t completion_tokens;
};

/* Read the data of one event; -EBADMSG where it is not a chunk. */
int dl_chunk_parse(struct dl_str data, bool want_text, struct dl_chunk *out,
		   json_t **text);

/*
 * How prompts and cache events name the start of a prompt that others may
 * share: XXH64 without a seed over its first DL_PREFIX_BYTES bytes.  0 for a
 * prompt that is shorter.
 */
#define DL_PREFIX_BYTES ((size_t)4096)

uint64_t dl_prefix_hash(struct dl_str prompt);

/* What an engine says of its cache, at most so many in one announcement. */
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
	/* One start of the endpoint; empty: report.incarnation tells starts. */
	struct dl_name instance;
	uint64_t sequence; /* grows with each announcement of a start */
	uint64_t born; /* when that start began, by the endpoint's clock; 0: not
			  said */
	uint64_t order_fence;
	/* What orders are about; empty where it tells none. */
	struct dl_name models[DL_ANNOUNCED_MODELS_MAX];
	uint32_t models_count;
	struct dl_name version;
	struct dl_name role;
	struct dl_cache_event events[DL_CACHE_EVENTS_MAX];
	uint32_t events_count;
};

int dl_announcement_parse(struct dl_str body, struct dl_announcement *out,
			  struct dl_err *err);

/* A refusal or an error as its JSON body; owned by the caller. */
char *dl_error_body(const char *reason, const char *step, const char *peer,
		    uint32_t retry_after_ms, const char *text, size_t *n);

#endif
