/*
 * Calls that tell the truth: what an attempt came to, whether another may be
 * made, and which bytes of a stream belong where.  Pure.
 */
#ifndef DAISYLEDGE_CALL_H
#define DAISYLEDGE_CALL_H

#include "daisyledge/base.h"

/* What an attempt came to, as the caller is told. */
enum dl_outcome {
	DL_OUTCOME_DONE,
	DL_OUTCOME_FAILED,  /* it ran and failed */
	DL_OUTCOME_NOT_RUN, /* provably did not run */
	DL_OUTCOME_UNKNOWN,
	DL_OUTCOME_COUNT,
};

/* "done", "failed", "not-run", "unknown". */
const char *dl_outcome_name(enum dl_outcome outcome);

/* How much of the request left this VM. */
enum dl_sent {
	DL_SENT_NOTHING,
	DL_SENT_PART,
	DL_SENT_ALL,
	DL_SENT_COUNT
};

/* How much of the answer came. */
enum dl_received {
	DL_RECV_NOTHING,
	DL_RECV_HEAD, /* a status, and perhaps a part of the body */
	DL_RECV_COMPLETE,
	DL_RECV_NOT_RUN, /* the endpoint itself says that it did not run */
	DL_RECV_COUNT,
};

/* How the attempt ended. */
enum dl_failure {
	DL_FAILURE_NONE,
	DL_FAILURE_CONNECT, /* refused, unreachable, timed out connecting */
	DL_FAILURE_RESET,   /* reset or closed early */
	DL_FAILURE_IDLE_TIMEOUT, /* longer silence than allowed */
	DL_FAILURE_DEADLINE,
	DL_FAILURE_CALLER_GONE,	 /* the caller left */
	DL_FAILURE_BAD_RESPONSE, /* not an answer, or another request's */
	DL_FAILURE_COUNT,
};

/* One attempt, for the table of outcomes. */
struct dl_attempt {
	enum dl_sent sent;
	enum dl_received received;
	enum dl_failure failure;
	uint16_t status; /* HTTP status where a head came */
};

enum dl_outcome dl_call_outcome(const struct dl_attempt *attempt);

/* What may be done after an attempt that did not succeed. */
enum dl_next {
	DL_NEXT_ANSWER, /* tell the caller now */
	DL_NEXT_RETRY,	/* ask for another endpoint, begin again */
	DL_NEXT_RESUME, /* same endpoint, new connection, at the offset */
};

/* The retry budget of a service: retries as a share of first tries. */
struct dl_retry_budget {
	uint32_t permille;
	uint32_t burst;
	uint64_t credit; /* thousandths of a retry */
};

void dl_retry_budget_init(struct dl_retry_budget *budget, uint32_t permille,
			  uint32_t burst);
void dl_retry_budget_deposit(struct dl_retry_budget *budget);
bool dl_retry_budget_withdraw(struct dl_retry_budget *budget);

/* What the decision about a next attempt looks at. */
struct dl_call_state {
	bool idempotent;
	bool resumable;	   /* the endpoint resumes streams at an offset */
	uint32_t attempts; /* made so far */
	uint64_t bytes_to_caller; /* of the answer already passed on */
	int64_t deadline;
	uint32_t expected_ms; /* what another attempt needs */
};

enum dl_next dl_call_next(const struct dl_call_state *state,
			  const struct dl_attempt *attempt,
			  struct dl_retry_budget *budget, int64_t now);

/* Bytes of a stream by offset: late and repeated ones are dropped. */
struct dl_stream {
	uint64_t request;
	uint64_t incarnation; /* of the connection that may speak */
	uint64_t offset;      /* next byte expected */
};

/*
 * Accept bytes that claim to begin at an offset: returns how many of the
 * first ones to skip, or -EBADMSG (another request or an old connection) or
 * -ENODATA (a gap).
 */
int64_t dl_stream_accept(struct dl_stream *stream, uint64_t request,
			 uint64_t incarnation, uint64_t offset, size_t n);

/*
 * Deadlines on each hop: what is passed down is the time that remains, less
 * what the way back takes, never a time of day.
 */
uint32_t dl_hop_remaining_ms(int64_t deadline, uint32_t margin_ms, int64_t now);
int64_t dl_hop_deadline(uint32_t remaining_ms, int64_t now);

/* How far an open connection is trusted with another request. */
struct dl_conn_limits {
	uint32_t age_ms;   /* since it was opened */
	uint32_t idle_ms;  /* since its last byte came */
	uint32_t requests; /* carried at most */
};

/* One connection kept open towards an endpoint. */
struct dl_conn_usage {
	int64_t opened;
	int64_t last_read; /* the last byte that came */
	uint32_t requests; /* carried so far */
};

bool dl_conn_usable(const struct dl_conn_limits *bounds,
		    const struct dl_conn_usage *conn, bool idempotent,
		    int64_t now);

/* Bounds on the silence of one answer, or of one connection. */
struct dl_idle_timer {
	uint32_t first_ms; /* until the first byte */
	uint32_t gap_ms;   /* between bytes after it */
	bool started;
	int64_t last_data;  /* the last byte, or the begin */
	int64_t last_check; /* the last look, to notice a pause of our own */
	bool pause_excused; /* such a pause, once until the next byte */
};

void dl_idle_timer_start(struct dl_idle_timer *silence, uint32_t first_ms,
			 uint32_t gap_ms, int64_t now);
void dl_idle_timer_data_received(struct dl_idle_timer *silence, int64_t now);
bool dl_idle_timer_expired(struct dl_idle_timer *silence, int64_t now);
int64_t dl_idle_timer_expiry(const struct dl_idle_timer *silence);

/* The longest key that a caller may name, and the longest joined one. */
#define DL_CLAIM_NAME_MAX 255
#define DL_CLAIM_KEY_MAX  400

int dl_claim_key(struct dl_str service, struct dl_str workspace,
		 struct dl_str key, char out[DL_CLAIM_KEY_MAX]);

#endif
