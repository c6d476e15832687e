/* The sections of the configuration that entries get; see the header. */
#include "state/conf_pushed.h"

#include <errno.h>

#include "state/conf_int.h"
#include "state/conf_sections.h"

#define KEY_SOURCE "source"

/* Splits a text, leaving out its source. */
int dl_conf_pushed_split(struct dl_str text, struct dl_conf_sections **out,
			 bool *had_source)
{
	json_t *root = json_loadb(text.s, text.n, 0, NULL);
	int rc = -EINVAL;

	if (json_is_object(root)) {
		*had_source = json_object_del(root, KEY_SOURCE) == 0;
		rc = conf_sections_split_json(root, out);
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
	return conf_sections_split_json((json_t *)tree, out);
}

/* Frees a tree. */
void dl_conf_tree_free(struct dl_conf_tree *tree)
{
	json_decref((json_t *)tree);
}
