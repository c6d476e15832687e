/*
 * Parses the configuration text into a struct dl_conf, and looks up its parts.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "state/conf_int.h"

#define FORMAT	      1
#define DIGEST_SEED   0
#define DAY_MS	      86400000
#define TOKENS_MAX    1000000000000ull
#define CLASS_UNKNOWN UINT32_MAX
/*
 * jansson gives the line of each syntax error; its text is truncated to this.
 */
#define SYNTAX_TEXT_MAX 120

static const char *const class_names[] = { "urgent", "interactive", "batch",
					   NULL };
static const char *const kind_names[] = { "model", "plain", NULL };
static const char *const level_names[] = { "debug", "info", "warn", "error",
					   NULL };

/* The scalar fields at the top level of the text. */
struct top_level {
	uint32_t format;
	uint32_t weight_store_mb_per_s;
	uint32_t log_level;
	uint64_t number;
};

static const struct conf_field top_fields[] = {
	{ "format", CONF_U32, true, FORMAT, FORMAT, FORMAT,
	  .offset = offsetof(struct top_level, format) },
	{ "classes", CONF_JSON, .json = JSON_OBJECT },
	{ "services", CONF_JSON, true, .json = JSON_OBJECT },
	{ "workspaces", CONF_JSON, .json = JSON_OBJECT },
	{ "replicas", CONF_JSON, .json = JSON_ARRAY },
	{ "routes", CONF_JSON, .json = JSON_ARRAY },
	{ "caller_limits", CONF_JSON, .json = JSON_OBJECT },
	{ "number", CONF_U64, false, 0, INT64_MAX, 0,
	  .offset = offsetof(struct top_level, number) },
	{ "source", CONF_JSON, .json = JSON_STRING },
	{ "orders", CONF_JSON, .json = JSON_ARRAY },
	{ "drain", CONF_JSON, .json = JSON_OBJECT },
	{ "weight_store_mb_per_s", CONF_U32, false, 1, 1000000, 1000,
	  .offset = offsetof(struct top_level, weight_store_mb_per_s) },
	{ "log_level", CONF_ENUM, false, .default_value = DL_INFO,
	  .enum_names = level_names,
	  .offset = offsetof(struct top_level, log_level) },
};

static const struct conf_field class_fields[] = {
	{ "class", CONF_ENUM, true, .default_value = DL_CLASS_INTERACTIVE,
	  .enum_names = class_names,
	  .offset = offsetof(struct dl_class_conf, class) },
	{ "deadline_ms", CONF_U32, true, 1, DAY_MS, 10000,
	  .offset = offsetof(struct dl_class_conf, deadline_ms) },
};

#define SERVICE(field) .offset = offsetof(struct dl_service_conf, field)
static const struct conf_field service_fields[] = {
	{ "kind", CONF_ENUM, true, .default_value = DL_POOL_MODEL,
	  .enum_names = kind_names, SERVICE(kind) },
	{ "models", CONF_JSON, .json = JSON_ARRAY },
	{ "depends_on", CONF_JSON, .json = JSON_ARRAY },
	{ "default_class", CONF_JSON, .json = JSON_STRING },
	{ "idempotent_paths", CONF_JSON, .json = JSON_ARRAY },
	{ "get_is_idempotent", CONF_BOOL, .default_value = true,
	  SERVICE(get_is_idempotent) },
	{ "ignores_fencing", CONF_BOOL, SERVICE(ignores_fencing) },
	{ "connect_timeout_ms", CONF_U32, false, 10, 60000, 1000,
	  SERVICE(connect_timeout_ms) },
	{ "gap_timeout_ms", CONF_U32, false, 100, 600000, 10000,
	  SERVICE(gap_timeout_ms) },
	{ "retry_budget_permille", CONF_U32, false, 0, 1000, 200,
	  SERVICE(retry_budget_permille) },
	{ "connections_max", CONF_U32, false, 0, 1000000, 0,
	  SERVICE(connections_max) },
	{ "pool", CONF_JSON, .json = JSON_OBJECT },
	{ "engine", CONF_JSON, .json = JSON_OBJECT },
};
#undef SERVICE

