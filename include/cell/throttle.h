#ifndef CELL_THROTTLE_H
#define CELL_THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Overload control for a planner whose processor binds, whatever room its
 * workers have: the share of new jobs that it takes.  The share falls with the
 * rate at which it gets behind, and rises again while it keeps up.  No I/O and
 * no clock: times are passed in.
 */

/* All new jobs, in thousandths. */
#define MUX_THROTTLE_FULL_MILLI 1000

/**
 * struct MuxThrottle - share of new jobs that is taken
 * @share_milli: in thousandths
 * @taken: jobs that came to the planner since the last update
 * @begun: jobs whose first task began since then
 * @looked: steps that it looked at for the first time since then
 * @rate: of these in a second, while others waited for it
 * @delay_ms: how far it was behind at the last update
 * @updated_ms: when that was; 0: never
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

/** mux_throttle_reset() - a term begins: all are taken */
void mux_throttle_reset (MuxThrottle *throttle, int64_t now_ms);
/**
 * mux_throttle_update() - some time has passed
 * @delay_ms: how far the planner is behind
 */
void
mux_throttle_update (MuxThrottle *throttle, int64_t now_ms, int64_t delay_ms);
/** mux_throttle_turn_ms() - how long a new step waits until it is looked at
 * @unlooked: steps before it */
int64_t mux_throttle_scan_wait_ms (const MuxThrottle *throttle,
                                   uint32_t unlooked);
/** mux_throttle_share_now() - the share as it is between two updates */
uint32_t mux_throttle_share_now (const MuxThrottle *throttle, int64_t delay_ms);
/**
 * mux_throttle_retry_ms() - when a job is to come again
 * @spread: any number of the job, the same at each try
 * Return: 0: it is taken.
 */
uint32_t mux_throttle_retry_ms (uint32_t share_milli, uint64_t spread);

#endif
