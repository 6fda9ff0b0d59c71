#ifndef SUPPORT_RANDOM_H
#define SUPPORT_RANDOM_H

#include <stdint.h>

/**
 * struct MuxRandom - seeded generator (SplitMix64); same seed, same numbers
 * @state: initially the seed
 */
typedef struct
{
  uint64_t state;
} MuxRandom;

uint64_t mux_random_next (MuxRandom *random);
/** mux_random_below() - returns a number below @bound, which is not 0 */
uint32_t mux_random_below (MuxRandom *random, uint32_t bound);

#endif
