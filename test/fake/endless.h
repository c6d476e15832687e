/* Responses of fake servers whose body goes on until the client closes. */
#ifndef DL_TEST_FAKE_ENDLESS_H
#define DL_TEST_FAKE_ENDLESS_H

#include <uv.h>

#include "http.h"

/*
 * Begins such a response.  ended() is called, if given, once the client has
 * closed the connection.
 */
void fake_endless_begin(uv_loop_t *loop, struct fake_request *req,
			void (*ended)(void));

#endif
