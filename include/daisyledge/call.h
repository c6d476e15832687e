/*
 * Outcome of request attempts, retry decisions, and placement of stream bytes.
 * The module does no I/O and reads no clock.
 */
#ifndef DAISYLEDGE_CALL_H
#define DAISYLEDGE_CALL_H

#include "daisyledge/base.h"

/* Outcome of an attempt, as reported to the caller. */
enum dl_outcome {
	DL_OUTCOME_DONE,
	DL_OUTCOME_FAILED,  /* executed and failed */
	DL_OUTCOME_NOT_RUN, /* provably not executed */
	DL_OUTCOME_UNKNOWN,
	DL_OUTCOME_COUNT,
};

/* Returns "done", "failed", "not-run" or "unknown". */
const char *dl_outcome_name(enum dl_outcome outcome);

/* How much of the request was sent. */
enum dl_sent {
	DL_SENT_NOTHING,
	DL_SENT_PART,
	DL_SENT_ALL,
	DL_SENT_COUNT
};

/* How much of the response was received. */
enum dl_received {
	DL_RECV_NOTHING,
	DL_RECV_HEAD, /* a status, possibly with part of the body */
	DL_RECV_COMPLETE,
	DL_RECV_NOT_RUN, /* as reported by the endpoint */
	DL_RECV_COUNT,
};

/* How the attempt failed. */
enum dl_failure {
	DL_FAILURE_NONE,
	DL_FAILURE_CONNECT,	 /* refused, unreachable, or connect timeout */
	DL_FAILURE_RESET,	 /* connection reset or closed early */
	DL_FAILURE_IDLE_TIMEOUT, /* no data for longer than allowed */
	DL_FAILURE_DEADLINE,
	DL_FAILURE_CALLER_GONE,	 /* the caller disconnected */
	DL_FAILURE_BAD_RESPONSE, /* malformed or for another request */
	/* not connected, but the endpoint may not be at fault */
	DL_FAILURE_NO_PATH,
	DL_FAILURE_COUNT,
};

/* One attempt, the index into the outcome table. */
struct dl_attempt {
	enum dl_sent sent;
	enum dl_received received;
	enum dl_failure failure;
	uint16_t status; /* HTTP status, if a head was received */
};

enum dl_outcome dl_call_outcome(const struct dl_attempt *attempt);

/* What marks the end of a message's body. */
enum dl_framing {
	DL_FRAMING_NONE, /* there is no message */
	DL_FRAMING_LENGTH,
	DL_FRAMING_CHUNKS,
	DL_FRAMING_CLOSE, /* only the end of its connection */
	DL_FRAMING_COUNT,
};

/* Returns "none", "length", "chunks" or "close". */
const char *dl_framing_name(enum dl_framing framing);

/* What the end of an endpoint's response says of whether it is whole. */
enum dl_ending {
	DL_ENDING_BROKEN,   /* before the end that was marked, or none came */
	DL_ENDING_MARKED,   /* by its length or the last chunk */
	DL_ENDING_UNMARKED, /* its connection was closed in order */
	DL_ENDING_INSIDE_EVENT, /* the same, or marked, but inside an event */
	DL_ENDING_NO_EVENT,	/* closed in order before the first event */
	DL_ENDING_COUNT,
};

/* What is known of a response whose connection has ended. */
struct dl_response_seen {
	enum dl_framing framing;
	bool ended;	   /* at its mark, or, without one, in order */
	bool stream;	   /* of events */
	bool any_event;	   /* a whole one has come */
	size_t unfinished; /* bytes of an event that is not whole */
};

enum dl_ending dl_response_ending(const struct dl_response_seen *seen);
/* Returns "broken", "marked", "unmarked", "inside-event" or "no-event". */
const char *dl_ending_name(enum dl_ending ending);
/* Whether the response is whole, as far as its receiver can tell. */
bool dl_ending_is_whole(enum dl_ending ending);

/* What to do after an unsuccessful attempt. */
enum dl_next {
	DL_NEXT_ANSWER, /* report the outcome to the caller now */
	DL_NEXT_RETRY,	/* start over on another endpoint */
	DL_NEXT_RESUME, /* on the same endpoint, at the offset */
};

/* Input of the retry decision. */
struct dl_call_state {
	bool idempotent;
	bool resumable;	   /* the endpoint can resume streams at an offset */
	uint32_t attempts; /* attempts made so far */
	uint64_t bytes_to_caller; /* response bytes already forwarded */
	int64_t deadline;
	uint32_t expected_ms; /* expected duration of another attempt */
};

enum dl_next dl_call_next(const struct dl_call_state *state,
			  const struct dl_attempt *attempt, int64_t now);

/* Position in a stream: late and duplicate bytes are dropped. */
struct dl_stream {
	uint64_t request;
	uint64_t incarnation; /* connection whose bytes are accepted */
	uint64_t offset;      /* next expected byte */
};

/*
 * Accepts n bytes that start at an offset. Returns the number of leading bytes
 * to skip, -EBADMSG for another request or an old connection, or -ENODATA for a
 * gap.
 */
int64_t dl_stream_accept(struct dl_stream *stream, uint64_t request,
			 uint64_t incarnation, uint64_t offset, size_t n);

/*
 * Deadlines across hops: a hop passes down the remaining time less a margin for
 * the way back, never a time of day.
 */
uint32_t dl_hop_remaining_ms(int64_t deadline, uint32_t margin_ms, int64_t now);
int64_t dl_hop_deadline(uint32_t remaining_ms, int64_t now);

/* Limits on the reuse of an open connection. */
struct dl_conn_limits {
	uint32_t age_ms;   /* since it was opened */
	uint32_t idle_ms;  /* since the last byte was received */
	uint32_t requests; /* maximum number of requests */
};

/* Usage of a connection that is kept open to an endpoint. */
struct dl_conn_usage {
	int64_t opened;
	int64_t last_read; /* time of the last received byte */
	uint32_t requests; /* requests sent so far */
};

bool dl_conn_usable(const struct dl_conn_limits *limits,
		    const struct dl_conn_usage *conn, bool idempotent,
		    int64_t now);

/* Idle timer of a response or of a connection. */
struct dl_idle_timer {
	uint32_t first_ms; /* limit until the first byte */
	uint32_t gap_ms;   /* limit between later bytes */
	bool started;
	int64_t last_data;  /* time of the last byte, or of the start */
	int64_t last_check; /* to detect a pause of this process */
	bool pause_excused; /* such a pause was excused since the last byte */
};

void dl_idle_timer_start(struct dl_idle_timer *timer, uint32_t first_ms,
			 uint32_t gap_ms, int64_t now);
void dl_idle_timer_data_received(struct dl_idle_timer *timer, int64_t now);
bool dl_idle_timer_expired(struct dl_idle_timer *timer, int64_t now);
int64_t dl_idle_timer_expiry(const struct dl_idle_timer *timer);

/* Maximum length of a caller's idempotency key, and of the joined claim key. */
#define DL_CLAIM_NAME_MAX 255
#define DL_CLAIM_KEY_MAX  400

int dl_claim_key(struct dl_str service, struct dl_str workspace,
		 struct dl_str key, char out[DL_CLAIM_KEY_MAX]);

#endif
