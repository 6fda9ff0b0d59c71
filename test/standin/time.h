#ifndef STANDIN_TIME_H
#define STANDIN_TIME_H

#include <pthread.h>
#include <stdint.h>
#include <time.h>

/** standin_clock_ms() - a clock of the system in milliseconds */
int64_t standin_clock_ms (clockid_t clock);
/** standin_cond_init() - a condition timed by CLOCK_MONOTONIC */
void standin_cond_init (pthread_cond_t *cond);
/** standin_deadline_in() - for waits on such a condition */
struct timespec standin_deadline_in (int64_t ms);
/** standin_pause_ms() - at once when @ms is 0 */
void standin_pause_ms (uint32_t ms);

#endif
