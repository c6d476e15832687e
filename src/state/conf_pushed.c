/* The sections of the configuration that entries get; see the header. */
#include "state/conf_pushed.h"

#include <errno.h>
#include <stdlib.h>

#include "state/conf_int.h"
#include "state/conf_sections.h"

#define KEY_SOURCE "source"
#define KEY_ROUTES "routes"

static struct conf_section *section_of(const json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY);
	struct conf_section *section = NULL;

	if (text)
		section = conf_section_new(dl_str_of(text));
	free(text);
	return section;
}

/* Fills in the sections of a head and its routes. Returns 0 or -ENOMEM. */
static int fill(struct dl_conf_sections *s, const json_t *head,
		const json_t *routes)
{
	s->head = section_of(head);
	if (!s->head)
		return -ENOMEM;
	for (size_t i = 0; i < json_array_size(routes); i++) {
		struct conf_section *section =
			section_of(json_array_get(routes, i));

		if (!section)
			return -ENOMEM;
		s->routes[s->routes_count++] = section;
	}
	return conf_sections_finish(s);
}

/* Splits the JSON of a text, from which the routes are removed. */
static int split_json(json_t *root, struct dl_conf_sections **out)
{
	json_t *routes = json_incref(json_object_get(root, KEY_ROUTES));
	struct dl_conf_sections *s;
	int rc = -ENOMEM;

	if (routes && !json_is_array(routes)) {
		json_decref(routes);
		return -EINVAL;
	}
	if (routes)
		json_object_del(root, KEY_ROUTES);
	s = conf_sections_new(json_array_size(routes));
	if (s)
		rc = fill(s, root, routes);
	json_decref(routes);
	if (rc)
		dl_conf_sections_free(s);
	else
		*out = s;
	return rc;
}

/* Splits a text, leaving out its source. */
int dl_conf_pushed_split(struct dl_str text, struct dl_conf_sections **out,
			 bool *had_source)
{
	json_t *root = json_loadb(text.s, text.n, 0, NULL);
	int rc = -EINVAL;

	if (json_is_object(root)) {
		*had_source = json_object_del(root, KEY_SOURCE) == 0;
		rc = split_json(root, out);
	}
	json_decref(root);
	return rc;
}

/* Parses a text and keeps its JSON. */
int dl_conf_tree_parse(struct dl_str text, struct dl_conf **conf,
		       struct dl_conf_tree **tree, struct dl_faults *faults)
{
	json_t *root = NULL;
	int rc = conf_parse(text, conf, &root, faults);

	if (rc == 0)
		*tree = (struct dl_conf_tree *)root;
	return rc;
}

/* Splits a tree that is still complete. */
int dl_conf_tree_split(struct dl_conf_tree *tree, struct dl_conf_sections **out)
{
	return split_json((json_t *)tree, out);
}

/* Frees a tree. */
void dl_conf_tree_free(struct dl_conf_tree *tree)
{
	json_decref((json_t *)tree);
}
