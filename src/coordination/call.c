/*
 * Outcome of attempts, and what to do after them.
 *
 * One table decides the outcome of an attempt. "Not run" is reported only where
 * it is proved: no byte of the request was sent, or the endpoint itself said
 * so. Whatever is neither proved nor answered is unknown, and an unknown
 * request that is not idempotent is never sent again.
 */
#include "daisyledge/call.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define ATTEMPTS_MAX	      3
#define STATUS_MIN	      200
#define STATUS_ERROR	      500
#define STATUS_UNKNOWN_METHOD 501
#define STATUS_TIMEOUT	      504
#define STATUS_END	      600
#define PAUSE_FACTOR	      2 /* times the limit */

/* Content of a table cell. */
enum cell {
	CELL_UNKNOWN,
	CELL_NOT_RUN,
	CELL_COMPLETE, /* complete response: its status decides */
	CELL_PARTIAL,  /* partial response: only an error status decides */
};

static enum dl_outcome outcome_from_status(enum cell cell, uint16_t status);
static bool may_resume(const struct dl_call_state *state,
		       const struct dl_attempt *attempt);
static bool may_retry(const struct dl_call_state *state,
		      const struct dl_attempt *attempt,
		      enum dl_outcome outcome);

static const char *const outcome_names[DL_OUTCOME_COUNT] = {
	[DL_OUTCOME_DONE] = "done",
	[DL_OUTCOME_FAILED] = "failed",
	[DL_OUTCOME_NOT_RUN] = "not-run",
	[DL_OUTCOME_UNKNOWN] = "unknown",
};

/* clang-format off */
#define U CELL_UNKNOWN
#define N CELL_NOT_RUN
#define C CELL_COMPLETE
#define P CELL_PARTIAL

/*
 * Indexed by sent, received and failure (none, connect, reset, idle timeout,
 * deadline, caller gone, bad response, no path). A bad response proves nothing, even if
 * it says "not run": it may belong to another request. A response that arrives
 * before any byte of the request was sent cannot belong to it.
 */
static const uint8_t outcomes[DL_SENT_COUNT][DL_RECV_COUNT][DL_FAILURE_COUNT] = {
	[DL_SENT_NOTHING] = {
		[DL_RECV_NOTHING] = { N, N, N, N, N, N, N, N },
		[DL_RECV_HEAD]    = { N, N, N, N, N, N, N, N },
		[DL_RECV_COMPLETE]   = { N, N, N, N, N, N, N, N },
		[DL_RECV_NOT_RUN] = { N, N, N, N, N, N, N, N },
	},
	[DL_SENT_PART] = {
		[DL_RECV_NOTHING] = { U, U, U, U, U, U, U, U },
		[DL_RECV_HEAD]    = { U, U, P, P, P, P, U, U },
		[DL_RECV_COMPLETE]   = { C, U, C, C, C, C, U, U },
		[DL_RECV_NOT_RUN] = { N, U, N, N, N, N, U, U },
	},
	[DL_SENT_ALL] = {
		[DL_RECV_NOTHING] = { U, U, U, U, U, U, U, U },
		[DL_RECV_HEAD]    = { U, U, P, P, P, P, U, U },
		[DL_RECV_COMPLETE]   = { C, U, C, C, C, C, U, U },
		[DL_RECV_NOT_RUN] = { N, U, N, N, N, N, U, U },
	},
};

#undef U
#undef N
#undef C
#undef P
/* clang-format on */

/* Returns "done", "failed", "not-run" or "unknown". */
const char *dl_outcome_name(enum dl_outcome outcome)
{
	if ((unsigned)outcome >= DL_OUTCOME_COUNT)
		return "unknown";
	return outcome_names[outcome];
}

/* Returns "none", "length", "chunks" or "close". */
const char *dl_framing_name(enum dl_framing framing)
{
	static const char *const names[DL_FRAMING_COUNT] = {
		[DL_FRAMING_NONE] = "none",
		[DL_FRAMING_LENGTH] = "length",
		[DL_FRAMING_CHUNKS] = "chunks",
		[DL_FRAMING_CLOSE] = "close",
	};

	return (unsigned)framing < DL_FRAMING_COUNT ? names[framing] : "none";
}

/* Returns "broken", "marked", "unmarked", "inside-event" or "no-event". */
const char *dl_ending_name(enum dl_ending ending)
{
	static const char *const names[DL_ENDING_COUNT] = {
		[DL_ENDING_BROKEN] = "broken",
		[DL_ENDING_MARKED] = "marked",
		[DL_ENDING_UNMARKED] = "unmarked",
		[DL_ENDING_INSIDE_EVENT] = "inside-event",
		[DL_ENDING_NO_EVENT] = "no-event",
	};

	return (unsigned)ending < DL_ENDING_COUNT ? names[ending] : "broken";
}

