/* Responses of fake servers whose body goes on until the client closes. */
#ifndef DL_TEST_FAKE_ENDLESS_H
#define DL_TEST_FAKE_ENDLESS_H

#include <uv.h>

#include "http.h"

/*
 * Begins a success whose body is more, again and again.  ended() is called, if
 * given, once the client has closed the connection.  more must stay valid.
 */
void fake_endless_begin(uv_loop_t *loop, struct fake_request *req,
			struct dl_str more, void (*ended)(void));

#endif
