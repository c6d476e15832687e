/* Classification of HTTP header names. */
#include <glib.h>
#include <string.h>

#include "transport/httpc.h"

/* Headers about the connection, or about how the body is framed on it. */
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

/* Reports whether a header has a name, which is given in lower case. */
bool dl_header_is(struct dl_str name, const char *lower_name)
{
	return name.n == strlen(lower_name) &&
	       g_ascii_strncasecmp(name.s, lower_name, name.n) == 0;
}

/* Reports whether a header is hop-by-hop, so that it must not be forwarded. */
bool dl_header_is_hop_by_hop(struct dl_str name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++) {
		if (dl_header_is(name, hop_by_hop_headers[i]))
			return true;
	}
	return false;
}
