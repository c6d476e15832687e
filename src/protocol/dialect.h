/*
 * Dialects: protocols of callers, endpoints and operators other than the native
 * API. A dialect is a table of functions that translate between typed messages
 * and the wire; it makes no decisions.
 */
#ifndef DL_PROTOCOL_DIALECT_H
#define DL_PROTOCOL_DIALECT_H

#include "daisyledge/pool.h"
#include "protocol/api.h"
#include "transport/httpc.h"

/* The headers of a caller's request; strings point into the request. */
struct dl_inbound {
	struct dl_str host;
	struct dl_str key;	  /* API key of the workspace; empty for none */
	struct dl_str attempt_id; /* set by the caller, unique per attempt */
	uint32_t timeout_ms;	  /* how long the caller waits; 0: unknown */
	uint64_t prompt_tokens;	  /* 0: unknown */
	uint64_t output_tokens;	  /* upper limit */
	uint64_t prefix; /* hash of the shared prompt prefix; 0 for none */
	uint32_t prefix_tokens;
	uint64_t after_event; /* id of the event after which a stream resumes */
	bool resumes;	      /* after_event was sent */
};

/* What an endpoint is sent in addition to the caller's headers. */
struct dl_outbound {
	struct dl_str workspace; /* empty for none */
	struct dl_str instance;	 /* only this endpoint instance may run it */
	uint32_t deadline_ms;	 /* how long it may take */
	bool resumes;
	uint64_t after_event;
	uint8_t priority; /* 0 first */
	/* Addresses of the endpoints that share the prefill of the prompt. */
	uint8_t helpers;
	struct dl_str helper[DL_GROUP_MAX];
	struct dl_str
		reservation[DL_GROUP_MAX]; /* memory there; empty for none */
};

/* Memory reserved on an engine for a part of a prompt. */
struct dl_reservation {
	struct dl_str id;
	struct dl_str instance;
	uint64_t tokens;
	uint32_t hold_ms; /* counted from its arrival; 0: release */
};

/* The headers of an endpoint's response. */
struct dl_response_head {
	bool not_run; /* it has not run the request and never will */
	struct dl_str attempt_id; /* the last one */
	uint32_t attempt_ids;	  /* how many there are */
	struct dl_str at_fault;	  /* endpoint that failed, if another one */
	size_t length;		  /* of the body; SIZE_MAX: unknown */
	/*
	 * Requests that the endpoint accepts per 1,000 s from all VMs together;
	 * DL_UNLIMITED: as many as it has capacity for.
	 */
	uint32_t limit;
	uint32_t retry_after_ms; /* it accepts no request before; 0: not set */
	bool leaving;
};

/* Calls of the control API, which the replicas serve. */
enum dl_control_call {
	DL_CONTROL_UNKNOWN,
	DL_CONTROL_ANNOUNCE,
	DL_CONTROL_LEAVE,
	DL_CONTROL_APPLY,
	DL_CONTROL_READ,
	DL_CONTROL_EVACUATE,	 /* the argument is a failure domain */
	DL_CONTROL_EVACUATE_END, /* the same */
};

/* Headers that a dialect adds to those of a caller at most. */
#define DL_DIALECT_OWN_HEADERS_MAX 8
/* Size of the buffer to which a dialect writes values. */
#define DL_DIALECT_TEXT_MAX 4096

struct dl_dialect {
	void (*inbound)(const struct dl_header *headers, size_t n,
			struct dl_inbound *out);
	/*
	 * Writes the ids of the parts that the prompt shares with other prompts
	 * to out, at most max of them. Returns how many there are.
	 */
	uint32_t (*prompt_parts)(const struct dl_header *headers, size_t n,
				 uint64_t *out, uint32_t max);
	/*
	 * Builds the headers for an endpoint: those of what, and the caller's
	 * that may be forwarded. Values are written into text. out has room for
	 * n + DL_DIALECT_OWN_HEADERS_MAX. Returns the number of headers.
	 */
	size_t (*outbound)(const struct dl_header *callers, size_t n,
			   const struct dl_outbound *what,
			   struct dl_header *out, char *text);
	void (*response)(const struct dl_header *headers, size_t n,
			 struct dl_response_head *out);
	/* Whether a header of an endpoint is forwarded to the caller. */
	bool (*forwards_header)(struct dl_str name);
	/*
	 * Builds the request for a reservation; values go into text, and at
	 * most DL_DIALECT_OWN_HEADERS_MAX headers into headers.
	 */
	void (*reservation)(const struct dl_reservation *what,
			    struct dl_httpc_req *req, struct dl_header *headers,
			    char *text);
	/* Builds the request that queries an engine for its load. */
	void (*load_request)(struct dl_httpc_req *req);
	/* Parses the body of the answer; 0 or -EINVAL. */
	int (*load)(struct dl_str body, struct dl_engine_load *out);
	/* Looks up a call; *arg is the part of the path after its prefix. */
	enum dl_control_call (*control)(struct dl_str method,
					struct dl_str path, struct dl_str *arg);
	/* Parses an announcement of the endpoint id; 0 or -EINVAL. */
	int (*announce)(struct dl_str id, struct dl_str body,
			struct dl_announcement *out, struct dl_err *err);
	/*
	 * Writes the response to an announcement. next_address is the address
	 * to which the endpoint sends its next announcements; DL_VM_NONE leaves
	 * the choice to it. Returns the length, at most DL_DIALECT_TEXT_MAX.
	 */
	size_t (*announce_reply)(uint64_t next_address, char *text);
	/*
	 * Parses a deregistration, which does not carry the endpoint's
	 * address; the body may be empty.
	 */
	int (*leave)(struct dl_str id, struct dl_str body,
		     struct dl_announcement *out, struct dl_err *err);
	/*
	 * Converts a configuration to the native format, which the caller
	 * frees with free(). Returns 0, or -EINVAL if it cannot be parsed.
	 */
	int (*configuration)(struct dl_str body, char **text,
			     struct dl_err *err);
};

#endif
