#include "support/random.h"

uint64_t
mux_random_next (MuxRandom *random)
{
  uint64_t z = random->state += 0x9e3779b97f4a7c15u;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

uint32_t
mux_random_below (MuxRandom *random, uint32_t bound)
{
  return (uint32_t) (((mux_random_next (random) >> 32) * bound) >> 32);
}
