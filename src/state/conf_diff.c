/* Lists the changes between two configurations and their impact. */
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "state/conf_int.h"

/* Further changes are counted but not listed, unless they need confirmation. */
#define LINES_MAX 500
/*
 * Draining more VMs or endpoints than this needs confirmation. The total
 * counts, so that draining a few at a time needs it too. The text does not say
 * how many are live; the smallest fleets have 6 VMs and 14 endpoints.
 */
#define DRAIN_VMS_UNCONFIRMED_MAX	2
#define DRAIN_ENDPOINTS_UNCONFIRMED_MAX 4

struct diff {
	GString *text;
	uint32_t lines;
	bool needs_confirm;
};

/* A numeric field of a struct, its key, and the impact of a change. */
struct diff_field {
	const char *key;
	enum conf_type type;
	size_t offset;
	const char *impact;
};

#define SERVICE(field) offsetof(struct dl_service_conf, field)
static const struct diff_field service_fields[] = {
	{ "get_is_idempotent", CONF_BOOL, SERVICE(get_is_idempotent),
	  "decides whether a GET may be sent twice" },
	{ "ignores_fencing", CONF_BOOL, SERVICE(ignores_fencing),
	  "decides how long a new leader delays its orders" },
	{ "connect_timeout_ms", CONF_U32, SERVICE(connect_timeout_ms),
	  "for attempts from now on" },
	{ "gap_timeout_ms", CONF_U32, SERVICE(gap_timeout_ms),
	  "for attempts from now on" },
	{ "retry_budget_permille", CONF_U32, SERVICE(retry_budget_permille),
	  "for retries from now on" },
	{ "pool.queue_entries_max", CONF_U32, SERVICE(pool.queue_entries_max),
	  "requests over the limit are refused" },
	{ "pool.queue_tokens_max", CONF_U64, SERVICE(pool.queue_tokens_max),
	  "requests over the limit are refused" },
	{ "pool.long_tokens", CONF_U32, SERVICE(pool.long_tokens),
	  "decides which prompts count as long" },
	{ "pool.long_share_permille", CONF_U32,
	  SERVICE(pool.long_share_permille),
	  "the share of a pool for long prompts" },
	{ "pool.out_share_permille", CONF_U32, SERVICE(pool.out_share_permille),
	  "the share of a pool that may be ejected" },
	{ "pool.grant_lease_ms", CONF_U32, SERVICE(pool.grant_lease_ms),
	  "for grants from now on" },
	{ "pool.report_gone_ms", CONF_U32, SERVICE(pool.report_gone_ms),
	  "how soon an endpoint without reports is gone" },
	{ "pool.weight_default", CONF_U32, SERVICE(pool.weight_default),
	  "the weight of workspaces that are not listed" },
	{ "pool.cold_requests_per_s", CONF_U32,
	  SERVICE(pool.cold_requests_per_s),
	  "requests beyond it wait while an endpoint is cold; 0 is no limit" },
};
#undef SERVICE

#define WORKSPACE(field) offsetof(struct dl_conf_workspace, limits.field)
static const struct diff_field workspace_fields[] = {
	{ "weight", CONF_U32, WORKSPACE(weight),
	  "its share when requests queue" },
	{ "concurrency_max", CONF_U32, WORKSPACE(concurrency_max),
	  "requests over the limit are refused; 0 is no limit" },
	{ "requests_per_s", CONF_U32, WORKSPACE(requests_per_s),
	  "requests over the limit are refused; 0 is no limit" },
};
#undef WORKSPACE

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

static const char *const class_names[] = { "urgent", "interactive", "batch" };
static const char *const level_names[] = { "debug", "info", "warn", "error" };

