/* Serves the process's metrics over HTTP on a separate address. */
#include <inttypes.h>
#include <glib.h>

#include "base/hist.h"
#include "base/metric.h"
#include "node/node.h"
#include "transport/httpd.h"

#define CONNS_MAX	16
#define READ_TIMEOUT_MS 5000
#define BODY_MAX	1024

static void on_request(void *arg, struct dl_httpd_req *req);
static void on_ignored(void *arg, struct dl_httpd_req *req);

static const struct dl_httpd_ops ops = { on_request, on_ignored, on_ignored };

static void append_counters(GString *out)
{
	for (int i = 0; i < DL_METRIC_COUNT; i++) {
		enum dl_metric m = (enum dl_metric)i;

		g_string_append_printf(out,
				       "# HELP daisyledge_%s %s\n"
				       "daisyledge_%s %" PRId64 "\n",
				       dl_metric_name(m), dl_metric_help(m),
				       dl_metric_name(m), dl_metric_read(m));
	}
}

static void append_histogram(GString *out, enum dl_hist h)
{
	const char *name = dl_hist_name(h);
	int last = DL_HIST_BUCKETS - 1;

	g_string_append_printf(out,
			       "# HELP daisyledge_%s %s\n"
			       "# TYPE daisyledge_%s histogram\n",
			       name, dl_hist_help(h), name);
	for (int i = 0; i < last; i++)
		g_string_append_printf(
			out, "daisyledge_%s_bucket{le=\"%d\"} %" PRIu64 "\n",
			name, 1 << i, dl_hist_read(h, i));
	g_string_append_printf(out,
			       "daisyledge_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n"
			       "daisyledge_%s_sum %" PRIu64 "\n"
			       "daisyledge_%s_count %" PRIu64 "\n",
			       name, dl_hist_read(h, last), name,
			       dl_hist_sum(h), name, dl_hist_read(h, last));
}

/* Returns all metrics as text; the caller frees it with g_free(). */
char *dl_node_metrics(void)
{
	GString *out = g_string_new(NULL);

	append_counters(out);
	for (int i = 0; i < DL_HIST_COUNT; i++)
		append_histogram(out, (enum dl_hist)i);
	return g_string_free(out, FALSE);
}

static void on_request(void *arg, struct dl_httpd_req *req)
{
	struct dl_header type = { DL_STR("Content-Type"),
				  DL_STR("text/plain; version=0.0.4") };
	char *text = dl_node_metrics();

	dl_httpd_reply(req, 200, &type, 1, dl_str_of(text));
	g_free(text);
}

static void on_ignored(void *arg, struct dl_httpd_req *req)
{
}

/* Starts the metrics server if the settings have an address for it. */
int dl_node_metrics_open(struct dl_node *node, struct dl_err *err)
{
	struct dl_httpd_conf conf = {
		.address = node->settings.metrics,
		.body_max = BODY_MAX,
		.conns_max = CONNS_MAX,
		.read_ms = READ_TIMEOUT_MS,
	};

	if (conf.address == DL_VM_NONE)
		return 0;
	return dl_httpd_open(node->loop, &conf, &ops, node, &node->metrics,
			     err);
}
