/*
 * Applies deltas: builds the sections of the new version, verifies their
 * digest, and parses the sections that changed.
 *
 * Load: a configuration of 1,300 routes of which one changes, several times
 * within seconds, or all change at once. Harm: parsing all of it takes 200 ms
 * of a VM with 0.1 cores, and its streams stall meanwhile. So routes are parsed
 * only if their text changed, or the services, which they refer to by index;
 * and all work that grows with the number of routes is done in steps.
 */
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "state/conf_delta_int.h"
#include "state/conf_int.h"

#define NO_ROUTE    UINT32_MAX
#define ROUTE_DEPTH 2 /* a route is an element of a member of the text */
#define HEAD_MIN    2 /* the length of "{}" */
/*
 * Routes that a step copies, shares or compares at most, and operations that it
 * carries out. Each takes some tenths of a microsecond, a hundredth of what it
 * takes to parse a route, so their number is not adapted to the VM.
 */
#define PASS_ROUTES 256

/* The parts of an application, in order. */
enum phase {
	PHASE_OPEN,
	PHASE_COUNT,
	PHASE_HEAD,
	PHASE_SECTIONS,
	PHASE_DIGEST,
	PHASE_TOP_LEVEL,
	PHASE_ROUTES,
	PHASE_MATCHES,
	PHASE_CHECK,
	PHASE_DONE,
};

/* State of the application of one delta. */
struct dl_conf_delta_work {
	struct conf_reader r;
	struct dl_str bytes;
	uint64_t base_version;
	const struct dl_conf_sections *base;
	const struct dl_conf *base_conf;
	struct conf_delta delta;
	struct dl_conf_sections *next;
	struct dl_conf *conf;
	uint32_t *origin; /* of each route: index in the base, or NO_ROUTE */
	struct conf_matches matches;
	enum phase phase;
	uint32_t at;	 /* next operation or route of the phase */
	uint32_t copied; /* routes of the operation that are copied already */
	size_t routes;	 /* that the operations produce */
	uint32_t parsed; /* routes that were parsed */
	bool shares;	 /* routes that did not change are not parsed */
	int rc;		 /* -EAGAIN until the end */
};

/* A step of a phase: 0 at its end, -EAGAIN before, or an error. */
typedef int step_fn(struct dl_conf_delta_work *a, uint32_t routes_max);

static step_fn step_open, step_count, step_head, step_sections, step_digest,
	step_top_level, step_routes, step_matches, step_check;
static bool build_route(struct dl_conf_delta_work *a,
			struct conf_section *section, uint32_t origin);
static int run_op(struct dl_conf_delta_work *a, uint32_t max, uint32_t *done);
static struct conf_path routes_path(void);
static json_t *load_section(struct dl_conf_delta_work *a,
			    const struct conf_path *path, int depth,
			    const struct conf_section *section);
static int parse_route(struct dl_conf_delta_work *a);
static void set_result(struct dl_conf_delta_work *a, int rc);
static bool same_services(const struct dl_conf *a, const struct dl_conf *b);

static step_fn *const steps[PHASE_DONE] = {
	[PHASE_OPEN] = step_open,     [PHASE_COUNT] = step_count,
	[PHASE_HEAD] = step_head,     [PHASE_SECTIONS] = step_sections,
	[PHASE_DIGEST] = step_digest, [PHASE_TOP_LEVEL] = step_top_level,
	[PHASE_ROUTES] = step_routes, [PHASE_MATCHES] = step_matches,
	[PHASE_CHECK] = step_check,
};

static struct conf_path routes_path(void)
{
	struct conf_path root = conf_path_root();

	return conf_path_key(&root, DL_STR("routes"));
}

/* Decode the delta and compare its base. */
static int step_open(struct dl_conf_delta_work *a, uint32_t routes_max)
{
	const struct dl_conf_delta_head *head = &a->delta.head;
	int rc = conf_delta_open(&a->delta, a->bytes);

	if (rc)
		return rc;
	if (!a->base || !a->base_conf ||
	    a->base_version != head->base_version ||
	    a->base->digest != head->base_digest)
		return -ESTALE;
	return 0;
}

