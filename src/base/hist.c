/* Latency histograms. Plain integers: only the loop thread uses them. */
#include "base/hist.h"

struct hist_text {
	const char *name, *help;
};

static const struct hist_text hist_table[DL_HIST_COUNT] = {
#define X(name, help) [DL_HIST_##name] = { #name, help },
	DL_HIST_LIST(X)
#undef X
};

static uint64_t hist_counts[DL_HIST_COUNT][DL_HIST_BUCKETS];
static uint64_t hist_sums[DL_HIST_COUNT];

/* Records an observation; a negative one is ignored. */
void dl_observe(enum dl_hist hist, int64_t ms)
{
	int bucket = 0;

	if (ms < 0)
		return;
	while (bucket < DL_HIST_BUCKETS - 1 && ms > (int64_t)1 << bucket)
		bucket++;
	hist_counts[hist][bucket]++;
	hist_sums[hist] += (uint64_t)ms;
}

/* Returns the number of observations in a bucket and all lower ones. */
uint64_t dl_hist_read(enum dl_hist hist, int bucket)
{
	uint64_t n = 0;

	for (int i = 0; i <= bucket && i < DL_HIST_BUCKETS; i++)
		n += hist_counts[hist][i];
	return n;
}

/* Returns the sum of all observations in milliseconds. */
uint64_t dl_hist_sum(enum dl_hist hist)
{
	return hist_sums[hist];
}

/* Returns the name as exported in /metrics, without the prefix. */
const char *dl_hist_name(enum dl_hist hist)
{
	return hist_table[hist].name;
}

/* Returns the help text for /metrics. */
const char *dl_hist_help(enum dl_hist hist)
{
	return hist_table[hist].help;
}
