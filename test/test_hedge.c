/*
 * Every order of the events of a grant request that two VMs are asked for.  If
 * one order were overlooked, two grants would be used, or a grant or a queued
 * request would stay at a VM that nobody cancels it at.
 *
 * The states of a request, of the VMs A and B, and of the frames in between are
 * visited breadth first.  Frames to and from a VM are on two connections, each
 * in order.  A request is asked for twice at most, and FAULTS_MAX faults occur.
 */
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "coordination/hedge.h"
#include "fake/suite.h"

#define FRAMES_MAX 8
#define FAULTS_MAX 2

enum {
	VM_A,
	VM_B,
	VM_COUNT,
	VM_OTHER = VM_COUNT /* neither; its pool is not modelled */
};

enum {
	ROUNDS = 2
};

enum frame_kind {
	FRAME_NONE,
	ASK,
	CANCEL,
	RELEASE,
	ADOPT,
	GRANTED,
	QUEUED,
	REFUSED
};

enum phase {
	PENDING,
	RUNNING,
	ENDED
};

struct frame {
	uint8_t kind;
	uint8_t round;
	uint8_t origin; /* VM that made the grant */
};

struct link {
	struct frame frames[FRAMES_MAX];
	uint8_t n;
	bool mute; /* drops all frames */
};

struct vm {
	struct link to, from;
	bool queued[ROUNDS];
	bool held[ROUNDS][VM_COUNT]; /* by the VM that made the grant */
	bool dead;
	/*
	 * A frame was lost that grants, or that ends or moves a grant or ends
	 * its wait.  A lease, the renewal of a grant or a late grant mend this.
	 */
	bool lossy;
};

struct state {
	struct vm vm[VM_COUNT];
	struct dl_hedge h;
	uint8_t phase;
	uint8_t round;
	uint8_t first, second, unanswered; /* as in struct call */
	uint8_t origin;			   /* of the grant that is used */
	bool again;			   /* is asked anew in a moment */
	uint8_t faults;
	/* The VM has a request that it was not cancelled at and has not
	 * answered finally. */
	bool asked[VM_COUNT];
};

struct node {
	struct state s;
	uint32_t parent;
	const char *label;
};

static GArray *nodes;
static GHashTable *visited;
static uint32_t current;
static const char *label;

static void print_path(uint32_t i)
{
	const struct node *n = &g_array_index(nodes, struct node, i);

	if (n->parent != i)
		print_path(n->parent);
	fprintf(stderr, "  %s\n", n->label);
}

/* Fails with the events that led to a state. */
static void check(bool ok, const char *what)
{
	if (ok)
		return;
	print_path(current);
	fprintf(stderr, "  %s\n", label);
	ck_abort_msg("%s", what);
}

static void lose(struct vm *vm, const struct frame *f)
{
	vm->lossy |= f->kind == CANCEL || f->kind == RELEASE ||
		     f->kind == ADOPT || f->kind == GRANTED;
}

static void clear_link(struct vm *vm, struct link *link)
{
	for (uint8_t i = 0; i < link->n; i++)
		lose(vm, &link->frames[i]);
	memset(link->frames, 0, sizeof(link->frames));
	link->n = 0;
}

static void push(struct vm *vm, struct link *link, struct frame f)
{
	if (vm->dead)
		return;
	if (link->mute) {
		lose(vm, &f);
		return;
	}
	check(link->n < FRAMES_MAX, "too many frames");
	link->frames[link->n++] = f;
}

static struct frame pop(struct link *link)
{
	struct frame f = link->frames[0];

	link->n--;
	memmove(link->frames, link->frames + 1, sizeof(f) * (FRAMES_MAX - 1));
	memset(&link->frames[FRAMES_MAX - 1], 0, sizeof(f));
	return f;
}

static void send_to(struct state *s, uint8_t vm, uint8_t kind)
{
	struct frame f = { kind, s->round, s->origin };

	if (vm == VM_OTHER)
		return;
	if (kind == ASK || kind == CANCEL)
		s->asked[vm] = kind == ASK;
	push(&s->vm[vm], &s->vm[vm].to, f);
}

