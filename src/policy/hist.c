#include "hist.h"

/* Buckets per octave are 2^SUB_BITS. */
#define SUB_BITS 3u
#define SUBS (1u << SUB_BITS)
/* Number of observations at which all counts are halved. */
#define DECAY_AT 4096u

static uint32_t
bucket_of (uint32_t value)
{
  if (value < SUBS)
    return value;

  uint32_t exp = 31u - (uint32_t) __builtin_clz (value);
  uint32_t sub = value >> (exp - SUB_BITS) & (SUBS - 1);

  return (exp - SUB_BITS + 1) * SUBS + sub;
}

static uint32_t
upper_edge (uint32_t bucket)
{
  if (bucket < SUBS)
    return bucket;

  uint32_t shift = bucket / SUBS - 1;
  uint64_t edge = (uint64_t) (SUBS + bucket % SUBS + 1) << shift;

  return edge > UINT32_MAX ? UINT32_MAX : (uint32_t) edge - 1;
}

static void
decay_half (MuxHist *hist)
{
  hist->count = 0;
  for (uint32_t i = 0; i < MUX_HIST_BUCKETS; i++)
    {
      hist->bucket[i] /= 2;
      hist->count += hist->bucket[i];
    }
}

void
mux_hist_add (MuxHist *hist, uint32_t value, uint32_t times)
{
  hist->bucket[bucket_of (value)] += times;
  hist->count += times;
  if (value > hist->max)
    hist->max = value;
  if (hist->count >= DECAY_AT)
    decay_half (hist);
}

uint32_t
mux_hist_quantile (const MuxHist *hist, uint32_t ppm)
{
  uint64_t rank = ((uint64_t) hist->count * ppm + 999999) / 1000000;
  uint64_t sum = 0;

  for (uint32_t i = 0; i < MUX_HIST_BUCKETS && hist->count > 0; i++)
    {
      sum += hist->bucket[i];
      if (sum >= rank && sum > 0)
        return upper_edge (i) < hist->max ? upper_edge (i) : hist->max;
    }
  return 0;
}

uint32_t
mux_hist_share (const MuxHist *hist, uint32_t value)
{
  uint64_t sum = 0;

  if (hist->count == 0)
    return 1000000;
  for (uint32_t i = 0; i <= bucket_of (value); i++)
    sum += hist->bucket[i];
  return (uint32_t) (sum * 1000000 / hist->count);
}
