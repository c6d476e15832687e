/* Repeats of requests at endpoints, as far as the retry budget covers them. */
#include "base/metric.h"
#include "base/msg.h"
#include "entry/entry_call.h"

static const enum dl_metric charged_counters[DL_RETRY_WAY_COUNT] = {
	[DL_RETRY_UNSENT] = DL_METRIC_retries_unsent,
	[DL_RETRY_FAILED] = DL_METRIC_retries_failed,
	[DL_RETRY_REJECTED] = DL_METRIC_retries_rejected,
	[DL_RETRY_BROKEN] = DL_METRIC_retries_broken,
	[DL_RETRY_RESUMED] = DL_METRIC_retries_resumed,
	[DL_RETRY_SILENT] = DL_METRIC_retries_silent,
};

/* Counts and logs whether a request may be repeated. */
void call_log_retry(struct call *c, enum dl_retry_way way, bool allowed)
{
	const struct dl_retry_budget *b = entry_call_retry_budget(c);

	dl_count(allowed ? charged_counters[way] : DL_METRIC_retries_denied, 1);
	dl_msg(DL_MSG_RETRY,
	       "request=%s service=%s way=%s decision=%s left_milli=%lu "
	       "permille=%u slack=%u window_ms=%u",
	       c->id_text, c->service.s, dl_retry_way_name(way),
	       !allowed			    ? "denied" :
	       dl_retry_way_is_charged(way) ? "charged" :
					      "not-charged",
	       (unsigned long)b->credit, b->permille,
	       c->e->node.settings.retry_slack,
	       c->e->node.settings.retry_window_ms);
}
