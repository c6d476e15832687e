/* What it costs to apply a delta; see the header. */
#include "state/conf_delta_cost.h"

#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "state/conf_delta_int.h"

/* Parsed within a millisecond or two, as a text of 30 KB is. */
#define CHEAP_BYTES (32u << 10)

/* Whether a head names the services of a configuration, in their order. */
static bool has_services(const json_t *head, const struct dl_conf *conf)
{
	json_t *services = json_object_get(head, "services");
	uint32_t i = 0;
	const char *key;
	json_t *value;

	if (json_object_size(services) != conf->services_count)
		return false;
	json_object_foreach(services, key, value)
	{
		if (!dl_name_eq(&conf->services[i++].name, dl_str_of(key)))
			return false;
	}
	return true;
}

/* Whether the head that a delta produces has the services of the base. */
static bool keeps_services(const struct conf_delta *d, struct dl_str base,
			   const struct dl_conf *base_conf)
{
	GString *text;
	json_t *head;
	bool keeps;

	if (d->head_prefix > base.n || d->head_suffix > base.n - d->head_prefix)
		return false;
	text = g_string_new_len(base.s, (gssize)d->head_prefix);
	g_string_append_len(text, d->head_text.s, (gssize)d->head_text.n);
	g_string_append_len(text, base.s + base.n - d->head_suffix,
			    (gssize)d->head_suffix);
	head = json_loadb(text->str, text->len, 0, NULL);
	g_string_free(text, TRUE);
	keeps = has_services(head, base_conf);
	json_decref(head);
	return keeps;
}

static bool has_large_head(const struct conf_delta *d,
			   const struct dl_conf_sections *base)
{
	return base->head->n > CHEAP_BYTES || d->head_text.n > CHEAP_BYTES;
}

/* Whether a decoded delta is cheap to apply. */
static bool is_cheap(const struct conf_delta *d,
		     const struct dl_conf_sections *base,
		     const struct dl_conf *base_conf)
{
	struct dl_str head = conf_section_str(base->head);

	if (has_large_head(d, base))
		return false;
	return !d->head_changed || keeps_services(d, head, base_conf);
}

/* Whether a delta is cheap to apply to its base. */
bool dl_conf_delta_is_cheap(struct dl_str delta,
			    const struct dl_conf_sections *base,
			    const struct dl_conf *base_conf)
{
	struct conf_delta d;
	bool cheap;

	if (delta.n > CHEAP_BYTES)
		return false;
	cheap = conf_delta_open(&d, delta) == 0 &&
		is_cheap(&d, base, base_conf);
	conf_delta_close(&d);
	return cheap;
}

/* Whether the head of the result is too large to be parsed at once. */
bool dl_conf_delta_has_large_head(struct dl_str delta,
				  const struct dl_conf_sections *base)
{
	struct conf_delta d;
	bool large = conf_delta_open(&d, delta) == 0 &&
		     has_large_head(&d, base);

	conf_delta_close(&d);
	return large;
}