#define ENGINE(field) .offset = offsetof(struct dl_engine_model, field)
static const struct conf_field engine_fields[] = {
	{ "slots", CONF_U32, true, 1, 100000, 1, ENGINE(slots) },
	{ "memory_tokens", CONF_U64, true, 1, TOKENS_MAX, 1,
	  ENGINE(memory_tokens) },
	{ "stride", CONF_U32, false, 1, 100000, 1, ENGINE(stride) },
	{ "chunk", CONF_U32, false, 1, 100000000, 2048, ENGINE(chunk) },
	{ "step_ms", CONF_DOUBLE, true, ENGINE(step_ms) },
	{ "per_writer_ms", CONF_DOUBLE, ENGINE(per_writer_ms) },
	{ "per_context_ms", CONF_DOUBLE, ENGINE(per_context_ms) },
	{ "read_per_ms", CONF_DOUBLE, true, ENGINE(read_per_ms) },
	{ "per_pairs_ms", CONF_DOUBLE, ENGINE(per_pairs_ms) },
	{ "hop_ms", CONF_DOUBLE, ENGINE(hop_ms) },
	{ "usual_prompt", CONF_U32, false, 0, 100000000, 0,
	  ENGINE(usual_prompt) },
	{ "usual_output", CONF_U32, false, 0, 100000000, 0,
	  ENGINE(usual_output) },
};
#undef ENGINE

#define LIMIT(field) .offset = offsetof(struct dl_caller_limits, field)
static const struct conf_field caller_limit_fields[] = {
	{ "header_bytes_max", CONF_U32, false, 1, 1u << 30, 16384,
	  LIMIT(header_bytes_max) },
	{ "body_bytes_max", CONF_U32, false, 1, 1u << 30, 4194304,
	  LIMIT(body_bytes_max) },
	{ "header_ms", CONF_U32, false, 1, DAY_MS, 3000, LIMIT(header_ms) },
	{ "idle_ms", CONF_U32, false, 1, DAY_MS, 15000, LIMIT(idle_ms) },
};
#undef LIMIT

#define POOL(field) .offset = offsetof(struct dl_pool_conf, field)
static const struct conf_field pool_fields[] = {
	{ "queue_entries_max", CONF_U32, false, 1, 1000000, 4096,
	  POOL(queue_entries_max) },
	{ "queue_tokens_max", CONF_U64, false, 1, TOKENS_MAX, 64000000,
	  POOL(queue_tokens_max) },
	{ "long_tokens", CONF_U32, false, 1, 100000000, 100000,
	  POOL(long_tokens) },
	{ "long_share_permille", CONF_U32, false, 1, 1000, 600,
	  POOL(long_share_permille) },
	{ "out_share_permille", CONF_U32, false, 0, 1000, 300,
	  POOL(out_share_permille) },
	{ "grant_lease_ms", CONF_U32, false, 500, 600000, 5000,
	  POOL(grant_lease_ms) },
	{ "report_gone_ms", CONF_U32, false, 500, 600000, 5000,
	  POOL(report_gone_ms) },
	{ "weight_default", CONF_U32, false, 1, 1000, 1, POOL(weight_default) },
	{ "cold_requests_per_s", CONF_U32, false, 0, 1000000, 0,
	  POOL(cold_requests_per_s) },
};
#undef POOL

