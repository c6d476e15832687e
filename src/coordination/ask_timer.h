/*
 * When a grant request that its dispatcher has not answered is sent to a second
 * VM as well.  No I/O and no clock; times are in ms.
 */
#ifndef DL_COORDINATION_ASK_TIMER_H
#define DL_COORDINATION_ASK_TIMER_H

#include "daisyledge/base.h"

/* A dispatcher that has not answered for this time counts as unreachable. */
#define DL_ASK_TIMEOUT_MS 180
/* Number of the last answers that the delay is derived from. */
#define DL_ASK_ANSWERS 128
/* Overdue requests that are tracked; further ones are not. */
#define DL_ASK_OVERDUE_MAX 16

/* A grant request that its dispatcher has not answered within the delay. */
struct dl_ask_overdue {
	uint64_t vm;
	uint64_t request;
	int64_t asked_at;
	bool hedged; /* a second VM was asked for one to this VM */
};

/* Zero-initialised by the owner, then dl_ask_timer_init(). */
struct dl_ask_timer {
	uint8_t answer_ms[DL_ASK_ANSWERS]; /* ring buffer */
	uint32_t answers;		   /* seen since the start */
	/* How many of the ring's answers took so many ms. */
	uint8_t count[DL_ASK_TIMEOUT_MS + 1];
	uint32_t tokens; /* in tenths of a hedged request */
	struct dl_ask_overdue overdue[DL_ASK_OVERDUE_MAX];
	uint32_t overdue_count;
	int64_t ticked_at; /* 0: never */
	bool stalled;	   /* this VM was, before the last tick */
};

void dl_ask_timer_init(struct dl_ask_timer *t);
/* A grant request was sent to the VM that dispatches. */
void dl_ask_timer_sent(struct dl_ask_timer *t);
/* Notes after how long a grant request was answered. */
void dl_ask_timer_add_answer(struct dl_ask_timer *t, int64_t ms);
/* How long to wait for an answer before a second VM is asked, in ms. */
uint32_t dl_ask_timer_delay_ms(const struct dl_ask_timer *t);
/* Whether a grant request may be hedged; if so, a token is used up. */
bool dl_ask_timer_take_token(struct dl_ask_timer *t);

/*
 * Notes that a request is overdue; false if the VM had an overdue one already
 * or the table is full.
 */
bool dl_ask_timer_add_overdue(struct dl_ask_timer *t, uint64_t vm,
			      uint64_t request, int64_t asked_at);
bool dl_ask_timer_is_overdue(const struct dl_ask_timer *t, uint64_t vm);
/* Whether this is the first hedged request since the VM is overdue. */
bool dl_ask_timer_first_hedge(struct dl_ask_timer *t, uint64_t vm);
/*
 * A VM has answered a request: none of its requests is overdue any more.
 * Returns when the request was sent if it was overdue, 0 otherwise.
 */
int64_t dl_ask_timer_answered(struct dl_ask_timer *t, uint64_t vm,
			      uint64_t request);
/* Removes what is known of a VM that was marked as unreachable. */
void dl_ask_timer_forget(struct dl_ask_timer *t, uint64_t vm);
/* Returns a VM whose answer is so late that it is unreachable, or DL_VM_NONE.
 */
uint64_t dl_ask_timer_lost(const struct dl_ask_timer *t, int64_t now);
/*
 * Called at each tick, interval_ms apart.  After this VM itself was stalled,
 * answers may have arrived that it has not read yet: until the next tick no
 * request is overdue and no VM is lost.
 */
void dl_ask_timer_tick(struct dl_ask_timer *t, int64_t now,
		       uint32_t interval_ms);
/* Whether a request that was sent at asked_at should have been answered. */
bool dl_ask_timer_is_late(const struct dl_ask_timer *t, int64_t asked_at,
			  int64_t now);

#endif
