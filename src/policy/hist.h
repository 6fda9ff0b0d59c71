#ifndef POLICY_HIST_H
#define POLICY_HIST_H

#include <stdint.h>

/* 8 buckets per octave: a quantile is at most an eighth too high. */
#define MUX_HIST_BUCKETS 240

/**
 * struct MuxHist - logarithmic histogram in which old observations decay
 * @max: largest observation ever; upper bound of all quantiles
 * @count: sum of all buckets; they are halved when it reaches a bound
 * @bucket: observations by magnitude
 */
typedef struct
{
  uint32_t max;
  uint32_t count;
  uint32_t bucket[MUX_HIST_BUCKETS];
} MuxHist;

void mux_hist_add (MuxHist *hist, uint32_t value, uint32_t times);
/** mux_hist_quantile() - returns the upper edge of the bucket in which the @ppm
 * quantile lies, or the largest observation if that is less; 0 when empty */
uint32_t mux_hist_quantile (const MuxHist *hist, uint32_t ppm);
/** mux_hist_share() - returns the share of observations up to @value, in
 * millionths; 1000000 when empty */
uint32_t mux_hist_share (const MuxHist *hist, uint32_t value);

#endif
