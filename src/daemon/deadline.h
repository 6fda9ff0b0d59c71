#ifndef DAEMON_DEADLINE_H
#define DAEMON_DEADLINE_H

#include <pthread.h>
#include <stdint.h>
#include <time.h>

/** mux_cond_init() - a condition whose timed waits use CLOCK_MONOTONIC */
void mux_cond_init (pthread_cond_t *cond);
/** mux_deadline_after() - for pthread_cond_timedwait() on such a condition */
struct timespec mux_deadline_after (uint32_t ms);

#endif
