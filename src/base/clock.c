#include "base/clock.h"

#include <time.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000

int64_t
mux_monotonic_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}