/* As entry_hedge_step(). */
static uint32_t step(struct state *s, struct dl_hedge_event ev)
{
	uint32_t actions = dl_hedge_step(&s->h, &ev);

	if (actions & DL_HEDGE_CANCEL_FIRST)
		send_to(s, s->first, CANCEL);
	if (actions & DL_HEDGE_CANCEL_SECOND)
		send_to(s, s->second, CANCEL);
	if (actions & DL_HEDGE_PROMOTE) {
		s->unanswered = s->first;
		s->first = s->second;
		if (!(actions & DL_HEDGE_USE))
			s->again = false;
	}
	return actions;
}

static uint32_t step_kind(struct state *s, enum dl_hedge_kind kind)
{
	return step(s, (struct dl_hedge_event){ .kind = kind });
}

static enum dl_hedge_vm role_of(const struct state *s, uint8_t vm)
{
	if (vm == s->first)
		return DL_HEDGE_FIRST;
	if (vm == s->second && s->h.second != DL_HEDGE_NONE)
		return DL_HEDGE_SECOND;
	return DL_HEDGE_OTHER;
}

static void release(struct state *s)
{
	send_to(s, s->first, RELEASE);
	step_kind(s, DL_HEDGE_RELEASED);
}

static void end(struct state *s)
{
	if (s->phase == RUNNING)
		release(s);
	step_kind(s, DL_HEDGE_END);
	s->phase = ENDED;
	s->again = false;
}

/* Asks a VM, or ends the request, which has then been asked for often enough.
 */
static void ask(struct state *s, uint8_t vm)
{
	step_kind(s, DL_HEDGE_RESTART);
	s->again = false;
	if (++s->round == ROUNDS || vm == VM_OTHER) {
		s->round--;
		s->phase = ENDED;
		return;
	}
	s->first = vm;
	step_kind(s, DL_HEDGE_ASK);
	send_to(s, vm, ASK);
}

/* Adds the state that an event leads to. */
static void add(struct state s)
{
	struct dl_hedge h = s.h;
	struct node n = { .parent = current, .label = label };
	GBytes *key;

	/* Without the bytes between the members. */
	memset(&s.h, 0, sizeof(s.h));
	s.h.first = h.first;
	s.h.second = h.second;
	s.h.tried = h.tried;
	s.h.granted = h.granted;
	s.h.unanswered = h.unanswered;
	key = g_bytes_new(&s, sizeof(s));
	if (!g_hash_table_add(visited, key))
		return;
	n.s = s;
	g_array_append_val(nodes, n);
}

static void vm_answers(struct state s, uint8_t v, uint8_t round, uint8_t kind)
{
	struct vm *vm = &s.vm[v];

	vm->queued[round] = kind == QUEUED;
	vm->held[round][v] |= kind == GRANTED;
	push(vm, &vm->from, (struct frame){ kind, round, v });
	add(s);
}

/* A VM reads a frame; it may grant, queue or refuse any request. */
static void vm_reads(struct state s, uint8_t v)
{
	struct frame f = pop(&s.vm[v].to);

	switch (f.kind) {
	case ASK:
		label = v ? "B grants" : "A grants";
		vm_answers(s, v, f.round, GRANTED);
		label = v ? "B queues" : "A queues";
		vm_answers(s, v, f.round, QUEUED);
		label = v ? "B refuses" : "A refuses";
		vm_answers(s, v, f.round, REFUSED);
		return;
	case CANCEL:
		label = v ? "B reads a cancel" : "A reads a cancel";
		s.vm[v].queued[f.round] = false;
		break;
	default:
		label = v ? "B reads a release" : "A reads a release";
		s.vm[v].held[f.round][f.origin] = f.kind == ADOPT;
	}
	add(s);
}

/* The request reads a frame, as entry_grant_answer(). */
static void asker_reads(struct state s, uint8_t v)
{
	struct frame f = pop(&s.vm[v].from);
	struct dl_hedge_event ev = { .vm = role_of(&s, v) };
	bool asked = s.asked[v], refused;
	uint32_t actions = DL_HEDGE_DROP;

	ev.kind = f.kind == GRANTED ? DL_HEDGE_GRANT :
		  f.kind == QUEUED  ? DL_HEDGE_QUEUE :
				      DL_HEDGE_REFUSAL;
	label = f.kind == GRANTED ? (v ? "B's grant" : "A's grant") :
		f.kind == QUEUED  ? (v ? "B's queueing" : "A's queueing") :
				    (v ? "B's refusal" : "A's refusal");
	if (f.round == s.round && s.phase != ENDED) {
		if (f.kind != QUEUED)
			s.asked[v] = false;
		actions = step(&s, ev);
	}
	if (actions & DL_HEDGE_DROP && f.kind == GRANTED)
		push(&s.vm[v], &s.vm[v].to,
		     (struct frame){ RELEASE, f.round, v });
	if (actions & DL_HEDGE_USE) {
		check(s.phase == PENDING, "a second grant is used");
		check(s.first == v, "another VM holds the grant");
		s.phase = RUNNING;
		s.again = false;
		s.origin = v;
	}
	refused = actions & DL_HEDGE_REFUSED;
	check(!(actions & (DL_HEDGE_WAIT | DL_HEDGE_REFUSED)) || asked,
	      "an answer to a cancelled request counts");
	check(!refused || v == s.first, "the second VM's refusal decides");
	if (refused) {
		struct state ended = s;

		end(&ended);
		add(ended);
		s.again = true; /* the VM does not dispatch yet */
	}
	add(s);
}