#define WORKSPACE(field) .offset = offsetof(struct dl_conf_workspace, field)
static const struct conf_field workspace_fields[] = {
	{ "weight", CONF_U32, false, 1, 1000, 1, WORKSPACE(limits.weight) },
	{ "concurrency_max", CONF_U32, false, 0, 1000000, 0,
	  WORKSPACE(limits.concurrency_max) },
	{ "requests_per_s", CONF_U32, false, 0, 1000000, 0,
	  WORKSPACE(limits.requests_per_s) },
	{ "default_class", CONF_JSON, .json = JSON_STRING },
	{ "priority", CONF_U32, false, 0, 1000, DL_CONF_UNSET,
	  WORKSPACE(priority) },
	{ "keys", CONF_JSON, .json = JSON_ARRAY },
};
#undef WORKSPACE

static const struct conf_field replica_fields[] = {
	{ "name", CONF_NAME, true, CONF_PLAIN_NAME,
	  .offset = offsetof(struct dl_replica_conf, name) },
	{ "address", CONF_JSON, true, .json = JSON_STRING },
};

#define ORDER(field) .offset = offsetof(struct dl_order_conf, field)
static const struct conf_field order_fields[] = {
	{ "service", CONF_NAME, true, CONF_PLAIN_NAME, ORDER(service) },
	{ "model", CONF_NAME, true, CONF_MODEL_NAME, ORDER(model) },
	{ "version", CONF_NAME, false, CONF_MODEL_NAME, ORDER(version) },
	{ "role", CONF_NAME, false, CONF_PLAIN_NAME, ORDER(role) },
	{ "endpoints", CONF_U32, false, 0, 10000, 0, ORDER(endpoints) },
};
#undef ORDER

static const struct conf_field drain_fields[] = {
	{ "vms", CONF_JSON, .json = JSON_ARRAY },
	{ "endpoints", CONF_JSON, .json = JSON_ARRAY },
};

/* Classes of a text without any: one for each degree of urgency. */
static const struct dl_class_conf class_defaults[] = {
	{ { 6, "urgent" }, DL_CLASS_URGENT, 2000 },
	{ { 11, "interactive" }, DL_CLASS_INTERACTIVE, 10000 },
	{ { 5, "batch" }, DL_CLASS_BATCH, 600000 },
};

static bool read_key(struct conf_reader *r, const struct conf_path *path,
		     const char *key, struct dl_name *out);
static void read_classes(struct conf_reader *r, const struct conf_path *path,
			 json_t *json, struct dl_conf *conf);
static void set_default_classes(struct conf_reader *r, struct dl_conf *conf);
static uint32_t find_class(const struct dl_conf *conf, struct dl_str name);
static void read_default_class(struct conf_reader *r,
			       const struct conf_path *path, json_t *json,
			       const struct dl_conf *conf, uint32_t *out);
static void read_services(struct conf_reader *r, const struct conf_path *path,
			  json_t *json, struct dl_conf *conf);
static void read_service(struct conf_reader *r, const struct conf_path *path,
			 json_t *json, const struct dl_conf *conf,
			 struct dl_service_conf *out);
static void read_pool(struct conf_reader *r, const struct conf_path *path,
		      json_t *json, struct dl_service_conf *out);
static void read_engine(struct conf_reader *r, const struct conf_path *path,
			json_t *json, struct dl_engine_model *out);
static void read_name_list(struct conf_reader *r, const struct conf_path *path,
			   json_t *json, const char *key,
			   enum conf_name_kind kind, struct dl_name **out,
			   uint32_t *count);
static void read_caller_limits(struct conf_reader *r,
			       const struct conf_path *path, json_t *root,
			       struct dl_conf *conf);
static void read_workspaces(struct conf_reader *r, const struct conf_path *path,
			    json_t *json, struct dl_conf *conf);
static void read_replicas(struct conf_reader *r, const struct conf_path *path,
			  json_t *json, struct dl_conf *conf);
static void read_orders(struct conf_reader *r, const struct conf_path *path,
			json_t *json, struct dl_conf *conf);
static int compare_workspaces(const void *a, const void *b);
static int compare_faults(const void *a, const void *b);
static int read_text(struct conf_reader *r, struct dl_str text,
		     struct dl_conf *conf, json_t **root_json);

