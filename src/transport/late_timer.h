/*
 * Timers that take the silence of a peer for a failure. If the process itself
 * did not run, libuv calls timers before it reads what has arrived meanwhile;
 * such a timer is put off until that has been read.
 */
#ifndef DL_TRANSPORT_LATE_TIMER_H
#define DL_TRANSPORT_LATE_TIMER_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

/* A timer that fires this much late shows that the process did not run. */
#define DL_TIMER_LATE_MS 100

/* Starts a timer for once; *due is when it fires. */
void dl_timer_once(uv_timer_t *timer, uv_timer_cb callback, uint32_t ms,
		   uint64_t *due);
/*
 * Called first when such a timer fires. Returns whether it is late; it then
 * fires again after the next round of reading. It is put off once only: on a
 * busy VM it may be late each time.
 */
bool dl_timer_put_off(uv_timer_t *timer, uv_timer_cb callback, uint64_t *due);

#endif