/* Count the routes that the operations produce, and make room for them. */
static int step_count(struct dl_conf_delta_work *a, uint32_t routes_max)
{
	struct conf_path path = routes_path();
	struct conf_delta_op op;

	for (uint32_t i = 0; i < PASS_ROUTES && a->at < a->delta.ops.size;
	     i++, a->at++) {
		if (conf_delta_op(&a->delta, a->at, &op))
			a->routes += op.count ? op.count : 1;
	}
	if (a->at < a->delta.ops.size)
		return -EAGAIN;
	a->origin = conf_alloc_list(&a->r, &path, a->routes, CONF_ROUTES_MAX,
				    sizeof(*a->origin));
	if (!a->origin)
		return a->r.out_of_memory ? -ENOMEM : -EINVAL;
	a->next = conf_sections_new(a->routes);
	return a->next ? 0 : -ENOMEM;
}

/* Build the head of the new version; -EBADMSG if it would be no object. */
static int step_head(struct dl_conf_delta_work *a, uint32_t routes_max)
{
	const struct conf_delta *d = &a->delta;
	struct dl_str base = conf_section_str(a->base->head);
	size_t n = d->head_prefix + d->head_text.n + d->head_suffix;
	char *text;

	if (!d->head_changed) {
		a->next->head = conf_section_ref(a->base->head);
		return 0;
	}
	if (d->head_prefix > base.n ||
	    d->head_suffix > base.n - d->head_prefix || n < HEAD_MIN)
		return -EBADMSG;
	text = malloc(n);
	if (!text)
		return -ENOMEM;
	memcpy(text, base.s, d->head_prefix);
	memcpy(text + d->head_prefix, d->head_text.s, d->head_text.n);
	memcpy(text + n - d->head_suffix, base.s + base.n - d->head_suffix,
	       d->head_suffix);
	if (text[0] != '{' || text[n - 1] != '}') {
		free(text);
		return -EBADMSG;
	}
	a->next->head = conf_section_new((struct dl_str){ text, n });
	free(text);
	return a->next->head ? 0 : -ENOMEM;
}

/* Append a route, whose reference is taken over. */
static bool build_route(struct dl_conf_delta_work *a,
			struct conf_section *section, uint32_t origin)
{
	if (!section)
		return false;
	a->origin[a->next->routes_count] = origin;
	a->next->routes[a->next->routes_count++] = section;
	return true;
}

/*
 * Carry out the next operation, or a part of it. *done is increased by the
 * number of routes that were built.
 */
static int run_op(struct dl_conf_delta_work *a, uint32_t max, uint32_t *done)
{
	const struct dl_conf_sections *base = a->base;
	struct conf_delta_op op;
	uint32_t n;

	if (!conf_delta_op(&a->delta, a->at, &op))
		return -EBADMSG;
	if (op.count == 0) {
		if (!build_route(a, conf_section_new(op.text), NO_ROUTE))
			return -ENOMEM;
		++*done;
		a->at++;
		return 0;
	}
	if (op.count > base->routes_count ||
	    op.first > base->routes_count - op.count)
		return -EBADMSG;
	n = MIN(op.count - a->copied, max);
	for (uint32_t i = 0; i < n; i++) {
		uint32_t from = op.first + a->copied++;

		build_route(a, conf_section_ref(base->routes[from]), from);
	}
	*done += n;
	if (a->copied == op.count) {
		a->copied = 0;
		a->at++;
	}
	return 0;
}

/* Build the sections of the routes. */
static int step_sections(struct dl_conf_delta_work *a, uint32_t routes_max)
{
	uint32_t done = 0;

	while (a->at < a->delta.ops.size) {
		int rc;

		if (done == PASS_ROUTES)
			return -EAGAIN;
		rc = run_op(a, PASS_ROUTES - done, &done);
		if (rc)
			return rc;
	}
	return 0;
}

/* Verify the digest of the new version, before anything is parsed. */
static int step_digest(struct dl_conf_delta_work *a, uint32_t routes_max)
{
	int rc = conf_sections_finish(a->next);

	if (rc)
		return rc;
	return a->next->digest == a->delta.head.digest ? 0 : -EBADMSG;
}

