#ifndef CELL_FAILED_RUNS_H
#define CELL_FAILED_RUNS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Failed runs of a task or gang, each of which counts once.
 *
 * After a change of planner workers report ends again, in any order, so that
 * the runs which count are kept by number.  Run numbers of a task rise, and
 * most failures are unbroken ranges of them.  Once a planner starts a run no
 * end of a lower one has to be counted any more: such a run has ended and was
 * counted, or its lease is over.  From then on the number of failures is
 * enough.
 */

/* So many failed runs are kept by number while there is memory: an earlier
 * version can read no more, and no other form. */
#define MUX_FAILED_RUNS_LISTED 16

/**
 * struct MuxRunRange - run numbers that follow each other
 */
typedef struct
{
  uint32_t first;
  uint32_t last;
} MuxRunRange;

/**
 * struct MuxFailedRuns - failed runs of a task or gang; all zero: none
 * @count: runs that failed, at most UINT32_MAX
 * @closed_through: no end of a run up to here counts any more
 * @range_count: entries of @range
 * @range_capacity: allocated entries
 * @range: counted runs above @closed_through, in order, with gaps between;
 *   owned
 */
typedef struct
{
  uint32_t count;
  uint32_t closed_through;
  uint32_t range_count;
  uint32_t range_capacity;
  MuxRunRange *range;
} MuxFailedRuns;

/** mux_failed_runs_reserve() - makes room for one more run
 * Return: false if out of memory. */
bool mux_failed_runs_reserve (MuxFailedRuns *failed);
/** mux_failed_runs_add() - counts a run, for which there is room
 * Return: false: its end counts no more. */
bool mux_failed_runs_add (MuxFailedRuns *failed, uint32_t run);
/** mux_failed_runs_append() - sets a range above the others, without counting
 * its runs
 * Return: false if out of memory. */
bool mux_failed_runs_append (MuxFailedRuns *failed, MuxRunRange range);
/** mux_failed_runs_close() - no end of a run up to @through counts any more,
 * and these runs are forgotten
 * @kept: fewer failed runs than this are kept by number, and not closed */
void
mux_failed_runs_close (MuxFailedRuns *failed, uint32_t through, uint32_t kept);
/** mux_failed_runs_bytes() - allocated for the ranges */
uint64_t mux_failed_runs_bytes (const MuxFailedRuns *failed);
void mux_failed_runs_clear (MuxFailedRuns *failed);

#endif
