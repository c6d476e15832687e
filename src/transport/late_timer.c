/* Timers for the silence of a peer; see the header. */
#include "transport/late_timer.h"

void dl_timer_once(uv_timer_t *timer, uv_timer_cb callback, uint32_t ms,
		   uint64_t *due)
{
	*due = uv_now(timer->loop) + ms;
	uv_timer_start(timer, callback, ms, 0);
}

bool dl_timer_put_off(uv_timer_t *timer, uv_timer_cb callback, uint64_t *due)
{
	if (uv_now(timer->loop) < *due + DL_TIMER_LATE_MS)
		return false;
	/* With 0 ms it would fire in the same round of timers. */
	dl_timer_once(timer, callback, 1, due);
	return true;
}