/*
 * Returns how a response ended.  A process that crashes closes its connections
 * in order, as one does that has finished a response without a length.  In a
 * stream an unfinished event tells them apart, and so does a stream without any
 * event; a crash between two events cannot be told from the end.
 */
enum dl_ending dl_response_ending(const struct dl_response_seen *seen)
{
	if (!seen->ended || seen->framing == DL_FRAMING_NONE)
		return DL_ENDING_BROKEN;
	if (seen->stream && seen->unfinished)
		return DL_ENDING_INSIDE_EVENT;
	if (seen->framing != DL_FRAMING_CLOSE)
		return DL_ENDING_MARKED;
	if (seen->stream && !seen->any_event)
		return DL_ENDING_NO_EVENT;
	return DL_ENDING_UNMARKED;
}

/* Whether the response is whole, as far as its receiver can tell. */
bool dl_ending_is_whole(enum dl_ending ending)
{
	return ending == DL_ENDING_MARKED || ending == DL_ENDING_UNMARKED;
}

/* Returns the outcome for the status of a complete or partial response. */
static enum dl_outcome outcome_from_status(enum cell cell, uint16_t status)
{
	if (status < STATUS_MIN || status >= STATUS_END)
		return DL_OUTCOME_UNKNOWN;
	if (status >= STATUS_ERROR)
		return DL_OUTCOME_FAILED;
	return cell == CELL_COMPLETE ? DL_OUTCOME_DONE : DL_OUTCOME_UNKNOWN;
}

/* Returns the outcome of an attempt; unknown for values outside the table. */
enum dl_outcome dl_call_outcome(const struct dl_attempt *attempt)
{
	enum cell cell;

	if ((unsigned)attempt->sent >= DL_SENT_COUNT ||
	    (unsigned)attempt->received >= DL_RECV_COUNT ||
	    (unsigned)attempt->failure >= DL_FAILURE_COUNT)
		return DL_OUTCOME_UNKNOWN;
	cell = (enum cell)
		outcomes[attempt->sent][attempt->received][attempt->failure];
	if (cell == CELL_NOT_RUN)
		return DL_OUTCOME_NOT_RUN;
	if (cell == CELL_UNKNOWN)
		return DL_OUTCOME_UNKNOWN;
	return outcome_from_status(cell, attempt->status);
}

/*
 * Whether the stream can continue at its offset over a new connection: the
 * endpoint received the whole request and started to answer, and only the
 * connection broke. Non-idempotent requests are never resumed, because an
 * endpoint that lost the stream might execute them again.
 */
static bool may_resume(const struct dl_call_state *state,
		       const struct dl_attempt *attempt)
{
	return state->idempotent && state->resumable &&
	       attempt->sent == DL_SENT_ALL &&
	       attempt->received == DL_RECV_HEAD &&
	       attempt->status < STATUS_ERROR &&
	       (attempt->failure == DL_FAILURE_RESET ||
		attempt->failure == DL_FAILURE_IDLE_TIMEOUT);
}

/* Whether the request may be started again on another endpoint. */
static bool may_retry(const struct dl_call_state *state,
		      const struct dl_attempt *attempt, enum dl_outcome outcome)
{
	if (state->bytes_to_caller)
		return false;
	if (outcome == DL_OUTCOME_NOT_RUN)
		return true;
	if (!state->idempotent)
		return false;
	if (outcome == DL_OUTCOME_UNKNOWN)
		return true;
	/*
	 * Status codes above 504, and 501, depend on the request and would be
	 * returned again. 500 is not one of these: an endpoint
	 * may fail only part of its requests (7 in 100 of one service of
	 * three), and the callers' own retries hit it again.
	 */
	return attempt->status <= STATUS_TIMEOUT &&
	       attempt->status != STATUS_UNKNOWN_METHOD;
}

/*
 * Decides what to do after an attempt, as far as it may be repeated at all. A
 * request that is not idempotent is only retried if it provably did not run.
 * There is no retry that cannot finish in time, or that would start over after
 * response bytes reached the caller.
 */
enum dl_next dl_call_next(const struct dl_call_state *state,
			  const struct dl_attempt *attempt, int64_t now)
{
	enum dl_outcome outcome = dl_call_outcome(attempt);
	bool resume = may_resume(state, attempt);

	if (outcome == DL_OUTCOME_DONE ||
	    attempt->failure == DL_FAILURE_CALLER_GONE ||
	    attempt->failure == DL_FAILURE_DEADLINE)
		return DL_NEXT_ANSWER;
	if (state->attempts >= ATTEMPTS_MAX ||
	    state->deadline - now < (int64_t)state->expected_ms ||
	    state->deadline <= now)
		return DL_NEXT_ANSWER;
	if (!resume && !may_retry(state, attempt, outcome))
		return DL_NEXT_ANSWER;
	return resume ? DL_NEXT_RESUME : DL_NEXT_RETRY;
}