/* Allocate a list, unless it has more elements than allowed. */
void *conf_alloc_list(struct conf_reader *r, const struct conf_path *path,
		      size_t n, size_t max, size_t size)
{
	void *list;

	if (n > max) {
		conf_fault(r, path, "must have at most %zu elements, not %zu",
			   max, n);
		return NULL;
	}
	list = calloc(n ? n : 1, size);
	if (!list)
		r->out_of_memory = true;
	return list;
}

/* Check and copy a key that is a name chosen by operators. */
static bool read_key(struct conf_reader *r, const struct conf_path *path,
		     const char *key, struct dl_name *out)
{
	struct dl_str s = dl_str_of(key);

	return conf_check_name(r, path, s, CONF_PLAIN_NAME) &&
	       dl_name_set(out, s);
}

/* Define one class for each degree of urgency. */
static void set_default_classes(struct conf_reader *r, struct dl_conf *conf)
{
	conf->classes = malloc(sizeof(class_defaults));
	if (!conf->classes) {
		r->out_of_memory = true;
		return;
	}
	memcpy(conf->classes, class_defaults, sizeof(class_defaults));
	conf->classes_count =
		sizeof(class_defaults) / sizeof(class_defaults[0]);
}

static void read_classes(struct conf_reader *r, const struct conf_path *path,
			 json_t *json, struct dl_conf *conf)
{
	const char *key;
	json_t *value;

	if (json_object_size(json) == 0) {
		conf_fault(r, path, "must name at least one class");
		return;
	}
	conf->classes = conf_alloc_list(r, path, json_object_size(json),
					CONF_CLASSES_MAX,
					sizeof(*conf->classes));
	if (!conf->classes)
		return;
	json_object_foreach(json, key, value)
	{
		struct conf_path child = conf_path_key(path, dl_str_of(key));
		struct dl_class_conf *c = &conf->classes[conf->classes_count];

		conf_read_object(r, &child, value, CONF_FIELDS(class_fields),
				 c);
		if (read_key(r, &child, key, &c->name))
			conf->classes_count++;
	}
}

/* Return the index of a class, or CLASS_UNKNOWN. */
static uint32_t find_class(const struct dl_conf *conf, struct dl_str name)
{
	for (uint32_t i = 0; i < conf->classes_count; i++) {
		if (dl_name_eq(&conf->classes[i].name, name))
			return i;
	}
	return CLASS_UNKNOWN;
}

/* Read a reference to a class; *out is unchanged if there is none. */
static void read_default_class(struct conf_reader *r,
			       const struct conf_path *path, json_t *json,
			       const struct dl_conf *conf, uint32_t *out)
{
	json_t *value = conf_child(json, "default_class", JSON_STRING);
	struct conf_path child = conf_path_key(path, DL_STR("default_class"));
	struct conf_nearest near = { 0 };
	uint32_t found;
	char hint[96];

	if (!value)
		return;
	near.wanted = dl_str_of(json_string_value(value));
	found = find_class(conf, near.wanted);
	if (found != CLASS_UNKNOWN) {
		*out = found;
		return;
	}
	for (uint32_t i = 0; i < conf->classes_count; i++)
		conf_nearest_try(&near, dl_name_str(&conf->classes[i].name));
	conf_fault(r, &child, "no such class%s",
		   conf_nearest_hint(&near, hint));
}

/* Read a list of names that may be a member of an object. */
static void read_name_list(struct conf_reader *r, const struct conf_path *path,
			   json_t *json, const char *key,
			   enum conf_name_kind kind, struct dl_name **out,
			   uint32_t *count)
{
	json_t *array = conf_child(json, key, JSON_ARRAY);
	struct conf_path child = conf_path_key(path, dl_str_of(key));

	if (array)
		conf_read_names(r, &child, array, kind, out, count);
}

