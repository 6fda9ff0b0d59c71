#ifndef SUPPORT_MIXED_CALLERS_H
#define SUPPORT_MIXED_CALLERS_H

#include "base/error.h"
#include "demo/support/jsonl.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * enum MuxMixSort - which of the ways
 */
typedef enum
{
  MUX_MIX_ALL,
  MUX_MIX_LOOKUPS,  /* calls without a key only */
  MUX_MIX_BOOKINGS, /* new keys only, sent elsewhere until they are done */
} MuxMixSort;

/**
 * struct MuxMixOptions - callers that behave in every way that callers do
 *
 * New keyed calls, sent again through other daemons while their fate is open;
 * the same key by another caller while the first still runs, or much later;
 * callers that hang up; calls without a key.
 *
 * @sort: which calls
 * @booking: a class that is not idempotent
 * @lookup: an idempotent one
 * @addrs: "ip:port" of the daemons
 * @addr_count: entries of @addrs
 * @threads: callers at once
 * @tries: submissions of one keyed call at most
 * @give_up_ms: told to the daemon
 * @short_runs: no call takes long
 * @pause_ms: between two calls of a caller, at most
 * @seed: of every choice
 * @log: receives a line per submission
 */
typedef struct
{
  MuxMixSort sort;
  const char *booking;
  const char *lookup;
  const char *const *addrs;
  uint32_t addr_count;
  uint32_t threads;
  uint32_t tries;
  uint32_t give_up_ms;
  bool short_runs;
  uint32_t pause_ms;
  uint64_t seed;
  MuxJsonl *log;
} MuxMixOptions;

/**
 * struct MuxMixTally - submissions by what they were told; calls in all, and
 * those of them whose last submission was not told "done"
 */
typedef struct
{
  uint32_t calls;
  uint32_t not_done;
  uint32_t submissions;
  uint32_t done;
  uint32_t not_run;
  uint32_t unknown;
  uint32_t failed;
  uint32_t none;
} MuxMixTally;

typedef struct MuxMix MuxMix;

/** mux_mix_start() - @options and what it points to must outlive them */
MuxMix *mux_mix_start (const MuxMixOptions *options, MuxError *err);
/** mux_mix_stop() - no new calls; wait for those that stand, and free */
void mux_mix_stop (MuxMix *mix, MuxMixTally *tally);

#endif
