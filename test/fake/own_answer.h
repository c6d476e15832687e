/*
 * Answers that say whose they are: each body names the status, the attempt id
 * and the stamp of the run that made it, so that a caller can tell an answer
 * of another request, of another run, or one joined of two.
 */
#ifndef DL_TEST_FAKE_OWN_ANSWER_H
#define DL_TEST_FAKE_OWN_ANSWER_H

#include <glib.h>
#include <stdbool.h>

#include "daisyledge/base.h"

#define FAKE_OWN_EVENTS 8

/* Appends line n of a body, from 0; false behind the last one. */
bool fake_own_line(int status, const char *id, const char *stamp, int n,
		   GString *out);
/* Appends event n of a stream, from 1. */
void fake_own_event(const char *id, const char *stamp, int n, GString *out);

/* Whether a body is this run's: all of it, or with whole unset its beginning.
 */
bool fake_own_body(int status, const char *id, const char *stamp,
		   struct dl_str body, bool whole);
/*
 * Whether a body consists of the events of one stream, in order and each once:
 * all of them, or with whole unset the first ones.  The first run is the one
 * with this stamp; another may go on where it ended, as its stamp says: the
 * number of the last event that the run was told of follows the last point.
 */
bool fake_own_events(const char *id, const char *stamp, struct dl_str body,
		     bool whole);

#endif