static void read_pool(struct conf_reader *r, const struct conf_path *path,
		      json_t *json, struct dl_service_conf *out)
{
	json_t *pool = conf_child(json, "pool", JSON_OBJECT);
	struct conf_path child = conf_path_key(path, DL_STR("pool"));
	json_t *empty = pool ? NULL : json_object();

	if (pool || empty)
		conf_read_object(r, &child, pool ? pool : empty,
				 CONF_FIELDS(pool_fields), &out->pool);
	else
		r->out_of_memory = true;
	json_decref(empty);
	out->pool.kind = out->kind;
}

/* Read the cost model of a service's engines, if it is given. */
static void read_engine(struct conf_reader *r, const struct conf_path *path,
			json_t *json, struct dl_engine_model *out)
{
	json_t *engine = conf_child(json, "engine", JSON_OBJECT);
	struct conf_path child = conf_path_key(path, DL_STR("engine"));

	if (!engine)
		return;
	conf_read_object(r, &child, engine, CONF_FIELDS(engine_fields), out);
}

static void read_service(struct conf_reader *r, const struct conf_path *path,
			 json_t *json, const struct dl_conf *conf,
			 struct dl_service_conf *out)
{
	if (!conf_read_object(r, path, json, CONF_FIELDS(service_fields), out))
		return;
	read_name_list(r, path, json, "models", CONF_MODEL_NAME, &out->models,
		       &out->models_count);
	read_name_list(r, path, json, "depends_on", CONF_PLAIN_NAME,
		       &out->depends_on, &out->depends_on_count);
	read_name_list(r, path, json, "idempotent_paths", CONF_URL_PATH,
		       &out->idempotent_paths, &out->idempotent_paths_count);
	read_pool(r, path, json, out);
	read_engine(r, path, json, &out->pool.engine);
	for (uint32_t i = conf->classes_count; i-- > 0;) {
		if (conf->classes[i].class == DL_CLASS_INTERACTIVE)
			out->default_class = i;
	}
	read_default_class(r, path, json, conf, &out->default_class);
}

/* Read the services. A model service without models has one of its own name. */
static void read_services(struct conf_reader *r, const struct conf_path *path,
			  json_t *json, struct dl_conf *conf)
{
	const char *key;
	json_t *value;

	if (json_object_size(json) == 0)
		conf_fault(r, path, "must name at least one service");
	conf->services = conf_alloc_list(r, path, json_object_size(json),
					 CONF_SERVICES_MAX,
					 sizeof(*conf->services));
	if (!conf->services)
		return;
	json_object_foreach(json, key, value)
	{
		struct conf_path child = conf_path_key(path, dl_str_of(key));
		struct dl_service_conf *s;

		s = &conf->services[conf->services_count++];
		read_key(r, &child, key, &s->name);
		read_service(r, &child, value, conf, s);
		if (s->kind != DL_POOL_MODEL || s->models)
			continue;
		s->models = calloc(1, sizeof(*s->models));
		if (!s->models) {
			r->out_of_memory = true;
			continue;
		}
		s->models[0] = s->name;
		s->models_count = 1;
	}
}

/* Order workspaces by name, for the binary search of dl_conf_workspace(). */
static int compare_workspaces(const void *a, const void *b)
{
	const struct dl_conf_workspace *wa = a, *wb = b;

	return strcmp(wa->limits.name.s, wb->limits.name.s);
}

/* Read the workspaces, and index them by name and by key. */
static void read_workspaces(struct conf_reader *r, const struct conf_path *path,
			    json_t *json, struct dl_conf *conf)
{
	struct dl_conf_workspace *w;
	const char *key;
	json_t *value;

	w = conf_alloc_list(r, path, json_object_size(json),
			    CONF_WORKSPACES_MAX, sizeof(*w));
	conf->workspaces = w;
	if (!w)
		return;
	json_object_foreach(json, key, value)
	{
		struct conf_path child = conf_path_key(path, dl_str_of(key));

		w = &conf->workspaces[conf->workspaces_count];
		w->default_class = CLASS_UNKNOWN;
		if (conf_read_object(r, &child, value,
				     CONF_FIELDS(workspace_fields), w)) {
			read_default_class(r, &child, value, conf,
					   &w->default_class);
			conf_read_keys(r, &child, value, w);
		}
		if (read_key(r, &child, key, &w->limits.name))
			conf->workspaces_count++;
	}
	qsort(conf->workspaces, conf->workspaces_count, sizeof(*w),
	      compare_workspaces);
	conf_index_keys(r, conf);
}

