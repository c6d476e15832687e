/* Counters of this process; one loop on one thread, so plain integers. */
#include "base/metric.h"

struct metric_text {
	const char *name;
	const char *help;
};

static const struct metric_text metric_table[DL_METRIC_COUNT] = {
#define X(name, help) [DL_METRIC_##name] = { #name, help },
	DL_METRIC_LIST(X)
#undef X
};

static int64_t metric_values[DL_METRIC_COUNT];

/* Add to a counter. */
void dl_count(enum dl_metric metric, int64_t delta)
{
	metric_values[metric] += delta;
}

/* Set a gauge. */
void dl_gauge(enum dl_metric metric, int64_t value)
{
	metric_values[metric] = value;
}

/* The value of a counter or gauge now. */
int64_t dl_metric_read(enum dl_metric metric)
{
	return metric_values[metric];
}

/* The name of a counter as /metrics shows it, without its prefix. */
const char *dl_metric_name(enum dl_metric metric)
{
	return metric_table[metric].name;
}

/* What a counter counts, in a few words. */
const char *dl_metric_help(enum dl_metric metric)
{
	return metric_table[metric].help;
}
