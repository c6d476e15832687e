/*
 * Idempotency keys: a claim of the key is committed to the replicas' log before
 * anything is sent to an endpoint, and the outcome is recorded under it.
 */
#include <errno.h>

#include <stdlib.h>

#include "entry/entry_call.h"
#include "protocol/api.h"

#define CLAIM_MS	2000
#define CLAIM_EXPIRES_S 86400
#define RETRY_AFTER_MS	1000
/* How long a response waits for its outcome to be recorded, and how long
 * recording is retried, which is enough for a new leader to be elected. */
#define RECORD_WAIT_MS	   1000
#define RECORD_TIMEOUT_MS  30000
#define OUTCOME_BYTES_MAX  16384
#define STATUS_KEY_REUSED  422
#define STATUS_IN_PROGRESS 409
#define STATUS_ERROR	   500

static void send_unclaim(struct call *c)
{
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_UNCLAIM };
	struct entry_cmd_done no_callback = { NULL, NULL };

	cmd.key = c->key;
	cmd.owner = c->claim_owner;
	entry_cmd_send(c->e, &cmd, CLAIM_MS * 2, no_callback);
}

/*
 * Whether the whole body of the answer can be recorded.  What was sent on as it
 * came, a stream or a long body, is not here any more.
 */
static bool is_body_kept(const struct call *c)
{
	return c->final_body && c->http && !dl_httpd_begun(c->http) &&
	       c->final_body->len <= OUTCOME_BYTES_MAX;
}

/*
 * Records the outcome of a claimed request; done is called once.  An answer
 * whose body is not kept would reach a resend without one, framed as whole: an
 * error that says so is recorded in its place.
 */
void call_record_outcome(struct call *c, struct entry_cmd_done done)
{
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_OUTCOME };
	char *error = NULL;

	cmd.key = c->key;
	cmd.owner = c->claim_owner;
	cmd.status = c->status;
	if (is_body_kept(c)) {
		cmd.outcome = (struct dl_str){ c->final_body->str,
					       c->final_body->len };
	} else if (c->status < STATUS_ERROR) {
		cmd.status = DL_CSTORE_NOT_KEPT;
		error = dl_error_body("answer-not-kept",
				      dl_step_name(DL_STEP_CLAIM), "", 0,
				      "the request was done, but its answer "
				      "is not kept",
				      &cmd.outcome.n);
		cmd.outcome.s = error;
	}
	c->outcome_cmd = entry_cmd_send(c->e, &cmd, RECORD_TIMEOUT_MS, done);
	c->outcome_deadline = entry_now(c->e) + RECORD_WAIT_MS;
	free(error);
}

/*
 * Settles the claim of a request that has ended with an error.  The claim of a
 * request that did not run is withdrawn, so that the caller can retry at once;
 * one whose outcome is unknown stays, so that the request cannot run twice.
 */
void call_settle_claim(struct call *c)
{
	struct entry_cmd_done no_callback = { NULL, NULL };

	if (!c->claimed)
		return;
	if (c->outcome == DL_OUTCOME_NOT_RUN)
		send_unclaim(c);
	else if (c->outcome == DL_OUTCOME_FAILED)
		call_record_outcome(c, no_callback);
	c->outcome_cmd = 0;
}

static void replay_outcome(struct call *c, const struct dl_cstore_reply *reply)
{
	c->final_body =
		g_string_new_len(reply->outcome.s, (gssize)reply->outcome.n);
	call_settle(c,
		    reply->status >= 500 ? DL_OUTCOME_FAILED : DL_OUTCOME_DONE,
		    reply->status);
	call_answer_complete(c);
	call_free(c);
}

static void refuse_key(struct call *c, uint16_t status, enum dl_outcome outcome,
		       enum dl_reason reason)
{
	struct dl_err err;

	dl_err_set(&err, -EAGAIN, DL_STEP_CLAIM, NULL,
		   "the idempotency key is in use");
	call_settle(c, outcome, status);
	call_answer_error(c, dl_reason_name(reason), &err, RETRY_AFTER_MS);
	call_free(c);
}

static void on_claimed(void *arg, const struct dl_cstore_reply *reply)
{
	struct call *c = arg;

	c->claim_cmd = 0;
	entry_call_span(c, "claim", c->arrived_at, NULL);
	if (reply->code == DL_EREUSED) {
		refuse_key(c, STATUS_KEY_REUSED, DL_OUTCOME_NOT_RUN,
			   DL_REASON_IN_PROGRESS);
		return;
	}
	if (reply->code) {
		c->claimed = true; /* it may be committed: withdraw it */
		entry_call_refuse(c, DL_REASON_NO_QUORUM, DL_STEP_CLAIM,
				  c->e->leader, RETRY_AFTER_MS);
		return;
	}
	if (reply->claim == DL_CLAIM_DONE) {
		replay_outcome(c, reply);
		return;
	}
	if (reply->claim == DL_CLAIM_RUNNING &&
	    reply->owner != c->claim_owner) {
		refuse_key(c, STATUS_IN_PROGRESS, DL_OUTCOME_UNKNOWN,
			   DL_REASON_IN_PROGRESS);
		return;
	}
	c->claimed = true;
	entry_grant_ask(c);
}

/*
 * Returns how long to try a claim: at most half of the time left, so that the
 * request can still run after a late claim, and a caller learns of a missing
 * quorum before it gives up.
 */
static uint32_t claim_timeout_ms(const struct call *c)
{
	int64_t half = (c->deadline - entry_now(c->e)) / 2;

	return (uint32_t)CLAMP(half, 1, CLAIM_MS);
}

/*
 * Claims the caller's idempotency key; the request continues once the claim is
 * committed.  Returns -EINVAL where the key is too long.
 */
int call_claim(struct call *c)
{
	struct dl_str key = dl_httpd_header(c->http, "idempotency-key");
	struct dl_cstore_cmd cmd = { .op = DL_CSTORE_CLAIM };
	struct entry_cmd_done done = { on_claimed, c };
	struct dl_str body = dl_httpd_body(c->http);
	char joined[DL_CLAIM_KEY_MAX];
	int n = dl_claim_key(dl_name_str(&c->service),
			     dl_name_str(&c->workspace), key, joined);

	if (n < 0)
		return n;
	c->key = call_copy_str((struct dl_str){ joined, (size_t)n });
	c->state = CALL_CLAIMING;
	cmd.key = c->key;
	cmd.owner = c->claim_owner;
	cmd.body_hash = dl_hash(body, 0);
	cmd.expires_s = CLAIM_EXPIRES_S;
	c->claim_cmd = entry_cmd_send(c->e, &cmd, claim_timeout_ms(c), done);
	return 0;
}
