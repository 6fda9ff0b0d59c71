#ifndef DAEMON_CLOCK_H
#define DAEMON_CLOCK_H

#include <pthread.h>
#include <stdint.h>
#include <time.h>

/** mux_now_ms() - the daemon's clock: CLOCK_BOOTTIME */
int64_t mux_boottime_ms (void);
/** mux_wall_ms() - time of day, for people and for incarnations */
int64_t mux_wall_ms (void);
/** mux_cond_init() - a condition whose timed waits use CLOCK_MONOTONIC */
void mux_cond_init (pthread_cond_t *cond);
/** mux_deadline_after() - for pthread_cond_timedwait() on such a condition */
struct timespec mux_deadline_after (uint32_t ms);

#endif