/*
 * Checks that a request stays with the second VM if that VM has it and
 * dispatches now; it would lose its place in the queue there.
 */
static void check_promoted(const struct state *before,
			   const struct state *after, uint8_t owner)
{
	if (before->h.second != DL_HEDGE_NONE && owner == before->second)
		check(after->first == owner && !after->again &&
			      after->h.first == before->h.second,
		      "the request leaves the VM that dispatches");
}

/* The first VM is late, or its connection is lost; another one dispatches. */
static void moves(struct state s, uint8_t owner)
{
	struct dl_hedge_event ev = { .kind = DL_HEDGE_MOVED,
				     .second_dispatches = owner == s.second };
	const struct state before = s;

	label = "dispatching moves";
	if (step(&s, ev) & DL_HEDGE_ASK_ANEW)
		ask(&s, owner);
	check_promoted(&before, &s, owner);
	add(s);
}

static void connection_lost(struct state s, uint8_t v, uint8_t owner)
{
	struct dl_hedge_event ev = { .kind = DL_HEDGE_LOST,
				     .vm = role_of(&s, v),
				     .second_dispatches = owner == s.second };
	const struct state before = s;

	label = v ? "B's connection is lost" : "A's connection is lost";
	clear_link(&s.vm[v], &s.vm[v].to);
	s.faults += !s.vm[v].dead;
	if (s.phase == PENDING && step(&s, ev) & DL_HEDGE_ASK_LATER)
		s.again = true;
	if (s.phase == PENDING && ev.vm == DL_HEDGE_FIRST)
		check_promoted(&before, &s, owner);
	add(s);
}

static void link_fails(struct state s, uint8_t v, bool to, bool mute)
{
	struct vm *vm = &s.vm[v];
	struct link *link = to ? &vm->to : &vm->from;

	label = mute ? "a link drops frames" : "a connection back is lost";
	clear_link(vm, link);
	link->mute = mute;
	s.faults++;
	add(s);
}

static void vm_dies(struct state s, uint8_t v)
{
	label = v ? "B dies" : "A dies";
	memset(&s.vm[v], 0, sizeof(s.vm[v]));
	s.vm[v].dead = true;
	s.faults++;
	add(s);
}

/* A grant is held while owner dispatches. */
static void held(struct state s, uint8_t owner, bool overdue)
{
	struct dl_hedge_event ev = { .kind = DL_HEDGE_OWNER,
				     .vm = DL_HEDGE_OTHER,
				     .overdue = overdue };
	uint32_t actions;

	label = "another VM dispatches";
	if (owner == s.unanswered)
		ev.vm = DL_HEDGE_SECOND;
	actions = step(&s, ev);
	if (actions & DL_HEDGE_RELEASE_OLD)
		send_to(&s, s.first, RELEASE);
	if (actions & DL_HEDGE_MOVE) {
		s.first = owner;
		send_to(&s, owner, ADOPT);
	}
	add(s);
}

static void visit_pending(const struct state *s)
{
	struct state next = *s;

	if (s->again) {
		label = "asked anew";
		for (uint32_t v = 0; v < VM_COUNT; v++) {
			next = *s;
			ask(&next, v);
			add(next);
		}
	} else {
		for (uint32_t v = 0; v <= VM_OTHER; v++)
			if (v != s->first)
				moves(*s, v);
	}
	if (s->h.first == DL_HEDGE_ASKED && !s->h.tried && !s->again &&
	    s->round == 0) {
		label = "the second VM is asked";
		next = *s;
		next.second = s->first == VM_A ? VM_B : VM_A;
		step_kind(&next, DL_HEDGE_ASK_SECOND);
		send_to(&next, next.second, ASK);
		add(next);
	}
}