static void add_line(struct diff *d, bool confirm, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
static uint64_t field_value(const struct diff_field *f, const void *from);
static void compare_fields(struct diff *d, const char *section,
			   const char *name, const struct diff_field *fields,
			   size_t count, const void *old, const void *new);
static bool has_name(const struct dl_name *names, uint32_t count,
		     const struct dl_name *name);
static uint32_t compare_names(struct diff *d, const char *path,
			      const struct dl_name *old, uint32_t old_count,
			      const struct dl_name *new, uint32_t new_count,
			      const char *impact);
static const char *class_name(const struct dl_conf *conf, uint32_t index);
static void compare_classes(struct diff *d, const struct dl_conf *old,
			    const struct dl_conf *new);
static void compare_service(struct diff *d, const struct dl_conf *old,
			    const struct dl_service_conf *a,
			    const struct dl_conf *new,
			    const struct dl_service_conf *b);
static void compare_services(struct diff *d, const struct dl_conf *old,
			     const struct dl_conf *new);
static void compare_workspaces(struct diff *d, const struct dl_conf *old,
			       const struct dl_conf *new);
static void compare_keys_required(struct diff *d, const struct dl_conf *old,
				  const struct dl_conf *new);
static void compare_replicas(struct diff *d, const struct dl_conf *old,
			     const struct dl_conf *new);
static bool has_replica(const struct dl_conf *conf,
			const struct dl_replica_conf *replica);
static bool has_order(const struct dl_conf *conf,
		      const struct dl_order_conf *order);
static void compare_orders(struct diff *d, const struct dl_conf *old,
			   const struct dl_conf *new);
static void compare_drain(struct diff *d, const struct dl_conf *old,
			  const struct dl_conf *new);

/* Add a line; one line that needs confirmation makes the whole diff need it. */
static void add_line(struct diff *d, bool confirm, const char *fmt, ...)
{
	va_list ap;

	d->needs_confirm = d->needs_confirm || confirm;
	if (d->lines++ >= LINES_MAX && !confirm)
		return;
	va_start(ap, fmt);
	g_string_append_vprintf(d->text, fmt, ap);
	va_end(ap);
	g_string_append(d->text, confirm ? " [needs confirm]\n" : "\n");
}

/* Return the value of a numeric field. */
static uint64_t field_value(const struct diff_field *f, const void *from)
{
	const char *value = (const char *)from + f->offset;

	if (f->type == CONF_BOOL)
		return *(const bool *)value;
	if (f->type == CONF_U32)
		return *(const uint32_t *)(const void *)value;
	return *(const uint64_t *)(const void *)value;
}

/* Add a line for each field that changed. */
static void compare_fields(struct diff *d, const char *section,
			   const char *name, const struct diff_field *fields,
			   size_t count, const void *old, const void *new)
{
	for (size_t i = 0; i < count; i++) {
		uint64_t a = field_value(&fields[i], old);
		uint64_t b = field_value(&fields[i], new);

		if (a != b)
			add_line(d, false,
				 "~ %s.%s.%s: %" PRIu64 " -> %" PRIu64 "; %s",
				 section, name, fields[i].key, a, b,
				 fields[i].impact);
	}
}

/* Return whether a list contains a name. */
static bool has_name(const struct dl_name *names, uint32_t count,
		     const struct dl_name *name)
{
	for (uint32_t i = 0; i < count; i++) {
		if (dl_name_eq(&names[i], dl_name_str(name)))
			return true;
	}
	return false;
}

/*
 * Add a line for each name that was removed or added; return how many were
 * added.
 */
static uint32_t compare_names(struct diff *d, const char *path,
			      const struct dl_name *old, uint32_t old_count,
			      const struct dl_name *new, uint32_t new_count,
			      const char *impact)
{
	uint32_t added = 0;

	for (uint32_t i = 0; i < old_count; i++) {
		if (!has_name(new, new_count, &old[i]))
			add_line(d, false, "- %s: %s", path, old[i].s);
	}
	for (uint32_t i = 0; i < new_count; i++) {
		if (has_name(old, old_count, &new[i]))
			continue;
		add_line(d, false, "+ %s: %s; %s", path, new[i].s, impact);
		added++;
	}
	return added;
}

/* Return the name of a class; without one the service's default applies. */
static const char *class_name(const struct dl_conf *conf, uint32_t index)
{
	return index < conf->classes_count ? conf->classes[index].name.s :
					     "(the default of the service)";
}

static void compare_classes(struct diff *d, const struct dl_conf *old,
			    const struct dl_conf *new)
{
	for (uint32_t i = 0; i < old->classes_count; i++) {
		const struct dl_class_conf *a = &old->classes[i], *b;

		b = dl_conf_class(new, dl_name_str(&a->name));
		if (!b)
			add_line(
				d, false,
				"- classes.%s: removed; requests naming it get "
				"the default",
				a->name.s);
		else if (a->class != b->class ||
			 a->deadline_ms != b->deadline_ms)
			add_line(d, false,
				 "~ classes.%s: %s, %u ms -> %s, %u ms; for "
				 "requests from now on",
				 a->name.s, class_names[a->class],
				 a->deadline_ms, class_names[b->class],
				 b->deadline_ms);
	}
	for (uint32_t i = 0; i < new->classes_count; i++) {
		const struct dl_class_conf *b = &new->classes[i];

		if (!dl_conf_class(old, dl_name_str(&b->name)))
			add_line(d, false, "+ classes.%s: %u ms", b->name.s,
				 b->deadline_ms);
	}
}

/*
 * Compare a service that is in both. Removing a model needs confirmation like
 * removing a service: callers that name it are refused. So does reducing a
 * queue to less than half, as most of what it held is then refused.
 */
static void compare_service(struct diff *d, const struct dl_conf *old,
			    const struct dl_service_conf *a,
			    const struct dl_conf *new,
			    const struct dl_service_conf *b)
{
	const char *class_a = class_name(old, a->default_class);
	const char *class_b = class_name(new, b->default_class);
	char path[128];

	if (a->kind != b->kind)
		add_line(d, true,
			 "~ services.%s.kind: %s; its pools are recreated",
			 a->name.s,
			 b->kind == DL_POOL_MODEL ? "plain -> model" :
						    "model -> plain");
	for (uint32_t i = 0; i < a->models_count; i++) {
		if (!has_name(b->models, b->models_count, &a->models[i]))
			add_line(d, true,
				 "- services.%s.models: %s; requests naming it "
				 "are refused",
				 a->name.s, a->models[i].s);
	}
	for (uint32_t i = 0; i < b->models_count; i++) {
		if (!has_name(a->models, a->models_count, &b->models[i]))
			add_line(d, false, "+ services.%s.models: %s",
				 a->name.s, b->models[i].s);
	}
	if (strcmp(class_a, class_b) != 0)
		add_line(d, false,
			 "~ services.%s.default_class: %s -> %s; for requests "
			 "from now on",
			 a->name.s, class_a, class_b);
	g_snprintf(path, sizeof(path), "services.%s.depends_on", a->name.s);
	compare_names(d, path, a->depends_on, a->depends_on_count,
		      b->depends_on, b->depends_on_count,
		      "it is ready only while that service is");
	g_snprintf(path, sizeof(path), "services.%s.idempotent_paths",
		   a->name.s);
	compare_names(d, path, a->idempotent_paths, a->idempotent_paths_count,
		      b->idempotent_paths, b->idempotent_paths_count,
		      "its calls may be repeated");
	compare_fields(d, "services", a->name.s, service_fields,
		       COUNT(service_fields), a, b);
	if (b->pool.queue_entries_max < a->pool.queue_entries_max / 2 ||
	    b->pool.queue_tokens_max < a->pool.queue_tokens_max / 2)
		add_line(
			d, true,
			"! services.%s.pool: the queue loses more than half of "
			"its capacity",
			a->name.s);
}

/* Compare services by name. */
static void compare_services(struct diff *d, const struct dl_conf *old,
			     const struct dl_conf *new)
{
	for (uint32_t i = 0; i < old->services_count; i++) {
		const struct dl_service_conf *a = &old->services[i], *b;

		b = dl_conf_service(new, dl_name_str(&a->name));
		if (b)
			compare_service(d, old, a, new, b);
		else
			add_line(
				d, true,
				"- services.%s: removed; new requests for it are "
				"refused, those in flight finish",
				a->name.s);
	}
	for (uint32_t i = 0; i < new->services_count; i++) {
		const struct dl_service_conf *b = &new->services[i];

		if (!dl_conf_service(old, dl_name_str(&b->name)))
			add_line(d, false,
				 "+ services.%s: added; served once endpoints "
				 "announce it",
				 b->name.s);
	}
}

/* Merge the workspaces, which both configurations hold ordered by name. */
static void compare_workspaces(struct diff *d, const struct dl_conf *old,
			       const struct dl_conf *new)
{
	uint64_t weight = 0, weight_removed = 0;
	uint32_t i = 0, j = 0, removed = 0;

	while (i < old->workspaces_count || j < new->workspaces_count) {
		const struct dl_conf_workspace *a = &old->workspaces[i];
		const struct dl_conf_workspace *b = &new->workspaces[j];
		int order;

		if (i == old->workspaces_count)
			order = 1;
		else if (j == new->workspaces_count)
			order = -1;
		else
			order = strcmp(a->limits.name.s, b->limits.name.s);
		if (order <= 0)
			weight += a->limits.weight;
		if (order < 0) {
			add_line(
				d, false,
				"- workspaces.%s: removed; it gets the default "
				"weight and no limits",
				a->limits.name.s);
			weight_removed += a->limits.weight;
			removed++;
		} else if (order > 0) {
			add_line(d, false, "+ workspaces.%s: weight %u",
				 b->limits.name.s, b->limits.weight);
		} else {
			const char *ca = class_name(old, a->default_class);
			const char *cb = class_name(new, b->default_class);

			compare_fields(d, "workspaces", a->limits.name.s,
				       workspace_fields,
				       COUNT(workspace_fields), a, b);
			if (strcmp(ca, cb) != 0)
				add_line(
					d, false,
					"~ workspaces.%s.default_class: %s -> %s",
					a->limits.name.s, ca, cb);
		}
		i += order <= 0;
		j += order >= 0;
	}
	if (removed * 2 > old->workspaces_count || weight_removed * 2 > weight)
		add_line(d, true,
			 "! workspaces: %u of %u are removed, with %" PRIu64
			 " of %" PRIu64 " of the weight",
			 removed, old->workspaces_count, weight_removed,
			 weight);
}

/* Return whether a configuration has a replica of this name at this address. */
static bool has_replica(const struct dl_conf *conf,
			const struct dl_replica_conf *replica)
{
	for (uint32_t i = 0; i < conf->replicas_count; i++) {
		const struct dl_replica_conf *r = &conf->replicas[i];

		if (r->vm == replica->vm &&
		    dl_name_eq(&r->name, dl_name_str(&replica->name)))
			return true;
	}
	return false;
}

/* Return whether a majority of old's replicas is unchanged in new. */
bool dl_conf_keeps_majority(const struct dl_conf *old,
			    const struct dl_conf *new)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < old->replicas_count; i++)
		kept += has_replica(new, &old->replicas[i]);
	return !old->replicas_count || kept * 2 > old->replicas_count;
}