/* Read the list of replicas; conf_check() checks its length and duplicates. */
static void read_replicas(struct conf_reader *r, const struct conf_path *path,
			  json_t *json, struct dl_conf *conf)
{
	size_t n = json_array_size(json);

	if (n > DL_REPLICAS_MAX) {
		conf_fault(r, path, "must have at most %d replicas, not %zu",
			   DL_REPLICAS_MAX, n);
		return;
	}
	for (size_t i = 0; i < n; i++) {
		struct dl_replica_conf *p = &conf->replicas[i];
		struct conf_path child = conf_path_index(path, i);
		json_t *value = json_array_get(json, i), *address;
		struct dl_name text = { 0 };

		conf->replicas_count++;
		if (!conf_read_object(r, &child, value,
				      CONF_FIELDS(replica_fields), p))
			continue;
		address = conf_child(value, "address", JSON_STRING);
		child = conf_path_key(&child, DL_STR("address"));
		if (address &&
		    conf_read_name(r, &child, address, CONF_ADDRESS, &text))
			dl_vm_parse(dl_name_str(&text), &p->vm);
	}
}

/* Read the orders that the leader maintains. */
static void read_orders(struct conf_reader *r, const struct conf_path *path,
			json_t *json, struct dl_conf *conf)
{
	size_t n = json_array_size(json);

	conf->orders = conf_alloc_list(r, path, n, CONF_LIST_MAX,
				       sizeof(*conf->orders));
	for (size_t i = 0; conf->orders && i < n; i++) {
		struct conf_path child = conf_path_index(path, i);
		struct dl_order_conf *o = &conf->orders[i];

		dl_name_set(&o->role, DL_STR("both"));
		conf_read_object(r, &child, json_array_get(json, i),
				 CONF_FIELDS(order_fields), o);
		conf->orders_count++;
	}
}

/* Read the limits for callers, or set the defaults. */
static void read_caller_limits(struct conf_reader *r,
			       const struct conf_path *path, json_t *root,
			       struct dl_conf *conf)
{
	struct conf_path child = conf_path_key(path, DL_STR("caller_limits"));
	json_t *limits = conf_child(root, "caller_limits", JSON_OBJECT);
	json_t *empty = limits ? NULL : json_object();

	if (limits || empty)
		conf_read_object(r, &child, limits ? limits : empty,
				 CONF_FIELDS(caller_limit_fields),
				 &conf->caller_limits);
	else
		r->out_of_memory = true;
	json_decref(empty);
}

/* Read the parts of the text. Parts that others refer to come first. */
void conf_read_top_level(struct conf_reader *r, json_t *root,
			 struct dl_conf *conf)
{
	struct conf_path path = conf_path_root(), child;
	struct top_level top;
	json_t *json;

