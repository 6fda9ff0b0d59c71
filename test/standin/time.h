#ifndef STANDIN_TIME_H
#define STANDIN_TIME_H

#include <pthread.h>
#include <stdint.h>
#include <time.h>

/** standin_clock_ms() - reads a system clock in milliseconds */
int64_t standin_clock_ms (clockid_t clock);
/** standin_cond_init() - initializes a condition variable whose time-outs use
 * CLOCK_MONOTONIC */
void standin_cond_init (pthread_cond_t *cond);
/** standin_deadline_in() - returns the time-out for such a condition variable
 */
struct timespec standin_deadline_in (int64_t ms);
/** standin_pause_ms() - sleeps for @ms; returns at once if that is 0 */
void standin_pause_ms (uint32_t ms);

#endif