/* Compare replicas by name and address. */
static void compare_replicas(struct diff *d, const struct dl_conf *old,
			     const struct dl_conf *new)
{
	uint32_t changes = 0;
	char text[24];

	for (uint32_t i = 0; i < old->replicas_count; i++) {
		const struct dl_replica_conf *r = &old->replicas[i];

		if (has_replica(new, r))
			continue;
		add_line(d, false, "- replicas: %s at %s", r->name.s,
			 dl_vm_text(r->vm, text));
		changes++;
	}
	for (uint32_t i = 0; i < new->replicas_count; i++) {
		const struct dl_replica_conf *r = &new->replicas[i];

		if (has_replica(old, r))
			continue;
		add_line(d, false,
			 "+ replicas: %s at %s; votes once it has caught up",
			 r->name.s, dl_vm_text(r->vm, text));
		changes++;
	}
	if (changes > 1)
		add_line(d, false, "! replicas: changed one at a time");
	if (!dl_conf_keeps_majority(old, new))
		add_line(d, true,
			 "! replicas: no majority of the old ones is kept");
}

/* Return whether a configuration has an order with the same fields. */
static bool has_order(const struct dl_conf *conf,
		      const struct dl_order_conf *order)
{
	for (uint32_t i = 0; i < conf->orders_count; i++) {
		const struct dl_order_conf *o = &conf->orders[i];

		if (o->endpoints == order->endpoints &&
		    strcmp(o->service.s, order->service.s) == 0 &&
		    strcmp(o->model.s, order->model.s) == 0 &&
		    strcmp(o->version.s, order->version.s) == 0 &&
		    strcmp(o->role.s, order->role.s) == 0)
			return true;
	}
	return false;
}