	if (!conf_read_object(r, &path, root, CONF_FIELDS(top_fields), &top))
		return;
	conf->weight_store_mb_per_s = top.weight_store_mb_per_s;
	conf->log_level = (enum dl_level)top.log_level;
	conf->number = top.number;
	/* Also by an empty list: then no key admits. */
	conf->keys_required = json_object_get(root, "workspaces") != NULL;
	read_caller_limits(r, &path, root, conf);
	child = conf_path_key(&path, DL_STR("classes"));
	json = conf_child(root, "classes", JSON_OBJECT);
	if (json)
		read_classes(r, &child, json, conf);
	else
		set_default_classes(r, conf);
	child = conf_path_key(&path, DL_STR("services"));
	json = conf_child(root, "services", JSON_OBJECT);
	if (json)
		read_services(r, &child, json, conf);
	child = conf_path_key(&path, DL_STR("routes"));
	json = conf_child(root, "routes", JSON_ARRAY);
	if (json)
		conf_read_routes(r, &child, json, conf);
	child = conf_path_key(&path, DL_STR("workspaces"));
	json = conf_child(root, "workspaces", JSON_OBJECT);
	if (json)
		read_workspaces(r, &child, json, conf);
	child = conf_path_key(&path, DL_STR("replicas"));
	json = conf_child(root, "replicas", JSON_ARRAY);
	if (json)
		read_replicas(r, &child, json, conf);
	else if (!top.number && !json_object_get(root, "replicas"))
		conf_fault(r, &path, "the key \"replicas\" is missing");
	child = conf_path_key(&path, DL_STR("orders"));
	json = conf_child(root, "orders", JSON_ARRAY);
	if (json)
		read_orders(r, &child, json, conf);
	child = conf_path_key(&path, DL_STR("drain"));
	json = conf_child(root, "drain", JSON_OBJECT);
	if (!json)
		return;
	conf_read_object(r, &child, json, CONF_FIELDS(drain_fields), NULL);
	read_name_list(r, &child, json, "vms", CONF_ADDRESS, &conf->drain_vms,
		       &conf->drain_vms_count);
	read_name_list(r, &child, json, "endpoints", CONF_ADDRESS,
		       &conf->drain_endpoints, &conf->drain_endpoints_count);
}

/* Check the length of a text. */
bool conf_check_text_size(struct conf_reader *r, size_t n)
{
	struct conf_path root = conf_path_root();

	if (n <= DL_CONF_TEXT_MAX)
		return true;
	conf_fault(r, &root, "the text has %zu bytes, at most %u are allowed",
		   n, DL_CONF_TEXT_MAX);
	return false;
}

/*
 * Parse and check a text; faults are added to the reader's. *root_json, which
 * may be NULL, is set to the value of the text with 0 only.
 */
static int read_text(struct conf_reader *r, struct dl_str text,
		     struct dl_conf *conf, json_t **root_json)
{
	struct conf_path root = conf_path_root();
	json_error_t error;
	json_t *json;
	int rc;

	if (!conf_check_text_size(r, text.n))
		return -EINVAL;
	json = json_loadb(text.s ? text.s : "", text.n, 0, &error);
	if (!json) {
		conf_fault(r, &root, "%.*s", SYNTAX_TEXT_MAX, error.text);
		r->faults->items[0].line =
			error.line > 0 ? (uint32_t)error.line : 1;
		return json_error_code(&error) == json_error_out_of_memory ?
			       -ENOMEM :
			       -EINVAL;
	}
	rc = conf_lines_scan(r, &root, 0, text);
	if (rc == 0) {
		conf_read_top_level(r, json, conf);
		conf_check(r, conf);
		conf->digest = dl_conf_digest(text);
	}
	if (rc == 0 && root_json)
		*root_json = json_incref(json);
	json_decref(json);
	return rc;
}

/* Return the digest of a text, which need not be valid. */
uint64_t dl_conf_digest(struct dl_str text)
{
	return dl_hash(text, DIGEST_SEED);
}

/* Order faults by line, then by path. */
static int compare_faults(const void *a, const void *b)
{
	const struct dl_fault *fa = a, *fb = b;

	if (fa->line != fb->line)
		return fa->line < fb->line ? -1 : 1;
	return strcmp(fa->path, fb->path);
}

/*
 * End reading with a result: set *out, or free the configuration and order its
 * faults by line. Returns the result, or -ENOMEM or -EINVAL if the reader met a
 * lack of memory or faults.
 */
int conf_finish(struct conf_reader *r, int rc, struct dl_conf *conf,
		struct dl_conf **out)
{
	struct dl_faults *faults = r->faults;
	uint32_t kept;

