/* Timers for the silence of a peer; see the header. */
#include "transport/late_timer.h"

/* Instead of the time at which a timer fires: it was put off already. */
#define PUT_OFF UINT64_MAX

void dl_timer_once(uv_timer_t *timer, uv_timer_cb callback, uint32_t ms,
		   uint64_t *due)
{
	*due = uv_now(timer->loop) + ms;
	uv_timer_start(timer, callback, ms, 0);
}

bool dl_timer_put_off(uv_timer_t *timer, uv_timer_cb callback, uint64_t *due)
{
	if (*due == PUT_OFF || uv_now(timer->loop) < *due + DL_TIMER_LATE_MS)
		return false;
	/* With 0 ms it would fire in the same round of timers. */
	dl_timer_once(timer, callback, 1, due);
	*due = PUT_OFF;
	return true;
}
