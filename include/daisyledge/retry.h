/*
 * Repeats of a request: how they come about, and the retry budget, which bounds
 * those that the endpoints of a service receive from all VMs together.  The
 * module does no I/O and reads no clock.
 *
 * Credit comes into being once, at one VM: a share of each request that it
 * receives, and, with time, the VM's part of the slack.  VMs send it along with
 * their requests for a grant, and whoever dispatches collects it.  However many
 * VMs believe that they dispatch, the sum is what the deployment allows.
 */
#ifndef DAISYLEDGE_RETRY_H
#define DAISYLEDGE_RETRY_H

#include "daisyledge/call.h"

/* How a further attempt of a request comes about. */
enum dl_retry_way {
	DL_RETRY_UNSENT,   /* nothing was sent by the attempt before it */
	DL_RETRY_FAILED,   /* the endpoint answered with an error */
	DL_RETRY_REJECTED, /* the endpoint said that it did not run it */
	DL_RETRY_BROKEN,   /* there was no whole response */
	DL_RETRY_RESUMED,  /* the same, after events that the caller has */
	DL_RETRY_SILENT,   /* the attempt is to be given up for its silence */
	DL_RETRY_WAY_COUNT,
};

/* Returns how the attempt after this one comes about. */
enum dl_retry_way dl_retry_way_of(const struct dl_attempt *attempt,
				  bool caller_has_events);
/* Returns "unsent", "failed", "rejected", "broken", "resumed" or "silent". */
const char *dl_retry_way_name(enum dl_retry_way way);
/*
 * Whether an endpoint may have received the request before, so that the budget
 * has to cover the further attempt.
 */
bool dl_retry_way_is_charged(enum dl_retry_way way);

/*
 * What a deployment allows in any window: so many repeats for each thousand
 * requests, and the slack.
 */
struct dl_retry_limit {
	uint32_t permille;
	uint32_t slack;
	uint32_t window_ms;
};

/* The credit that one repeat takes. */
#define DL_RETRY_ONE UINT64_C(1000000000)

/* Repeats that are allowed and not made yet; empty when it is zeroed. */
struct dl_retry_budget {
	uint64_t credit;
	uint64_t max;
};

/* Sets the most that can be saved up; takes away what exceeds it. */
void dl_retry_budget_set_max(struct dl_retry_budget *budget, uint64_t max);
void dl_retry_budget_add(struct dl_retry_budget *budget, uint64_t credit);
/* Takes the credit of one repeat; false if there is less. */
bool dl_retry_budget_take_one(struct dl_retry_budget *budget);
/* Takes all credit, to send it to another VM. */
uint64_t dl_retry_budget_take_all(struct dl_retry_budget *budget);

/* The part of the slack that a VM has not sent to a dispatcher yet. */
struct dl_retry_share {
	struct dl_retry_budget budget;
	int64_t accrued_at; /* 0: nothing accrues before the next call */
};

/* Adds what has accrued since the last call, in a deployment of so many VMs. */
void dl_retry_share_accrue(struct dl_retry_share *share,
			   const struct dl_retry_limit *limit, uint32_t vms,
			   int64_t now);
/* Returns the credit of one request. */
uint64_t dl_retry_request_credit(const struct dl_retry_limit *limit);
/*
 * Returns the most that a dispatcher saves up that reaches so many of the VMs
 * of the deployment.
 */
uint64_t dl_retry_dispatcher_max(const struct dl_retry_limit *limit,
				 uint32_t reached, uint32_t vms);

/* The number of VMs among which the slack is divided. */
struct dl_retry_vms {
	uint32_t known;
	int64_t changed_at;
};

/*
 * Updates the number from that of live VMs.  It follows an increase at once and
 * a decrease slowly: the VMs that are missed may be on the other side of a
 * partition.
 */
void dl_retry_vms_update(struct dl_retry_vms *vms, uint32_t live, int64_t now);

#endif
