/*
 * How callers, endpoints and operators of a deployment speak, where that is
 * not the product's own API: typed messages, and a table that translates
 * between them and the wire.  A dialect decides nothing.
 */
#ifndef DL_PROTOCOL_DIALECT_H
#define DL_PROTOCOL_DIALECT_H

#include "protocol/api.h"
#include "transport/httpc.h"

/* What a caller's headers say; strings point into the request. */
struct dl_inbound {
	struct dl_str host;
	struct dl_str key;	  /* shows the workspace; empty for none */
	struct dl_str attempt_id; /* the caller's own, unique for each try */
	uint32_t timeout_ms;	  /* how long the caller waits; 0: not said */
	uint64_t prompt_tokens;	  /* 0: not said */
	uint64_t output_tokens;	  /* at most */
	uint64_t prefix;	  /* hash of the shared part; 0 for none */
	uint32_t prefix_tokens;
	uint64_t after_event; /* a stream goes on behind this event's id */
	bool resumes;	      /* after_event was sent */
};

/* What an endpoint is told beside the caller's own headers. */
struct dl_outbound {
	struct dl_str workspace; /* empty for none */
	struct dl_str instance; /* only this start of the endpoint may run it */
	uint32_t deadline_ms;	/* how long it may take */
	bool resumes;
	uint64_t after_event;
	uint8_t priority; /* 0 first */
	/* Others that read the prompt with it; addresses. */
	uint8_t helpers;
	struct dl_str helper[DL_GROUP_MAX];
	struct dl_str
		reservation[DL_GROUP_MAX]; /* memory there; empty for none */
};

/* Memory set aside on an engine for a part of a prompt. */
struct dl_reservation {
	struct dl_str id;
	struct dl_str instance;
	uint64_t tokens;
	uint32_t hold_ms; /* from its arrival; 0: give it back */
};

/* What the head of an endpoint's answer says. */
struct dl_response_head {
	bool not_run; /* it has not run the request and never will */
	struct dl_str attempt_id;
	struct dl_str at_fault; /* the endpoint that is, where it is another */
	size_t length;		/* of the body; SIZE_MAX: not said */
	/*
	 * Requests that it takes in 1,000 s, from all VMs together;
	 * DL_UNLIMITED: as many as it has room for.
	 */
	uint32_t limit;
	uint32_t retry_after_ms; /* until which it takes no more; 0: not said */
	bool leaving;
};

/* What a call to the replicas' door asks for. */
enum dl_control_call {
	DL_CONTROL_UNKNOWN,
	DL_CONTROL_ANNOUNCE,
	DL_CONTROL_LEAVE,
	DL_CONTROL_APPLY,
	DL_CONTROL_READ,
};

#define DL_DIALECT_HEADERS_MAX 64
/* Room for the values that a dialect writes. */
#define DL_DIALECT_TEXT_MAX 4096

struct dl_dialect {
	void (*inbound)(const struct dl_header *headers, size_t n,
			struct dl_inbound *out);
	/*
	 * The headers for an endpoint: the caller's that may pass, and what is
	 * told it.  Values are written into text.  Returns how many.
	 */
	size_t (*outbound)(const struct dl_header *callers, size_t n,
			   const struct dl_outbound *what,
			   struct dl_header *out, char *text);
	void (*response)(const struct dl_header *headers, size_t n,
			 struct dl_response_head *out);
	/* Whether an endpoint's header may reach the caller. */
	bool (*forwards_header)(struct dl_str name);
	/* Fill in the order about a reservation; values go into text. */
	void (*reservation)(const struct dl_reservation *what,
			    struct dl_httpc_req *req, struct dl_header *headers,
			    char *text);
	/* arg: what the path names. */
	enum dl_control_call (*control)(struct dl_str method,
					struct dl_str path, struct dl_str *arg);
	/* An announcement of the endpoint named by id; 0 or -EINVAL. */
	int (*announce)(struct dl_str id, struct dl_str body,
			struct dl_announcement *out, struct dl_err *err);
	/*
	 * The answer to an announcement; door: where the endpoint should
	 * announce itself from now on, DL_VM_NONE for wherever it likes.
	 * Returns its length in text, at most DL_DIALECT_TEXT_MAX.
	 */
	size_t (*announce_reply)(uint64_t door, char *text);
	/* That it leaves, without its address; the body may be empty. */
	int (*leave)(struct dl_str id, struct dl_str body,
		     struct dl_announcement *out, struct dl_err *err);
	/*
	 * A configuration as the product's own text, which the caller frees
	 * with free(); 0 or -EINVAL where it cannot be read.
	 */
	int (*configuration)(struct dl_str body, char **text,
			     struct dl_err *err);
};

#endif
