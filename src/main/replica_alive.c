/*
 * Endpoints' announcements on their way to the entries.  That an endpoint
 * leaves goes to each entry at once.  Words that say something else that is new
 * go together with those of other endpoints, deflated; that an endpoint still
 * says the same goes as its key, and an entry that does not know a key asks for
 * the words.
 *
 * Load: 147 endpoints that announce themselves every 1.2 s to 295 entries are
 * 36,000 frames a second, for each entry 29,000 bytes a second, where all of
 * control may take 12,000.  As keys they are 2,700.  And three thousand that
 * start with their replicas: a frame for each of them to each entry kept the
 * replicas from acknowledging changes for seconds.
 */
#include <stdlib.h>
#include <string.h>

#include "daisyledge/reports.h"
#include "main/replica.h"
#include "protocol/pool_codec.h"

/*
 * How long a key waits for others.  A sixth of the 1.5 s in which a new
 * dispatcher waits to hear its endpoints.
 */
#define TOGETHER_MS 250
/* And words that are new: a few turns of the loop. */
#define WORDS_TOGETHER_MS 40
/* Words that were said last before this are not told any more. */
#define TELL_MS 2000
/* An endpoint that is silent so long is forgotten. */
#define FORGET_MS 30000

/* Keys that wait for others, and how what they stand for is told. */
struct gathered {
	uint64_t key[DL_ID_LIST_MAX];
	uint32_t count;
	int64_t sent_at;
	void (*send)(struct replica *r, const uint64_t *keys, uint32_t count);
};

struct replica_alive {
	struct dl_reports *reports;
	struct gathered again;	   /* said again */
	struct gathered new_words; /* said for the first time */
	int64_t forgotten_at;
};

static void send_keys(struct replica *r, const uint64_t *keys, uint32_t count);
static void send_words(struct replica *r, const uint64_t *keys, uint32_t count);

/* Nothing heard yet. */
struct replica_alive *replica_alive_new(void)
{
	struct replica_alive *alive = g_new0(struct replica_alive, 1);

	alive->reports = dl_reports_new();
	alive->again.send = send_keys;
	alive->new_words.send = send_words;
	return alive;
}

/*
 * The words of keys that are known, in one body.  Without memory for it nothing
 * is told: who misses words asks for them at the next key.
 */
static int words_of(const struct replica_alive *alive, const uint64_t *keys,
		    uint32_t count, char **body, size_t *n)
{
	struct dl_str words[DL_ID_LIST_MAX];

	for (uint32_t i = 0; i < count; i++)
		words[i] = dl_reports_find(alive->reports, keys[i]);
	return dl_report_batch_pack(words, count, body, n);
}

static void send_words(struct replica *r, const uint64_t *keys, uint32_t count)
{
	char *body;
	size_t n;

	if (words_of(r->alive, keys, count, &body, &n))
		return;
	replica_to_members(r, false, DL_FRAME_REPORTS,
			   (struct dl_str){ body, n });
	free(body);
}

static void send_keys(struct replica *r, const uint64_t *keys, uint32_t count)
{
	struct dl_packer pk;

	dl_id_list_pack(&pk, DL_STR(""), keys, count);
	replica_to_members(r, false, DL_FRAME_UNCHANGED, dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

/*
 * Tell what has gathered.  The words of a start that left meanwhile are not
 * known any more: told after the word that it leaves, they would make it known
 * to an entry that had not heard of it.
 */
static void flush(struct replica *r, struct gathered *g, int64_t now)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < g->count; i++) {
		if (dl_reports_find(r->alive->reports, g->key[i]).n)
			g->key[n++] = g->key[i];
	}
	g->count = 0;
	g->sent_at = now;
	if (n)
		g->send(r, g->key, n);
}

static void gather(struct replica *r, struct gathered *g, uint64_t key,
		   int64_t now)
{
	if (g->count == DL_ID_LIST_MAX)
		flush(r, g, now);
	g->key[g->count++] = key;
}

/*
 * Pass an announcement on.  That an endpoint leaves also goes to the other
 * replicas: one that heard it a moment before still had its key to send.
 */
void replica_alive_pass(struct replica *r, const struct dl_announcement *a)
{
	struct replica_alive *alive = r->alive;
	struct dl_str instance = dl_name_str(&a->instance);
	struct dl_announcement said = *a;
	int64_t now = replica_now(r);
	struct dl_packer pk;
	uint64_t key = 0;
	bool fresh, kept;

	said.sequence = 0; /* else each word would be a new one */
	dl_report_pack(&pk, &said);
	if (a->report.leaving)
		dl_reports_remove(alive->reports, instance);
	fresh = a->report.leaving ||
		dl_reports_add(alive->reports, instance, dl_packer_bytes(&pk),
			       now, &key);
	/* One that there is no room to keep cannot be gathered. */
	kept = fresh && dl_reports_find(alive->reports, key).n > 0;
	if (fresh && !kept)
		replica_to_members(r, a->report.leaving, DL_FRAME_REPORT,
				   dl_packer_bytes(&pk));
	dl_packer_close(&pk);
	if (kept)
		gather(r, &alive->new_words, key, now);
	else if (!fresh && dl_reports_relay_due(alive->reports, key, now))
		gather(r, &alive->again, key, now);
}

/* Another replica has heard that an endpoint leaves. */
void replica_alive_left(struct replica *r, const struct dl_frame *f)
{
	struct dl_announcement a;

	if (dl_report_read(f->body, &a) || !a.report.leaving)
		return;
	dl_reports_remove(r->alive->reports, dl_name_str(&a.instance));
	replica_door_left(r, &a);
}

/* An entry asks for the words of keys that it does not know. */
void replica_alive_asked(struct replica *r, uint64_t from,
			 const struct dl_frame *f)
{
	struct dl_reports *reports = r->alive->reports;
	int64_t since = replica_now(r) - TELL_MS;
	uint64_t keys[DL_ID_LIST_MAX];
	struct dl_name none;
	uint32_t count, known = 0;
	char *body;
	size_t n;

	if (dl_id_list_read(f->body, &none, keys, &count))
		return;
	for (uint32_t i = 0; i < count; i++) {
		if (dl_reports_received_since(reports, keys[i], since))
			keys[known++] = keys[i];
	}
	if (known == 0 || words_of(r->alive, keys, known, &body, &n))
		return;
	replica_send(r, from, DL_FRAME_REPORTS, 0, (struct dl_str){ body, n });
	free(body);
}

/* Send what has gathered for long enough. */
void replica_alive_tick(struct replica *r, int64_t now)
{
	struct replica_alive *alive = r->alive;

	if (alive->new_words.count &&
	    now - alive->new_words.sent_at >= WORDS_TOGETHER_MS)
		flush(r, &alive->new_words, now);
	if (now - alive->again.sent_at >= TOGETHER_MS)
		flush(r, &alive->again, now);
	if (now - alive->forgotten_at < FORGET_MS / 2)
		return;
	alive->forgotten_at = now;
	dl_reports_expire(alive->reports, now - FORGET_MS);
}
