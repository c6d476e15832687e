/*
 * How repeats of a request come about, and the budget that covers them.
 *
 * What can be saved up counts against the slack, because all of it can be spent
 * in one window.  The slack is divided between what accrues in a window, what
 * the VMs save up, and what a dispatcher saves up, for up to three VMs that
 * dispatch for the same VMs while dispatching moves: 3/8 + 1/4 + 3 * 1/8.
 */
#include "daisyledge/retry.h"

#define SLACK_PARTS	 8
#define ACCRUED_PARTS	 3 /* in a window, at all VMs */
#define SHARE_PARTS	 2 /* saved up at all VMs */
#define DISPATCHER_PARTS 1 /* saved up at one dispatcher */
#define DISPATCHERS_MAX	 3
#define PERMILLE	 1000
/* A missed VM is no longer counted after this. */
#define VM_MISSED_MS 10000

_Static_assert(ACCRUED_PARTS + SHARE_PARTS +
			       DISPATCHERS_MAX * DISPATCHER_PARTS <=
		       SLACK_PARTS,
	       "more is divided than the slack");

struct way {
	const char *name;
	bool charged;
};

static const struct way ways[DL_RETRY_WAY_COUNT] = {
	[DL_RETRY_UNSENT] = { "unsent", false },
	[DL_RETRY_FAILED] = { "failed", true },
	[DL_RETRY_REJECTED] = { "rejected", true },
	[DL_RETRY_BROKEN] = { "broken", true },
	[DL_RETRY_RESUMED] = { "resumed", true },
	[DL_RETRY_SILENT] = { "silent", true },
};

/* Returns how the attempt after this one comes about. */
enum dl_retry_way dl_retry_way_of(const struct dl_attempt *attempt,
				  bool caller_has_events)
{
	if (attempt->sent == DL_SENT_NOTHING)
		return DL_RETRY_UNSENT;
	if (caller_has_events)
		return DL_RETRY_RESUMED;
	if (dl_call_outcome(attempt) == DL_OUTCOME_NOT_RUN)
		return DL_RETRY_REJECTED;
	if (attempt->received == DL_RECV_COMPLETE)
		return DL_RETRY_FAILED;
	return DL_RETRY_BROKEN;
}

/* Returns the name of a way, as it is logged. */
const char *dl_retry_way_name(enum dl_retry_way way)
{
	return (unsigned)way < DL_RETRY_WAY_COUNT ? ways[way].name : "broken";
}

/* Whether the budget has to cover an attempt that comes about this way. */
bool dl_retry_way_is_charged(enum dl_retry_way way)
{
	return (unsigned)way >= DL_RETRY_WAY_COUNT || ways[way].charged;
}

/* Sets the most that can be saved up; takes away what exceeds it. */
void dl_retry_budget_set_max(struct dl_retry_budget *budget, uint64_t max)
{
	budget->max = max;
	if (budget->credit > max)
		budget->credit = max;
}

/* Adds credit, up to what can be saved up. */
void dl_retry_budget_add(struct dl_retry_budget *budget, uint64_t credit)
{
	uint64_t room =
		budget->max > budget->credit ? budget->max - budget->credit : 0;

	budget->credit += credit < room ? credit : room;
}

/* Takes the credit of one repeat; false if there is less. */
bool dl_retry_budget_take_one(struct dl_retry_budget *budget)
{
	if (budget->credit < DL_RETRY_ONE)
		return false;
	budget->credit -= DL_RETRY_ONE;
	return true;
}

/* Takes all credit. */
uint64_t dl_retry_budget_take_all(struct dl_retry_budget *budget)
{
	uint64_t credit = budget->credit;

	budget->credit = 0;
	return credit;
}

/* Returns some eighths of the slack as credit. */
static uint64_t slack_credit(const struct dl_retry_limit *limit, uint32_t parts)
{
	return limit->slack * (DL_RETRY_ONE / SLACK_PARTS) * parts;
}

/*
 * Adds what has accrued since the last call.  Of a longer time than the window
 * no more counts, since a clock that jumps must not bring more.
 */
void dl_retry_share_accrue(struct dl_retry_share *share,
			   const struct dl_retry_limit *limit, uint32_t vms,
			   int64_t now)
{
	int64_t ms = share->accrued_at ? now - share->accrued_at : 0;
	uint64_t vm_ms = (uint64_t)limit->window_ms * vms;
	uint64_t rate = vm_ms ? slack_credit(limit, ACCRUED_PARTS) / vm_ms : 0;

	share->accrued_at = now;
	dl_retry_budget_set_max(&share->budget,
				slack_credit(limit, SHARE_PARTS) /
					(vms ? vms : 1));
	if (ms > (int64_t)limit->window_ms)
		ms = limit->window_ms;
	if (ms > 0)
		dl_retry_budget_add(&share->budget, rate * (uint64_t)ms);
}

/* Returns the credit of one request. */
uint64_t dl_retry_request_credit(const struct dl_retry_limit *limit)
{
	return DL_RETRY_ONE / PERMILLE * limit->permille;
}

/* Returns the most that a dispatcher saves up. */
uint64_t dl_retry_dispatcher_max(const struct dl_retry_limit *limit,
				 uint32_t reached, uint32_t vms)
{
	uint64_t max = slack_credit(limit, DISPATCHER_PARTS);

	return reached < vms ? max / vms * reached : max;
}

/* Updates the number of VMs among which the slack is divided. */
void dl_retry_vms_update(struct dl_retry_vms *vms, uint32_t live, int64_t now)
{
	if (live >= vms->known) {
		vms->known = live;
		vms->changed_at = now;
	} else if (now - vms->changed_at >= VM_MISSED_MS) {
		vms->known--;
		vms->changed_at = now;
	}
}
