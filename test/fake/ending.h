/*
 * Responses of fake endpoints that end as the request itself says, written to
 * the socket byte by byte.  A request names its ending in its path or body, as
 *	ending-FRAMING-STOP-HOW-EOL-KEY
 * The first endpoint that gets a key carries the ending out, and later ones
 * respond in full.
 */
#ifndef DL_TEST_FAKE_ENDING_H
#define DL_TEST_FAKE_ENDING_H

#include <glib.h>
#include <uv.h>

#include "http.h"

#define FAKE_ENDING_EVENTS 4
/* The event in which a response is broken off. */
#define FAKE_ENDING_BROKEN 3
#define FAKE_ENDING_KEY	   32

/* What marks the end of the response's body. */
enum fake_framing {
	FAKE_FRAMED_BY_LENGTH,
	FAKE_FRAMED_BY_CHUNKS,
	FAKE_FRAMED_BY_CLOSE,
	FAKE_FRAMINGS,
};

/*
 * Where the response stops.  In the head, its lines have the ends of line that
 * the body would have.
 */
enum fake_stop {
	FAKE_STOP_IN_STATUS,	 /* in the status code */
	FAKE_STOP_AFTER_STATUS,	 /* after the status line */
	FAKE_STOP_IN_NAME,	 /* of the header that frames the body */
	FAKE_STOP_IN_VALUE,	 /* of that header */
	FAKE_STOP_AFTER_FRAMING, /* after its line */
	FAKE_STOP_BEFORE_END,	 /* before the blank line */
	FAKE_STOP_IN_END,	 /* between CR and LF of the blank line */
	FAKE_STOP_AFTER_INTERIM, /* response, before the final blank line */
	FAKE_STOP_IN_REFUSAL, /* that it was not run; before the blank line */
	FAKE_STOP_IN_EMPTY,   /* head without a body; before the blank line */
	FAKE_STOP_NO_BODY,    /* after the head */
	FAKE_STOP_IN_LINE,
	FAKE_STOP_AFTER_LINE,
	FAKE_STOP_BEFORE_BLANK, /* line that ends the event */
	FAKE_STOP_BETWEEN,	/* two events */
	FAKE_STOP_LAST,		/* after the last event */
	FAKE_STOPS,
};

/* What happens then. */
enum fake_how {
	FAKE_HOW_WHOLE, /* the response ends as it should */
	FAKE_HOW_CLOSE, /* the connection is closed in order */
	FAKE_HOW_RESET,
	FAKE_HOW_SILENCE,
	FAKE_HOW_CRASH, /* silence, until the test kills the endpoint */
	/* closed in order; the next endpoint does so before its head's end */
	FAKE_HOW_AGAIN,
	FAKE_HOWS,
};

enum fake_eol {
	FAKE_EOL_LF,
	FAKE_EOL_CRLF,
	FAKE_EOLS,
};

struct fake_ending {
	enum fake_framing framing;
	enum fake_stop stop;
	enum fake_how how;
	enum fake_eol eol;
	char key[FAKE_ENDING_KEY];
};

extern const char *const fake_framing_names[FAKE_FRAMINGS];
extern const char *const fake_stop_names[FAKE_STOPS];
extern const char *const fake_how_names[FAKE_HOWS];
extern const char *const fake_eol_names[FAKE_EOLS];

/* Whether the response stops before the end of its head. */
bool fake_stop_is_in_head(enum fake_stop stop);

/* Appends an event, with LF as the end of its lines; n is 1 for the first. */
typedef void fake_ending_event(int n, const char *request, GString *out);

/* The event of a stream that may be resumed by the ids of its events. */
void fake_ending_numbered(int n, const char *request, GString *out);

/* Appends the events from one to another, as the response has them. */
void fake_ending_events(const struct fake_ending *ending,
			fake_ending_event *event, const char *request, int from,
			int to, GString *out);
/* Writes an ending as requests name it. */
void fake_ending_format(const struct fake_ending *ending, GString *out);
/* Finds the ending that a text names. */
bool fake_ending_find(struct dl_str text, struct fake_ending *out);

/* Files of a key in the folder: it was begun, and the caller has an event. */
char *fake_ending_begun_file(const char *folder, const char *key);
char *fake_ending_heard_file(const char *folder, const char *key);

struct fake_ending_conf {
	const char *folder; /* shared by all endpoints and the test */
	fake_ending_event *event;
	const struct fake_header *headers; /* ends with a null name */
	const char *request;		   /* its id, for the events */
	int after;			   /* the event after which to resume */
	bool stream;			   /* sent on as it comes */
};

/*
 * Responds to a request that names its ending; false if it names none.  The
 * owner of the request must be left alone.
 */
bool fake_ending_serve(uv_loop_t *loop, struct fake_request *req,
		       struct dl_str text, const struct fake_ending_conf *conf);
/*
 * Responds with the status and a JSON body, and ends early as the text says:
 *	FRAMING-STOP-HOW
 * Any stop behind the head stands for half of the body.  false: it says nothing
 * of that kind.
 */
bool fake_ending_cut(struct fake_request *req, const char *text, int status,
		     struct dl_str body);
/* Forgets a request that is closed; false if it is none of these. */
bool fake_ending_closed(const struct fake_request *req);

#endif
