/* Counters and gauges. Plain integers: only the loop thread uses them. */
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

void dl_count(enum dl_metric metric, int64_t delta)
{
	metric_values[metric] += delta;
}

void dl_gauge(enum dl_metric metric, int64_t value)
{
	metric_values[metric] = value;
}

/* Returns the current value of a counter or gauge. */
int64_t dl_metric_read(enum dl_metric metric)
{
	return metric_values[metric];
}

/* Returns the name as exported in /metrics, without the prefix. */
const char *dl_metric_name(enum dl_metric metric)
{
	return metric_table[metric].name;
}

/* Returns the help text for /metrics. */
const char *dl_metric_help(enum dl_metric metric)
{
	return metric_table[metric].help;
}
