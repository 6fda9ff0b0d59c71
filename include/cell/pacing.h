#ifndef CELL_PACING_H
#define CELL_PACING_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Chooses the pace at which the best-effort tasks of a worker may work, so
 * that the tasks that serve requests there stay below the targets of their
 * tails.
 *
 * The load that it answers: the tail grows with the work of the best-effort
 * tasks beside it, by an amount that is not known, that differs by task and
 * changes within seconds.  The pace is cut at once and given back in steps;
 * the rise of the tail for a percent of the pace is estimated from two paces
 * in a row.  What serving tasks cause themselves is not their neighbours'
 * doing: at a pace of 0 nothing is left to cut.
 */

/* Pace at which a run starts, in percent of its speed. */
#define MUX_PACING_FULL 100

/**
 * struct MuxPacing - state for one worker; see mux_pacing_init()
 * @is_known: @percent is in force; else the runs' paces are not known, as a
 *   predecessor may have changed them
 * @percent: pace that the tasks may work at, 0 to MUX_PACING_FULL
 * @has_last: the two fields below are set
 * @last_percent: pace at the last observation
 * @last_tail: tail then, in percent of the target
 * @rise_milli: rise of the tail, in thousandths of a percent of the target, for
 *   a percent of the pace; 0: not known
 * @raise_after_ms: the pace is not raised before this
 */
typedef struct
{
  bool is_known;
  uint32_t percent;
  bool has_last;
  uint32_t last_percent;
  uint32_t last_tail;
  uint32_t rise_milli;
  int64_t raise_after_ms;
} MuxPacing;

/** mux_pacing_init() - all runs work at the pace at which they start */
void mux_pacing_init (MuxPacing *pacing);
/** mux_pacing_forget() - the runs' paces are not known */
void mux_pacing_forget (MuxPacing *pacing);
/** mux_pacing_observe() - chooses the pace anew
 * @tail_percent: tail of the serving task that is nearest to its target, in
 *   percent of it, at the pace chosen last
 * @now_ms: on a monotonic clock
 * Return: whether the pace is another one than before. */
bool
mux_pacing_observe (MuxPacing *pacing, uint32_t tail_percent, int64_t now_ms);

/** mux_pacing_idle() - no best-effort task works there: the tail is that of the
 * serving tasks alone, and the pace chosen is for a task that starts */
void mux_pacing_idle (MuxPacing *pacing, uint32_t tail_percent);

#endif
