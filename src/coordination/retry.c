/* How repeats of a request come about, and which of them are charged. */
#include "daisyledge/retry.h"

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
