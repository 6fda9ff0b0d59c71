#include "standin/time.h"

int64_t
standin_clock_ms (clockid_t clock)
{
  struct timespec now;

  clock_gettime (clock, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

struct timespec
standin_deadline_in (int64_t ms)
{
  int64_t at_ms = standin_clock_ms (CLOCK_MONOTONIC) + ms;

  return (struct timespec){ at_ms / 1000, at_ms % 1000 * 1000000 };
}

void
standin_cond_init (pthread_cond_t *cond)
{
  pthread_condattr_t attr;

  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (cond, &attr);
  pthread_condattr_destroy (&attr);
}

void
standin_pause_ms (uint32_t ms)
{
  struct timespec time = { ms / 1000, (long) (ms % 1000) * 1000000 };

  if (ms > 0)
    nanosleep (&time, NULL);
}
