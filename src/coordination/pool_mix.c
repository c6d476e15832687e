/*
 * Forecast of the mix of prompts.
 *
 * Load: waves of light prompts (never split, up to 60 ms of prefill) and of
 * heavy ones, at different moments in different failure domains.  Harm: streams
 * of light prompts that are consolidated begin later than necessary while no
 * heavy prompt needs the free engines, and a domain whose engines are full
 * keeps its streams while others have room.
 */
#include "pool_mix.h"

#include <math.h>
#include <stddef.h>

/*
 * Time constants of the means.  The difference of both, over the difference of
 * their lags, is the slope of a ramp.
 */
#define FAST_MS 1000.0
#define SLOW_MS 8000.0
/* Shorter histories give no usable level: the constants apply. */
#define HISTORY_MS 2000
/* A decline of heavy work is followed this late; it may be a gap in a wave. */
#define DECLINE_MS 3000
/*
 * Heavy work, in engines' time over all engines, from which streams are
 * consolidated in full.  In simulated loads, prompts of 45,000 tokens that took
 * 4% of the time of the engines lost 4% to 12% of their answers in time when
 * streams were spread.
 */
#define HEAVY_SHARE 0.02
/* Share of the slots that streams of light prompts may fill in a domain. */
#define LIGHT_SLOTS_SHARE 0.75
#define REMOTE_SHARE_MIN  0.25
/* Work of one request; bounds what a malformed size can add. */
#define WORK_MAX_MS 1e6

static void flow_add(struct pool_mix_flow *flow, double work, int64_t now);
static double flow_forecast(const struct pool_mix *mix,
			    const struct pool_mix_flow *flow,
			    uint32_t horizon_ms, int64_t now);
static const struct pool_mix_flow *find_light(const struct pool_mix *mix,
					      uint64_t domain);
static void note_begin(struct pool_mix *mix, int64_t now);

static void flow_add(struct pool_mix_flow *flow, double work, int64_t now)
{
	double passed = now > flow->at ? (double)(now - flow->at) : 0;

	work = work > 0 ? fmin(work, WORK_MAX_MS) : 0;
	flow->fast = flow->fast * exp(-passed / FAST_MS) + work / FAST_MS;
	flow->slow = flow->slow * exp(-passed / SLOW_MS) + work / SLOW_MS;
	flow->at = now;
}

/*
 * Forecast of a flow: the level of the fast mean, moved by the slope over its
 * lag and the horizon.  The means are corrected for the time before the first
 * request, which would otherwise count as time without work.
 */
static double flow_forecast(const struct pool_mix *mix,
			    const struct pool_mix_flow *flow,
			    uint32_t horizon_ms, int64_t now)
{
	double passed = now > flow->at ? (double)(now - flow->at) : 0;
	double age =
		mix->seen && now > mix->since ? (double)(now - mix->since) : 1;
	double fast =
		flow->fast * exp(-passed / FAST_MS) / (1 - exp(-age / FAST_MS));
	double slow =
		flow->slow * exp(-passed / SLOW_MS) / (1 - exp(-age / SLOW_MS));
	double slope = (fast - slow) / (SLOW_MS - FAST_MS);

	return fmax(0, fast + slope * (FAST_MS + horizon_ms));
}

static const struct pool_mix_flow *find_light(const struct pool_mix *mix,
					      uint64_t domain)
{
	for (uint32_t i = 0; i < mix->domains; i++) {
		if (mix->domain[i].domain == domain)
			return &mix->domain[i].light;
	}
	return NULL;
}

static void note_begin(struct pool_mix *mix, int64_t now)
{
	if (mix->seen)
		return;
	mix->seen = true;
	mix->since = now;
}

/* Counts a requested prompt that keeps engines busy for this long in total. */
void pool_mix_add_heavy(struct pool_mix *mix, double engine_ms, int64_t now)
{
	note_begin(mix, now);
	flow_add(&mix->heavy, engine_ms, now);
}

/*
 * Counts a requested stream that holds a slot for this long.  Domains beyond
 * POOL_MIX_DOMAINS are not counted.
 */
void pool_mix_add_light(struct pool_mix *mix, uint64_t domain, double stream_ms,
			int64_t now)
{
	struct pool_mix_flow *flow =
		(struct pool_mix_flow *)find_light(mix, domain);

	note_begin(mix, now);
	if (!flow && mix->domains < POOL_MIX_DOMAINS) {
		mix->domain[mix->domains].domain = domain;
		flow = &mix->domain[mix->domains++].light;
	}
	if (flow)
		flow_add(flow, stream_ms, now);
}

/* Engines that heavy prompts are forecast to keep busy. */
double pool_mix_heavy(const struct pool_mix *mix, uint32_t horizon_ms,
		      int64_t now)
{
	return flow_forecast(mix, &mix->heavy, horizon_ms, now);
}

/* Streams of light prompts that are forecast for callers of a domain. */
double pool_mix_light(const struct pool_mix *mix, uint64_t domain,
		      uint32_t horizon_ms, int64_t now)
{
	const struct pool_mix_flow *flow = find_light(mix, domain);

	return flow ? flow_forecast(mix, flow, horizon_ms, now) : 0;
}

/* Streams of light prompts that are forecast for callers of all domains. */
double pool_mix_light_all(const struct pool_mix *mix, uint32_t horizon_ms,
			  int64_t now)
{
	double sum = 0;

	for (uint32_t i = 0; i < mix->domains; i++)
		sum += flow_forecast(mix, &mix->domain[i].light, horizon_ms,
				     now);
	return sum;
}

/*
 * Streams that an engine should carry before the next one is used, 0 to
 * POOL_MIX_STREAMS_MAX.  Growth of heavy work is followed at once, since
 * engines are handed over only as their streams end; its decline only after
 * DECLINE_MS.
 */
double pool_mix_streams(struct pool_mix *mix, uint32_t engines,
			uint32_t horizon_ms, int64_t now)
{
	double heavy, share;

	mix->streams = POOL_MIX_STREAMS_MAX;
	if (!horizon_ms || !engines || !mix->seen ||
	    now - mix->since < HISTORY_MS)
		return mix->streams;
	heavy = pool_mix_heavy(mix, horizon_ms, now);
	if (heavy >= mix->heavy_held ||
	    now - mix->heavy_held_at >= DECLINE_MS) {
		mix->heavy_held = heavy;
		mix->heavy_held_at = now;
	}
	share = mix->heavy_held / engines / HEAVY_SHARE;
	mix->streams = POOL_MIX_STREAMS_MAX * fmin(share, 1);
	return mix->streams;
}

/*
 * Share of the preference for the own domain that remains: less than 1 while
 * more streams are forecast for it than its engines can bear and the other
 * domains have room.
 */
double pool_mix_remote_share(const struct pool_mix *mix,
			     const struct pool_mix_room *room,
			     uint32_t horizon_ms, int64_t now)
{
	double own = room->own_slots * LIGHT_SLOTS_SHARE;
	double others = 0, streams;

	if (!horizon_ms || !mix->seen || now - mix->since < HISTORY_MS)
		return 1;
	streams = pool_mix_light(mix, room->domain, horizon_ms, now);
	if (streams <= own)
		return 1;
	for (uint32_t i = 0; i < mix->domains; i++) {
		if (mix->domain[i].domain != room->domain)
			others += flow_forecast(mix, &mix->domain[i].light,
						horizon_ms, now);
	}
	if (others >= room->other_slots * LIGHT_SLOTS_SHARE)
		return 1;
	return fmax(REMOTE_SHARE_MIN, own / streams);
}
