#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/** mux_monotonic_ms() - CLOCK_MONOTONIC in milliseconds, for timeouts */
int64_t mux_monotonic_ms (void);

#endif
