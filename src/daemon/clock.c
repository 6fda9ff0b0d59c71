#include "clock.h"

#define MS_PER_S 1000
#define NS_PER_MS 1000000L
#define NS_PER_S 1000000000L

static int64_t
read_ms (clockid_t clock)
{
  struct timespec t;

  clock_gettime (clock, &t);
  return (int64_t) t.tv_sec * MS_PER_S + t.tv_nsec / NS_PER_MS;
}

/*
 * CLOCK_BOOTTIME advances while the instance is suspended.  With a clock that
 * does not, a resumed daemon would take its leases and grants to be valid
 * although they have expired at the workers.
 */
int64_t
mux_boottime_ms (void)
{
  return read_ms (CLOCK_BOOTTIME);
}

int64_t
mux_wall_ms (void)
{
  return read_ms (CLOCK_REALTIME);
}

void
mux_cond_init (pthread_cond_t *cond)
{
  pthread_condattr_t attr;

  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (cond, &attr);
  pthread_condattr_destroy (&attr);
}

struct timespec
mux_deadline_after (uint32_t ms)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  t.tv_sec += ms / MS_PER_S;
  t.tv_nsec += (long) (ms % MS_PER_S) * NS_PER_MS;
  if (t.tv_nsec >= NS_PER_S)
    {
      t.tv_sec++;
      t.tv_nsec -= NS_PER_S;
    }
  return t;
}