	conf_lines_free(&r->lines);
	if (rc == 0 && r->out_of_memory)
		rc = -ENOMEM;
	if (rc == 0 && faults->count)
		rc = -EINVAL;
	if (rc == 0) {
		*out = conf;
		return 0;
	}
	kept = faults->count < DL_FAULTS_MAX ? faults->count : DL_FAULTS_MAX;
	qsort(faults->items, kept, sizeof(faults->items[0]), compare_faults);
	dl_conf_free(conf);
	return rc;
}

/*
 * As dl_conf_parse(); with 0, *root_json is the value of the text, which the
 * caller releases.
 */
int conf_parse(struct dl_str text, struct dl_conf **out, json_t **root_json,
	       struct dl_faults *faults)
{
	struct conf_reader r = { .faults = faults };
	struct dl_conf *conf = calloc(1, sizeof(*conf));
	json_t *json = NULL;
	int rc;

	faults->count = 0;
	if (!conf)
		return -ENOMEM;
	rc = read_text(&r, text, conf, root_json ? &json : NULL);
	rc = conf_finish(&r, rc, conf, out);
	if (rc)
		json_decref(json);
	else if (root_json)
		*root_json = json;
	return rc;
}

/*
 * Parse and check a configuration text. Returns 0 and *out, which the caller
 * frees; -EINVAL and all faults, ordered by line; or -ENOMEM. faults must not
 * be NULL; its count may exceed DL_FAULTS_MAX.
 */
int dl_conf_parse(struct dl_str text, struct dl_conf **out,
		  struct dl_faults *faults)
{
	return conf_parse(text, out, NULL, faults);
}

/* Free a configuration, which may be NULL. */
void dl_conf_free(struct dl_conf *conf)
{
	if (!conf)
		return;
	for (uint32_t i = 0; i < conf->services_count; i++) {
		free(conf->services[i].depends_on);
		free(conf->services[i].models);
		free(conf->services[i].idempotent_paths);
	}
	conf_routes_free(conf);
	free(conf->classes);
	free(conf->services);
	free(conf->workspaces);
	free(conf->orders);
	free(conf->drain_vms);
	free(conf->drain_endpoints);
	free(conf);
}

/* Find a service by name, or NULL. */
const struct dl_service_conf *dl_conf_service(const struct dl_conf *conf,
					      struct dl_str name)
{
	for (uint32_t i = 0; i < conf->services_count; i++) {
		if (dl_name_eq(&conf->services[i].name, name))
			return &conf->services[i];
	}
	return NULL;
}

/* Find the service that offers a model, or NULL; a model has one service. */
const struct dl_service_conf *
dl_conf_service_of_model(const struct dl_conf *conf, struct dl_str model)
{
	for (uint32_t i = 0; i < conf->services_count; i++) {
		const struct dl_service_conf *s = &conf->services[i];

		for (uint32_t j = 0; j < s->models_count; j++) {
			if (dl_name_eq(&s->models[j], model))
				return s;
		}
	}
	return NULL;
}

/*
 * Find a workspace by name, or NULL. A binary search, as it is done for each
 * request.
 */
const struct dl_conf_workspace *dl_conf_workspace(const struct dl_conf *conf,
						  struct dl_str name)
{
	struct dl_conf_workspace key = { .keys_count = 0 };

	if (!conf->workspaces_count || memchr(name.s, '\0', name.n) ||
	    !dl_name_set(&key.limits.name, name))
		return NULL;
	return bsearch(&key, conf->workspaces, conf->workspaces_count,
		       sizeof(key), compare_workspaces);
}

/* Find a class by name, or NULL. */
const struct dl_class_conf *dl_conf_class(const struct dl_conf *conf,
					  struct dl_str name)
{
	uint32_t i = find_class(conf, name);

	return i == CLASS_UNKNOWN ? NULL : &conf->classes[i];
}