/*
 * Return the value of a section, or NULL with a fault at its path. A key that
 * is in an object twice is a fault too, as in a whole text.
 */
static json_t *load_section(struct dl_conf_delta_work *a,
			    const struct conf_path *path, int depth,
			    const struct conf_section *section)
{
	struct dl_str text = conf_section_str(section);
	json_error_t error;
	json_t *json = json_loadb(text.s, text.n, JSON_DECODE_ANY, &error);

	if (!json && json_error_code(&error) == json_error_out_of_memory) {
		a->r.out_of_memory = true;
		return NULL;
	}
	if (!json) {
		conf_fault(&a->r, path, "%.120s", error.text);
		return NULL;
	}
	if (conf_lines_scan(&a->r, path, depth, text) == 0)
		return json;
	json_decref(json);
	return NULL;
}

/* Whether two configurations have the same services at the same indexes. */
static bool same_services(const struct dl_conf *a, const struct dl_conf *b)
{
	if (a->services_count != b->services_count)
		return false;
	for (uint32_t i = 0; i < a->services_count; i++) {
		if (!dl_name_eq(&a->services[i].name,
				dl_name_str(&b->services[i].name)))
			return false;
	}
	return true;
}

/* Parse the head, and prepare to read the routes. */
static int step_top_level(struct dl_conf_delta_work *a, uint32_t routes_max)
{
	struct conf_path root = conf_path_root(), routes = routes_path();
	json_t *json;

	a->conf = calloc(1, sizeof(*a->conf));
	if (!a->conf)
		return -ENOMEM;
	if (!conf_check_text_size(&a->r, a->next->text_n))
		return -EINVAL;
	json = load_section(a, &root, 0, a->next->head);
	if (!json)
		return a->r.out_of_memory ? -ENOMEM : -EINVAL;
	if (json_object_get(json, "routes"))
		conf_fault(&a->r, &routes, "the head must not have routes");
	else
		conf_read_top_level(&a->r, json, a->conf);
	json_decref(json);
	if (!a->next->routes_count || a->conf->routes)
		return 0;
	a->shares = same_services(a->conf, a->base_conf) &&
		    a->base_conf->routes_count == a->base->routes_count;
	a->conf->routes = conf_alloc_list(&a->r, &routes, a->next->routes_count,
					  CONF_ROUTES_MAX,
					  sizeof(struct dl_route_conf *));
	return 0;
}

/*
 * Parse the next route; one with faults is left out. Its lines are dropped,
 * unlike those of the head, which later checks use: they are not reported, and
 * growing a table of the lines of all routes is one step that takes ever
 * longer.
 */
static int parse_route(struct dl_conf_delta_work *a)
{
	struct conf_path path = routes_path();
	struct conf_path child = conf_path_index(&path, a->at);
	struct conf_lines head_lines = a->r.lines;
	struct dl_route_conf *route = NULL;
	struct dl_conf *conf = a->conf;
	json_t *json;

	a->parsed++;
	a->r.lines = (struct conf_lines){ 0 };
	json = load_section(a, &child, ROUTE_DEPTH, a->next->routes[a->at]);
	if (json)
		route = conf_read_route(&a->r, &child, json, conf);
	json_decref(json);
	conf_lines_free(&a->r.lines);
	a->r.lines = head_lines;
	if (route)
		conf->routes[conf->routes_count++] = route;
	return a->r.out_of_memory ? -ENOMEM : 0;
}

/* Share the routes that did not change, and parse the others. */
static int step_routes(struct dl_conf_delta_work *a, uint32_t routes_max)
{
	struct dl_conf *conf = a->conf;
	uint32_t shared = 0, parsed = 0;

	if (!conf->routes)
		return 0;
	for (; a->at < a->next->routes_count; a->at++) {
		uint32_t origin = a->origin[a->at];
		int rc;

		if (shared == PASS_ROUTES || parsed == routes_max)
			return -EAGAIN;
		if (a->shares && origin != NO_ROUTE) {
			conf->routes[conf->routes_count++] =
				conf_route_ref(a->base_conf->routes[origin]);
			shared++;
			continue;
		}
		rc = parse_route(a);
		if (rc)
			return rc;
		parsed++;
	}
	return 0;
}

