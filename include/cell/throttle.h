#ifndef CELL_THROTTLE_H
#define CELL_THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Limits the share of new jobs that a planner accepts when its own processor is
 * the bottleneck, whatever room its workers have.  The share falls with the
 * rate at which the planner gets behind and rises again while it keeps up.
 * Does no I/O and reads no clock: times are passed in.
 */

/* Share of all new jobs, in thousandths. */
#define MUX_THROTTLE_FULL_MILLI 1000

/**
 * struct MuxThrottle - share of new jobs that is accepted
 * @share_milli: in thousandths
 * @accepted: jobs that reached the planner since the last update
 * @started: jobs whose first task started since the last update
 * @scanned: steps scanned for the first time since the last update
 * @scan_rate: steps scanned for the first time per second, while others waited
 *   for it
 * @delay_ms: how far the planner was behind at the last update
 * @updated_ms: time of the last update; 0: never
 */
typedef struct
{
  uint32_t share_milli;
  uint32_t accepted;
  uint32_t started;
  uint32_t scanned;
  uint32_t scan_rate;
  int64_t delay_ms;
  int64_t updated_ms;
} MuxThrottle;

/** mux_throttle_reset() - begin a term, in which all jobs are accepted at
 * first */
void mux_throttle_reset (MuxThrottle *throttle, int64_t now_ms);
/**
 * mux_throttle_update() - adapt the share; does nothing if the last update is
 * too recent
 * @delay_ms: how far the planner is behind
 */
void
mux_throttle_update (MuxThrottle *throttle, int64_t now_ms, int64_t delay_ms);
/** mux_throttle_scan_wait_ms() - expected time until a new step is scanned for
 * the first time
 * @unscanned: steps that are to be scanned before it */
int64_t mux_throttle_scan_wait_ms (const MuxThrottle *throttle,
                                   uint32_t unscanned);
/** mux_throttle_share_now() - the share to apply between two updates */
uint32_t mux_throttle_share_now (const MuxThrottle *throttle, int64_t delay_ms);
/**
 * mux_throttle_retry_ms() - delay after which the caller of a job is to retry
 * @seed: any number derived from the job, the same at each try
 * Return: 0 if the job is accepted.
 */
uint32_t mux_throttle_retry_ms (uint32_t share_milli, uint64_t seed);

#endif
