#ifndef CELL_SPEED_CHOICE_H
#define CELL_SPEED_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Chooses between workers of different speeds, for tasks and for gangs.
 *
 * Work that ends in time with a margin on slow workers leaves fast ones free;
 * the later a run would end compared with its deadline, the more a slow worker
 * costs.  Does no I/O and reads no clock: times are relative to now.
 */

/* Speed of the pool's mean, in thousandths of it. */
#define MUX_SPEED_ONE_MILLI 1000
/* Most that mux_speed_cost() returns. */
#define MUX_SPEED_COST_MAX 300000
/* Speeds are told apart in steps of this many thousandths, */
#define MUX_SPEED_BIN_MILLI 50
/* up to this many steps; faster workers are in the last one. */
#define MUX_SPEED_BINS 80

/**
 * struct MuxSpeedPool - capacity of a pool's workers by speed; all zero: no
 *   workers
 * @capacity: sum of the capacity that was added
 * @min_milli: lowest speed added
 * @max_milli: highest speed added
 * @slowest_milli: speed of its slow workers, see mux_speed_pool_finish()
 * @fastest_milli: speed of its fast ones
 * @bin: capacity and the same times speed, by speed
 */
typedef struct
{
  uint64_t capacity;
  uint32_t min_milli;
  uint32_t max_milli;
  uint32_t slowest_milli;
  uint32_t fastest_milli;
  struct
  {
    uint64_t capacity;
    uint64_t times_speed;
  } bin[MUX_SPEED_BINS];
} MuxSpeedPool;

/** mux_speed_pool_add() - add a worker
 * @speed_milli: its speed in thousandths
 * @capacity: in any unit; at least 1 is counted */
void mux_speed_pool_add (MuxSpeedPool *pool,
                         uint32_t speed_milli,
                         uint64_t capacity);
/** mux_speed_pool_finish() - set @slowest_milli and @fastest_milli once all
 * workers were added: mean speeds of the slowest and the fastest workers that
 * have a twentieth of the capacity, so that a single worker does not decide;
 * 1000 for both if there are no workers */
void mux_speed_pool_finish (MuxSpeedPool *pool);
/** mux_speed_pool_is_uneven() - whether speeds differ by a ratio of 1.3, below
 * which estimates of equal workers may differ by chance */
bool mux_speed_pool_is_uneven (const MuxSpeedPool *pool);

/**
 * struct MuxSpeedNeed - what a run needs to end in time
 * @left_ms: time until its deadline; negative: that is over
 * @expected_ms: expected run time at speed one
 * @slowest_milli: speed of the pool's slow workers
 * @fastest_milli: speed of its fast ones
 */
typedef struct
{
  int64_t left_ms;
  uint32_t expected_ms;
  uint32_t slowest_milli;
  uint32_t fastest_milli;
} MuxSpeedNeed;

/**
 * enum MuxSpeedFit - a worker's speed, for one run
 */
typedef enum
{
  MUX_SPEED_ENOUGH,   /* it ends in time, with margin on the pool's slow workers
                         too; or on no worker */
  MUX_SPEED_NEEDED,   /* in time with margin, and slow workers have none */
  MUX_SPEED_TIGHT,    /* in time without margin */
  MUX_SPEED_TOO_SLOW, /* late there, in time on the pool's fast workers */
} MuxSpeedFit;

/** mux_speed_run_ms() - expected run time at that speed */
int64_t mux_speed_run_ms (uint32_t expected_ms, uint32_t speed_milli);
/** mux_speed_in_time_with_margin() - whether a run expected to take @run_ms
 * leaves a quarter of that until @left_ms, as expected times are off by a log
 * standard deviation of 0.2 to 0.3 */
bool mux_speed_in_time_with_margin (int64_t run_ms, int64_t left_ms);
MuxSpeedFit mux_speed_fit (const MuxSpeedNeed *need, uint32_t speed_milli);
/** mux_speed_risk_milli() - rough probability, in thousandths, that a run
 * expected to take @run_ms ends after @left_ms */
uint32_t mux_speed_risk_milli (int64_t run_ms, int64_t left_ms);
/** mux_speed_cost() - cost of running there, 0 to MUX_SPEED_COST_MAX: the risk
 * of being late, and a smaller price for speed that the run does not need */
uint32_t mux_speed_cost (const MuxSpeedNeed *need, uint32_t speed_milli);

/**
 * struct MuxSpeedWait - a task with a free worker that is too slow, and a
 *   faster one that is expected to have room later
 * @free_milli: speed of the free worker
 * @fast_milli: speed of the faster one
 * @opens_ms: time until that one has room
 * @waited_ms: how long the task has waited for speed so far
 */
typedef struct
{
  uint32_t free_milli;
  uint32_t fast_milli;
  int64_t opens_ms;
  int64_t waited_ms;
} MuxSpeedWait;

/** mux_speed_should_wait() - whether the task waits: the faster worker ends it
 * sooner than the free one, and with less risk to be late.  It does not wait
 * for longer in all than what the faster worker saves, so that a forecast that
 * is wrong again and again costs little. */
bool mux_speed_should_wait (const MuxSpeedNeed *need, const MuxSpeedWait *wait);

/**
 * struct MuxSpeedOffer - room for members of a gang at one worker
 * @speed_milli: its speed
 * @tasks: members that fit
 * @at_ms: time until they do
 */
typedef struct
{
  uint32_t speed_milli;
  uint32_t tasks;
  int64_t at_ms;
} MuxSpeedOffer;

/**
 * struct MuxSpeedSet - workers that a gang should use
 * @speed_milli: the least speed among them, at which the gang runs; 0: no set
 *   holds it
 * @start_ms: time until all members have room
 * @end_ms: expected time until it ends
 * @in_time: it is expected to end in time
 * @has_margin: and with margin
 * @is_mixed: some of its workers are faster than that by a ratio of 1.3
 */
typedef struct
{
  uint32_t speed_milli;
  int64_t start_ms;
  int64_t end_ms;
  bool in_time;
  bool has_margin;
  bool is_mixed;
} MuxSpeedSet;

/** mux_speed_set_at() - the set of workers of @least_milli to @most_milli that
 * has room first; its speed is 0 if they don't hold all members
 * @offer: sorted by @at_ms
 * @tasks: members */
MuxSpeedSet mux_speed_set_at (const MuxSpeedOffer *offer,
                              uint32_t count,
                              const MuxSpeedNeed *need,
                              uint32_t tasks,
                              uint32_t least_milli,
                              uint32_t most_milli);
/** mux_speed_choose_set() - the least speed of the workers of a gang: among
 * those at which it ends in time with margin, if possible on workers of even
 * speed, the one at which it starts first, of equal ones the slowest; else the
 * one at which it ends first; if it is late at each, the one at which it starts
 * first
 * @offer: sorted by @at_ms
 * @tasks: members */
MuxSpeedSet mux_speed_choose_set (const MuxSpeedOffer *offer,
                                  uint32_t count,
                                  const MuxSpeedNeed *need,
                                  uint32_t tasks);
/** mux_speed_above() - how far a speed is above @least_milli, in steps of a
 * ratio of 1.3; 0: it is even with it, or below */
uint32_t mux_speed_above (uint32_t speed_milli, uint32_t least_milli);

#endif