static void visit_running(const struct state *s)
{
	struct state next = *s;

	if (s->h.unanswered) {
		for (uint32_t v = 0; v <= VM_OTHER; v++) {
			if (v == s->first)
				continue;
			held(*s, v, false);
			held(*s, v, true);
		}
	}
	label = "the endpoint fails";
	release(&next);
	next.phase = PENDING;
	next.again = true;
	add(next);
}

static void visit_vm(const struct state *s, uint8_t v)
{
	const struct vm *vm = &s->vm[v];

	if (vm->to.n)
		vm_reads(*s, v);
	if (vm->from.n)
		asker_reads(*s, v);
	label = v ? "B grants from its queue" : "A grants from its queue";
	for (uint32_t r = 0; r < ROUNDS; r++)
		if (vm->queued[r])
			vm_answers(*s, v, r, GRANTED);
	if (s->faults < FAULTS_MAX || vm->dead)
		for (uint32_t owner = 0; owner <= VM_OTHER; owner++)
			if (owner != v)
				connection_lost(*s, v, owner);
	if (s->faults == FAULTS_MAX || vm->dead)
		return;
	vm_dies(*s, v);
	link_fails(*s, v, false, false);
	link_fails(*s, v, false, true);
	link_fails(*s, v, true, true);
}

static bool is_quiet(const struct state *s)
{
	for (uint32_t v = 0; v < VM_COUNT; v++)
		if (s->vm[v].to.n || s->vm[v].from.n)
			return false;
	return true;
}

/* What a VM keeps when all frames have been read. */
static void check_quiet_vm(const struct state *s, uint8_t v)
{
	const struct vm *vm = &s->vm[v];

	for (uint32_t r = 0; r < ROUNDS; r++) {
		bool waits = s->phase == PENDING && r == s->round &&
			     s->asked[v];

		check(!vm->queued[r] || waits, "a request stays queued");
		for (uint32_t origin = 0; origin < VM_COUNT; origin++) {
			bool used = s->phase == RUNNING && r == s->round &&
				    origin == s->origin && v == s->first;

			check(vm->held[r][origin] == used,
			      used ? "the grant that is used is not held" :
				     "a grant stays held");
		}
	}
	check(s->phase != PENDING || s->again || s->first != v ||
		      s->h.first != DL_HEDGE_QUEUED || vm->queued[s->round],
	      "a request waits that is not queued");
}

static void visit(const struct state *s)
{
	struct state next = *s;

	label = "waits";
	check(s->phase != PENDING || s->again || s->h.first != DL_HEDGE_NONE,
	      "a request waits that no VM has");
	label = "is quiet";
	for (uint32_t v = 0; v < VM_COUNT; v++) {
		const struct vm *vm = &s->vm[v];

		if (is_quiet(s) && !vm->dead && !vm->lossy && !vm->to.mute &&
		    !vm->from.mute)
			check_quiet_vm(s, v);
	}
	for (uint32_t v = 0; v < VM_COUNT; v++)
		visit_vm(s, v);
	if (s->phase == PENDING)
		visit_pending(s);
	if (s->phase == RUNNING)
		visit_running(s);
	if (s->phase != ENDED) {
		label = "the request ends";
		end(&next);
		add(next);
	}
}

START_TEST(every_order_ends_with_one_grant_at_most)
{
	struct state s;

	nodes = g_array_new(FALSE, FALSE, sizeof(struct node));
	visited = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
					(GDestroyNotify)g_bytes_unref, NULL);
	memset(&s, 0, sizeof(s));
	s.second = s.unanswered = VM_OTHER;
	label = "the first VM is asked";
	step_kind(&s, DL_HEDGE_ASK);
	send_to(&s, VM_A, ASK);
	add(s);
	for (current = 0; current < nodes->len; current++) {
		s = g_array_index(nodes, struct node, current).s;
		visit(&s);
	}
	printf("states: %u\n", nodes->len);
	ck_assert_uint_gt(nodes->len, 10000);
	g_array_free(nodes, TRUE);
	g_hash_table_destroy(visited);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("hedge");
	TCase *tc = tcase_create("hedge");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, every_order_ends_with_one_grant_at_most);
	suite_add_tcase(s, tc);
	return suite_run(s);
}
