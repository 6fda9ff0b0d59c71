#ifndef CELL_CANCEL_AGE_H
#define CELL_CANCEL_AGE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides whether a planner knows of cancels recently enough to start tasks.
 *
 * Addresses the planner behind a saturated link or with an overloaded
 * processor: it learns of a cancel seconds after another daemon acknowledged
 * it, and a start that it sends takes as long to reach its worker.
 *
 * A cancel that the planner does not know of was committed at most the age of
 * its knowledge ago. The next reply of the feed shows it after the feed's
 * delay, and the stop that follows reaches the worker after an order's delay.
 * The sum of the three must stay below the bound for the cancel; the bound for
 * the stop is the worker's own. Does no I/O and reads no clock.
 */

/* A cancelled task is told to stop within this time after the cancel was
 * acknowledged: cancel_ms of the platform. */
#define MUX_CANCEL_BOUND_MS 4000

/**
 * struct MuxDelay - running estimate of a delay; all zero: nothing was observed
 * @mean_us: of the last delays
 * @deviation_us: mean of their absolute deviations from it
 * @count: delays in both, up to their window
 * @observed_ms: time of the last one
 */
typedef struct
{
  int64_t mean_us;
  int64_t deviation_us;
  uint32_t count;
  int64_t observed_ms;
} MuxDelay;

/**
 * struct MuxCancelAge - what a planner knows of cancels, and how late
 * @age_ms: all cancels that were committed longer ago than this are known
 * @feed_ms: delay from a cancel's commit to its arrival here
 * @order_ms: delay from an order's sending to its arrival at a worker
 */
typedef struct
{
  int64_t age_ms;
  int64_t feed_ms;
  int64_t order_ms;
} MuxCancelAge;

/**
 * mux_delay_add() - observe a delay that is only known to be within a range
 *
 * A reply that was held back until something changed has a delay between 0 and
 * the whole time it took; the value nearest to the mean so far counts.
 *
 * @least_ms: lower end of the range; a negative one counts as 0
 * @most_ms: upper end, not below the lower one
 */
void mux_delay_add (MuxDelay *delay,
                    int64_t now_ms,
                    int64_t least_ms,
                    int64_t most_ms);
/** mux_delay_ms() - a delay that few of the next ones exceed: mean and four
 * mean deviations
 * Return: 0: nothing was observed. */
int64_t mux_delay_ms (const MuxDelay *delay);
/** mux_cancel_stop_ms() - upper estimate of the time from an unknown cancel
 * until the stop of a task started now reaches its worker */
int64_t mux_cancel_stop_ms (const MuxCancelAge *known);
/** mux_cancel_allows_start() - whether that is within the bound */
bool mux_cancel_allows_start (const MuxCancelAge *known);

#endif
