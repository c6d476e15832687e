/* Names of HTTP headers. */
#include <glib.h>
#include <string.h>

#include "transport/httpc.h"

/* Named by the protocol as being about the connection, or about the body's
 * way over it. */
static const char *const hop_by_hop_headers[] = {
	"connection",
	"keep-alive",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"content-length",
	"expect",
	"proxy-authorization",
	"proxy-connection",
};

/* Whether a header has a name, which is given in lower case. */
bool dl_header_is(struct dl_str name, const char *lower_name)
{
	return name.n == strlen(lower_name) &&
	       g_ascii_strncasecmp(name.s, lower_name, name.n) == 0;
}

/* Whether a header concerns one connection only, and is not passed on. */
bool dl_header_is_hop_by_hop(struct dl_str name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++) {
		if (dl_header_is(name, hop_by_hop_headers[i]))
			return true;
	}
	return false;
}
