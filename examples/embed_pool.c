/*
 * Example: embed the dispatcher of a pool in another program, without sockets
 * or a clock.  Two endpoints report themselves and three requests ask for a
 * grant; the third is queued until the first releases its grant.
 */
#include <inttypes.h>
#include <stdio.h>

#include "daisyledge/pool.h"

static void show(int64_t now, const struct dl_answer *a)
{
	static const char *const words[] = { "granted", "queued", "refused" };

	printf("%4" PRId64 " ms: request %" PRIu64 " %s %s\n", now, a->request,
	       words[a->verdict],
	       a->verdict == DL_GRANTED ? a->endpoint[0].s :
	       a->verdict == DL_REFUSED ? dl_reason_name(a->reason) :
					  "");
}

int main(void)
{
	struct dl_pool_conf conf = {
		.kind = DL_POOL_PLAIN,
		.queue_entries_max = 100,
		.queue_tokens_max = 100,
		.out_share_permille = 300,
		.grant_lease_ms = 10000,
		.report_gone_ms = 5000,
		.weight_default = 1,
	};
	struct dl_pool *pool = dl_pool_new(&conf, &dl_policy_late_binding, 1);
	struct dl_endpoint_report report = { .slots = 1 };
	struct dl_usage usage = { .ran = true, .total_ms = 40 };
	struct dl_answer answers[3], late;

	dl_name_set(&report.id, DL_STR("127.0.0.1:9000"));
	dl_pool_report(pool, &report, 0);
	dl_name_set(&report.id, DL_STR("127.0.0.2:9000"));
	dl_pool_report(pool, &report, 0);
	for (uint64_t i = 0; i < 3; i++) {
		struct dl_ask ask = { .request = i + 1,
				      .entry = 1,
				      .workspace = DL_STR("almaty-counter"),
				      .deadline = 2000 };

		dl_pool_ask(pool, &ask, 10, &answers[i]);
		show(10, &answers[i]);
	}
	dl_pool_release(pool, answers[0].grant, &usage, 50);
	while (dl_pool_next(pool, 50, &late))
		show(50, &late);
	dl_pool_free(pool);
	return 0;
}