/* Compare orders; one with any changed field counts as removed and added. */
static void compare_orders(struct diff *d, const struct dl_conf *old,
			   const struct dl_conf *new)
{
	for (uint32_t i = 0; i < old->orders_count; i++) {
		const struct dl_order_conf *o = &old->orders[i];

		if (!has_order(new, o))
			add_line(d, false,
				 "- orders: %s %s %s as %s on %u endpoints",
				 o->service.s, o->model.s, o->version.s,
				 o->role.s, o->endpoints);
	}
	for (uint32_t i = 0; i < new->orders_count; i++) {
		const struct dl_order_conf *o = &new->orders[i];

		if (!has_order(old, o))
			add_line(
				d, false,
				"+ orders: %s %s %s as %s on %u endpoints; loads "
				"begin at once",
				o->service.s, o->model.s, o->version.s,
				o->role.s, o->endpoints);
	}
}

/* Compare the drained VMs and endpoints. */
static void compare_drain(struct diff *d, const struct dl_conf *old,
			  const struct dl_conf *new)
{
	uint32_t vms, endpoints;

	vms = compare_names(d, "drain.vms", old->drain_vms,
			    old->drain_vms_count, new->drain_vms,
			    new->drain_vms_count,
			    "gets no new requests, finishes those it has");
	endpoints =
		compare_names(d, "drain.endpoints", old->drain_endpoints,
			      old->drain_endpoints_count, new->drain_endpoints,
			      new->drain_endpoints_count,
			      "gets no new requests, finishes those it has");
	if (vms && new->drain_vms_count > DRAIN_VMS_UNCONFIRMED_MAX)
		add_line(d, true, "! drain.vms: %u in all",
			 new->drain_vms_count);
	if (endpoints &&
	    new->drain_endpoints_count > DRAIN_ENDPOINTS_UNCONFIRMED_MAX)
		add_line(d, true, "! drain.endpoints: %u in all",
			 new->drain_endpoints_count);
}