/* Check that no two routes have the same host and prefix. */
static int step_matches(struct dl_conf_delta_work *a, uint32_t routes_max)
{
	struct conf_path path = routes_path();

	if (conf_check_some_matches(&a->matches, &a->r, &path, a->conf,
				    PASS_ROUTES))
		return 0;
	return -EAGAIN;
}

/* Check the configuration as a whole. */
static int step_check(struct dl_conf_delta_work *a, uint32_t routes_max)
{
	conf_check(&a->r, a->conf);
	return conf_sections_text_digest(a->next, &a->conf->digest);
}

/* Record the result, and order and complete the faults. */
static void set_result(struct dl_conf_delta_work *a, int rc)
{
	struct dl_faults *faults = a->r.faults;
	struct dl_conf *conf = a->conf;

	/* The text has one line. Paths that were not parsed again have none. */
	for (uint32_t i = 0; i < faults->count && i < DL_FAULTS_MAX; i++)
		faults->items[i].line = 1;
	/* conf_finish() frees the configuration unless it is valid. */
	a->conf = NULL;
	a->rc = conf_finish(&a->r, rc, conf, &a->conf);
	a->phase = PHASE_DONE;
}

/* Begin to apply a delta. */
int dl_conf_delta_begin(struct dl_str delta, uint64_t base_version,
			const struct dl_conf_sections *base,
			const struct dl_conf *base_conf,
			struct dl_faults *faults,
			struct dl_conf_delta_work **out)
{
	struct dl_conf_delta_work *a = calloc(1, sizeof(*a));

	faults->count = 0;
	if (!a)
		return -ENOMEM;
	a->r.faults = faults;
	a->bytes = delta;
	a->base_version = base_version;
	a->base = base;
	a->base_conf = base_conf;
	a->rc = -EAGAIN;
	*out = a;
	return 0;
}

/* Carry out the next step. */
int dl_conf_delta_step(struct dl_conf_delta_work *a, uint32_t routes_max)
{
	int rc;

	if (a->phase == PHASE_DONE)
		return a->rc;
	rc = steps[a->phase](a, MAX(routes_max, 1));
	if (rc == -EAGAIN)
		return rc;
	if (rc == 0) {
		a->at = 0;
		a->phase++;
		if (a->phase < PHASE_DONE)
			return -EAGAIN;
	}
	set_result(a, rc);
	return a->rc;
}

/* Return how many routes were parsed so far. */
uint32_t dl_conf_delta_parsed(const struct dl_conf_delta_work *a)
{
	return a->parsed;
}

/* Hand over the result, or drop an application that is not complete. */
int dl_conf_delta_end(struct dl_conf_delta_work *a,
		      struct dl_conf_sections **sections, struct dl_conf **conf)
{
	int rc = a->phase == PHASE_DONE ? a->rc : -ECANCELED;

	if (rc == 0 && sections && conf) {
		*sections = a->next;
		*conf = a->conf;
	} else {
		dl_conf_sections_free(a->next);
		dl_conf_free(a->conf);
	}
	conf_lines_free(&a->r.lines);
	conf_matches_free(&a->matches);
	free(a->origin);
	conf_delta_close(&a->delta);
	free(a);
	return rc;
}

/* Apply a delta to the sections and the configuration that it leads from. */
int dl_conf_delta_apply(struct dl_str delta, uint64_t base_version,
			const struct dl_conf_sections *base,
			const struct dl_conf *base_conf,
			struct dl_conf_sections **sections,
			struct dl_conf **conf, struct dl_faults *faults)
{
	struct dl_conf_delta_work *work;
	int rc = dl_conf_delta_begin(delta, base_version, base, base_conf,
				     faults, &work);

	if (rc)
		return rc;
	do {
		rc = dl_conf_delta_step(work, UINT32_MAX);
	} while (rc == -EAGAIN);
	return dl_conf_delta_end(work, sections, conf);
}
