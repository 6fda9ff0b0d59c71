#ifndef DAEMON_CLOCK_H
#define DAEMON_CLOCK_H

#include <pthread.h>
#include <stdint.h>
#include <time.h>

/** mux_boottime_ms() - CLOCK_BOOTTIME, for leases and other deadlines */
int64_t mux_boottime_ms (void);
/** mux_wall_ms() - CLOCK_REALTIME, for logs, histories and incarnations */
int64_t mux_wall_ms (void);
/** mux_cond_init() - initialize a condition that waits by CLOCK_MONOTONIC */
void mux_cond_init (pthread_cond_t *cond);
/** mux_deadline_after() - deadline for pthread_cond_timedwait()
 * The condition is one that mux_cond_init() has initialized. */
struct timespec mux_deadline_after (uint32_t ms);

#endif
