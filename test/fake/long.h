/*
 * Long responses of fake endpoints that are broken off after some bytes, by a
 * reset.  They have no length: h2o sends chunks with status 200 alone.  A
 *request names its response in its path, as long-STATUS-LENGTH-STOP-KEY The
 *body of the first endpoint that gets a key is made of "a" and stops after STOP
 *bytes; those of later ones are made of "b" and whole.
 */
#ifndef DL_TEST_FAKE_LONG_H
#define DL_TEST_FAKE_LONG_H

#include <uv.h>

#include "http.h"

/*
 * Responds to a request that names a long response; false if it names none.
 * folder is shared by all endpoints.  The owner of the request must be left
 * alone.
 */
bool fake_long_serve(uv_loop_t *loop, struct fake_request *req,
		     struct dl_str text, const char *folder,
		     const struct fake_header *headers);
/* Forgets a request that is closed; false if it is none of these. */
bool fake_long_closed(const struct fake_request *req);

#endif
