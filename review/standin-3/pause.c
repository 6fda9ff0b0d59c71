/* mux_pause_ms() of demo/support, whose other parts are not needed here. */
#include "demo/support/callers.h"

#include <time.h>

void
mux_pause_ms (uint32_t ms)
{
  struct timespec time
      = { .tv_sec = ms / 1000, .tv_nsec = (long) (ms % 1000) * 1000000 };

  (void) nanosleep (&time, NULL);
}
