/* Traces of recent requests: their outcomes and the time spent in each step. */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/metric.h"
#include "entry/entry.h"

#define TRACES_MAX 256

struct trace {
	char id_text[REQUEST_ID_TEXT];
	struct dl_name service, workspace, class_name;
	enum dl_outcome outcome;
	uint16_t status;
	uint32_t total_ms;
	struct span spans[SPANS_MAX];
	uint32_t spans_count;
};

/* Stores the trace of a finished request, replacing the oldest one. */
void entry_trace_add(struct entry *e, const struct call *c,
		     enum dl_outcome outcome, uint16_t status)
{
	struct trace *t;

	if (!e->traces)
		e->traces = g_new0(struct trace, TRACES_MAX);
	t = &e->traces[e->traces_next++ % TRACES_MAX];
	memcpy(t->id_text, c->id_text, sizeof(t->id_text));
	t->service = c->service;
	t->workspace = c->workspace;
	t->class_name = c->class_name;
	t->outcome = outcome;
	t->status = status;
	t->total_ms = (uint32_t)(entry_now(e) - c->arrived_at);
	memcpy(t->spans, c->spans, sizeof(t->spans));
	t->spans_count = c->spans_count;
}

static json_t *spans_json(const struct trace *t)
{
	json_t *spans = json_array();

	for (uint32_t i = 0; i < t->spans_count; i++) {
		const struct span *s = &t->spans[i];
		json_t *span = json_object();

		json_object_set_new(span, "name", json_string(s->name));
		json_object_set_new(span, "from_ms", json_integer(s->from_ms));
		json_object_set_new(span, "to_ms", json_integer(s->to_ms));
		if (s->peer[0])
			json_object_set_new(span, "peer", json_string(s->peer));
		json_array_append_new(spans, span);
	}
	return spans;
}

static json_t *trace_json(const struct trace *t)
{
	json_t *o = json_object();

	json_object_set_new(o, "request", json_string(t->id_text));
	json_object_set_new(o, "service", json_string(t->service.s));
	json_object_set_new(o, "workspace", json_string(t->workspace.s));
	json_object_set_new(o, "class", json_string(t->class_name.s));
	json_object_set_new(o, "outcome",
			    json_string(dl_outcome_name(t->outcome)));
	json_object_set_new(o, "status", json_integer(t->status));
	json_object_set_new(o, "total_ms", json_integer(t->total_ms));
	json_object_set_new(o, "spans", spans_json(t));
	return o;
}

/* Returns recent traces as JSON, newest first; the caller frees the text. */
char *entry_trace_json(const struct entry *e)
{
	json_t *root = json_object(), *list = json_array();
	uint32_t n = MIN(e->traces_next, TRACES_MAX);
	char *text;

	for (uint32_t i = 0; i < n; i++)
		json_array_append_new(
			list, trace_json(&e->traces[(e->traces_next - 1 - i) %
						    TRACES_MAX]));
	json_object_set_new(root, "traces", list);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