/* Compare whether requests need a key. */
static void compare_keys_required(struct diff *d, const struct dl_conf *old,
				  const struct dl_conf *new)
{
	if (old->keys_required && !new->keys_required)
		add_line(
			d, true,
			"! workspaces: no list any more; requests need no key");
	else if (!old->keys_required && new->keys_required)
		add_line(
			d, false,
			"+ workspaces: a list; requests of routes that are not "
			"public need a key");
}

/*
 * Compare two configurations: a line for each change with its impact, and
 * whether one of them needs the operator's confirmation. old is NULL for the
 * first configuration.
 */
int dl_conf_compare(const struct dl_conf *old, const struct dl_conf *new,
		    struct dl_conf_diff *out)
{
	static const struct dl_conf empty = { .weight_store_mb_per_s = 0 };
	struct diff d = { .text = g_string_new(NULL) };

	if (!old) {
		g_string_append(d.text, "+ the first configuration\n");
		old = &empty;
	} else {
		compare_replicas(&d, old, new);
		compare_keys_required(&d, old, new);
		if (old->weight_store_mb_per_s != new->weight_store_mb_per_s)
			add_line(&d, false,
				 "~ weight_store_mb_per_s: %u -> %u; for loads "
				 "from now on",
				 old->weight_store_mb_per_s,
				 new->weight_store_mb_per_s);
		if (old->log_level != new->log_level)
			add_line(&d, false, "~ log_level: %s -> %s",
				 level_names[old->log_level],
				 level_names[new->log_level]);
	}
	compare_classes(&d, old, new);
	compare_services(&d, old, new);
	compare_drain(&d, old, new);
	compare_orders(&d, old, new);
	compare_workspaces(&d, old, new);
	if (d.lines > LINES_MAX)
		g_string_append_printf(d.text, "... and %u more changes\n",
				       d.lines - LINES_MAX);
	out->text = g_string_free(d.text, FALSE);
	out->needs_confirm = d.needs_confirm;
	return 0;
}

void dl_conf_diff_free(struct dl_conf_diff *diff)
{
	g_free(diff->text);
	diff->text = NULL;
}
