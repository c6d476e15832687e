/*
 * Decides when a grant request is sent to a second VM as well.
 *
 * Load: a dispatcher dies, freezes or is cut off while requests arrive.
 * Harm: every request waits for the full timeout, which is over half of the
 * time that a short stream has until its first event.  A shorter fixed timeout
 * would move dispatching away from VMs that are merely slow.
 */
#include "ask_timer.h"

#include <string.h>

/* A dispatcher that is busy for a few ticks is not worth a second request. */
#define DELAY_MIN_MS 40
/* The delay while fewer answers than ANSWERS_MIN have been seen. */
#define DELAY_UNKNOWN_MS 60
#define ANSWERS_MIN	 20
/* The delay is this many times the quantile of the answers. */
#define DELAY_FACTOR 2
/* The answers above the quantile: one in a hundred. */
#define ABOVE_QUANTILE 100
/*
 * One hedged request for ten grant requests, and at most five saved up: if all
 * dispatchers are slow, they get at most a tenth more requests.  An entry sends
 * about one request per second, so five cover a dispatcher that is gone until
 * it is marked as unreachable.
 */
#define TOKEN	   10
#define TOKENS_MAX (5 * TOKEN)
/* A tick that is late by more than one interval means that this VM stalled. */
#define STALL_INTERVALS 2

static void remove_overdue(struct dl_ask_timer *t, uint64_t vm);

/* Starts without answers and with all tokens. */
void dl_ask_timer_init(struct dl_ask_timer *t)
{
	memset(t, 0, sizeof(*t));
	t->tokens = TOKENS_MAX;
}

/* Each grant request pays for a tenth of a hedged one. */
void dl_ask_timer_sent(struct dl_ask_timer *t)
{
	if (t->tokens < TOKENS_MAX)
		t->tokens++;
}

/*
 * Notes the time until an answer.  Requests that are never answered are not
 * noted: a VM that is gone says nothing about how long the others take.
 */
void dl_ask_timer_add_answer(struct dl_ask_timer *t, int64_t ms)
{
	uint32_t at = t->answers % DL_ASK_ANSWERS;

	if (ms < 0)
		ms = 0;
	if (ms > DL_ASK_TIMEOUT_MS)
		ms = DL_ASK_TIMEOUT_MS;
	if (t->answers >= DL_ASK_ANSWERS)
		t->count[t->answer_ms[at]]--;
	t->answer_ms[at] = (uint8_t)ms;
	t->count[ms]++;
	t->answers++;
	/* Keeps the position in the ring and that the ring is full. */
	if (t->answers == 2 * DL_ASK_ANSWERS)
		t->answers = DL_ASK_ANSWERS;
}

/* Twice the 99th percentile of the last answers, within bounds. */
uint32_t dl_ask_timer_delay_ms(const struct dl_ask_timer *t)
{
	uint32_t n = t->answers < DL_ASK_ANSWERS ? t->answers : DL_ASK_ANSWERS;
	uint32_t above = 0, ms = DL_ASK_TIMEOUT_MS, delay;

	if (n < ANSWERS_MIN)
		return DELAY_UNKNOWN_MS;
	for (; ms > 0; ms--) {
		above += t->count[ms];
		if (above > n / ABOVE_QUANTILE)
			break;
	}
	delay = ms * DELAY_FACTOR;
	if (delay < DELAY_MIN_MS)
		return DELAY_MIN_MS;
	return delay < DL_ASK_TIMEOUT_MS ? delay : DL_ASK_TIMEOUT_MS;
}

/* Uses up a token if there is one. */
bool dl_ask_timer_take_token(struct dl_ask_timer *t)
{
	if (t->tokens < TOKEN)
		return false;
	t->tokens -= TOKEN;
	return true;
}

/* Whether a VM has a request that it has not answered within the delay. */
bool dl_ask_timer_is_overdue(const struct dl_ask_timer *t, uint64_t vm)
{
	for (uint32_t i = 0; i < t->overdue_count; i++) {
		if (t->overdue[i].vm == vm)
			return true;
	}
	return false;
}

/*
 * The oldest overdue request of a VM stands for all of them: the VM is lost
 * when that one is, and no longer overdue when it answers any.
 */
bool dl_ask_timer_add_overdue(struct dl_ask_timer *t, uint64_t vm,
			      uint64_t request, int64_t asked_at)
{
	if (t->overdue_count == DL_ASK_OVERDUE_MAX ||
	    dl_ask_timer_is_overdue(t, vm))
		return false;
	t->overdue[t->overdue_count++] =
		(struct dl_ask_overdue){ vm, request, asked_at, false };
	return true;
}

/* Notes that a second VM was asked; a series of them is logged once. */
bool dl_ask_timer_first_hedge(struct dl_ask_timer *t, uint64_t vm)
{
	for (uint32_t i = 0; i < t->overdue_count; i++) {
		if (t->overdue[i].vm != vm || t->overdue[i].hedged)
			continue;
		t->overdue[i].hedged = true;
		return true;
	}
	return false;
}

static void remove_overdue(struct dl_ask_timer *t, uint64_t vm)
{
	for (uint32_t i = 0; i < t->overdue_count; i++) {
		if (t->overdue[i].vm != vm)
			continue;
		t->overdue[i] = t->overdue[--t->overdue_count];
		return;
	}
}

/* Requests are answered in order, so any answer shows that a VM works. */
int64_t dl_ask_timer_answered(struct dl_ask_timer *t, uint64_t vm,
			      uint64_t request)
{
	int64_t asked_at = 0;

	for (uint32_t i = 0; i < t->overdue_count; i++) {
		if (t->overdue[i].vm == vm && t->overdue[i].request == request)
			asked_at = t->overdue[i].asked_at;
	}
	remove_overdue(t, vm);
	return asked_at;
}

/* Removes the overdue request of a VM. */
void dl_ask_timer_forget(struct dl_ask_timer *t, uint64_t vm)
{
	remove_overdue(t, vm);
}

/* Finds a VM whose overdue request has passed the timeout. */
uint64_t dl_ask_timer_lost(const struct dl_ask_timer *t, int64_t now)
{
	for (uint32_t i = 0; !t->stalled && i < t->overdue_count; i++) {
		if (now - t->overdue[i].asked_at > DL_ASK_TIMEOUT_MS)
			return t->overdue[i].vm;
	}
	return DL_VM_NONE;
}

/*
 * A stalled VM runs its timers before it reads what has arrived meanwhile, and
 * would take every dispatcher for silent.
 */
void dl_ask_timer_tick(struct dl_ask_timer *t, int64_t now,
		       uint32_t interval_ms)
{
	t->stalled = t->ticked_at &&
		     now - t->ticked_at >
			     (int64_t)interval_ms * STALL_INTERVALS;
	t->ticked_at = now;
}

/* Whether the delay of a request has passed, by a clock that did not stall. */
bool dl_ask_timer_is_late(const struct dl_ask_timer *t, int64_t asked_at,
			  int64_t now)
{
	return !t->stalled &&
	       now - asked_at >= (int64_t)dl_ask_timer_delay_ms(t);
}