/*
 * Accepts n bytes that start at an offset. Returns the number of leading bytes
 * to skip, which is n if all were received before, -EBADMSG for another request
 * or an old connection, or -ENODATA for a gap.
 */
int64_t dl_stream_accept(struct dl_stream *stream, uint64_t request,
			 uint64_t incarnation, uint64_t offset, size_t n)
{
	uint64_t skip;

	if (request != stream->request || incarnation != stream->incarnation)
		return -EBADMSG;
	if (n > INT64_MAX || offset > UINT64_MAX - n)
		return -EBADMSG;
	if (offset > stream->offset)
		return -ENODATA;
	skip = stream->offset - offset;
	if (skip >= n)
		return (int64_t)n;
	stream->offset = offset + n;
	return (int64_t)skip;
}

/*
 * Returns the time to pass to the next hop: what remains until the deadline
 * less a margin for the way back; 0 if it is too late to send.
 */
uint32_t dl_hop_remaining_ms(int64_t deadline, uint32_t margin_ms, int64_t now)
{
	int64_t remaining;

	if (deadline <= now)
		return 0;
	remaining = deadline - now;
	if (remaining <= (int64_t)margin_ms)
		return 0;
	remaining -= margin_ms;
	return remaining > UINT32_MAX ? UINT32_MAX : (uint32_t)remaining;
}

/*
 * Converts a remaining time from the previous hop to a deadline on the local
 * clock.
 */
int64_t dl_hop_deadline(uint32_t remaining_ms, int64_t now)
{
	return now + (int64_t)remaining_ms;
}

/*
 * Whether an open connection may carry another request.
 *
 * A middlebox may have dropped the connection state silently, so old and idle
 * connections are not reused. A request that is not idempotent only uses a
 * connection that has carried none, because a stale connection would make its
 * outcome unknown without need.
 */
bool dl_conn_usable(const struct dl_conn_limits *limits,
		    const struct dl_conn_usage *conn, bool idempotent,
		    int64_t now)
{
	if (!idempotent && conn->requests)
		return false;
	return conn->requests < limits->requests &&
	       now - conn->opened < (int64_t)limits->age_ms &&
	       now - conn->last_read < (int64_t)limits->idle_ms;
}

/*
 * Starts the timer: first_ms until the first byte, gap_ms between later ones.
 */
void dl_idle_timer_start(struct dl_idle_timer *timer, uint32_t first_ms,
			 uint32_t gap_ms, int64_t now)
{
	timer->first_ms = first_ms;
	timer->gap_ms = gap_ms;
	timer->started = false;
	timer->pause_excused = false;
	timer->last_data = now;
	timer->last_check = now;
}

/* Records that data was received. */
void dl_idle_timer_data_received(struct dl_idle_timer *timer, int64_t now)
{
	timer->started = true;
	timer->pause_excused = false;
	timer->last_data = now;
	timer->last_check = now;
}

/* Returns when dl_idle_timer_expired() would return true. */
int64_t dl_idle_timer_expiry(const struct dl_idle_timer *timer)
{
	return timer->last_data +
	       (int64_t)(timer->started ? timer->gap_ms : timer->first_ms);
}

/*
 * Whether the connection has been idle for too long. If more than twice the
 * limit passed between two checks, this process was paused and bytes may be
 * waiting unread, so the timer starts over. This is done once until the next
 * byte, or a caller that always checks late would never see a timeout.
 */
bool dl_idle_timer_expired(struct dl_idle_timer *timer, int64_t now)
{
	int64_t bound = dl_idle_timer_expiry(timer) - timer->last_data;
	int64_t gap = now - timer->last_check;

	timer->last_check = now;
	if (gap > bound * PAUSE_FACTOR && !timer->pause_excused) {
		timer->pause_excused = true;
		timer->last_data = now;
		return false;
	}
	return now >= dl_idle_timer_expiry(timer);
}

/*
 * Joins the parts of an idempotency claim into one key, each prefixed by its
 * length so that no two claims share a key. Returns the length of the key, or
 * -EINVAL if a part is too long or a required one is empty.
 */
int dl_claim_key(struct dl_str service, struct dl_str workspace,
		 struct dl_str key, char out[DL_CLAIM_KEY_MAX])
{
	const struct dl_str parts[] = { service, workspace, key };
	size_t n = 0;

	if (service.n == 0 || service.n > DL_NAME_MAX || key.n == 0 ||
	    workspace.n > DL_NAME_MAX || key.n > DL_CLAIM_NAME_MAX)
		return -EINVAL;
	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		n += (size_t)snprintf(out + n, DL_CLAIM_KEY_MAX - n,
				      "%zu:", parts[i].n);
		if (parts[i].n)
			memcpy(out + n, parts[i].s, parts[i].n);
		n += parts[i].n;
	}
	return (int)n;
}
