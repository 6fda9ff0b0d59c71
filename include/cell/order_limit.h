#ifndef CELL_ORDER_LIMIT_H
#define CELL_ORDER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Limits the orders (starts, stops, paces) to workers by the connections that
 * unanswered ones have cost.  Orders to a worker are not limited while fewer
 * than half of the connections that may be given up there are gone.  It is
 * short of connections from then on.  As orders mostly go unanswered at many
 * workers at a time, a gate concerns all that are short: while it is closed a
 * single order to one of them is outstanding, and it opens once several in a
 * row were answered.  Does no I/O and reads no clock: times are passed in.
 */

/**
 * struct MuxOrderGate - all workers that are short of connections.  Zeroed it
 *   is closed.
 * @outstanding: orders to them that are neither answered nor given up
 * @answered: orders answered since the last one that was given up
 * @answered_since_ms: when the first of these was answered
 * @next_ms: no order before this while it is closed
 */
typedef struct
{
  uint32_t outstanding;
  uint32_t answered;
  int64_t answered_since_ms;
  int64_t next_ms;
} MuxOrderGate;

/**
 * struct MuxOrderLimit - orders to one worker.  Zeroed it limits nothing.
 * @gate: of all workers; set by the user
 * @room: connections that may be given up; 0: unlimited
 * @given_up: connections that the worker may still have open for orders that
 *   were given up
 * @forgets: their ends are not known, so that they count for a time each
 * @forgot_ms: with @forgets: when one last stopped counting
 * @outstanding: orders that are neither answered nor given up
 * @gated: those of @outstanding that count in @gate
 * @answered: orders answered since one was given up
 * @lost_ms: when that was
 */
typedef struct
{
  MuxOrderGate *gate;
  uint32_t room;
  uint32_t given_up;
  bool forgets;
  int64_t forgot_ms;
  uint32_t outstanding;
  uint32_t gated;
  uint32_t answered;
  int64_t lost_ms;
} MuxOrderLimit;

/** mux_order_limit_allows() - whether an order about a run that was started
 * may be sent now */
bool mux_order_limit_allows (const MuxOrderLimit *limit, int64_t now_ms);
/** mux_order_limit_allows_start() - whether a run may be started now */
bool mux_order_limit_allows_start (const MuxOrderLimit *limit, int64_t now_ms);
/** mux_order_limit_is_short() - half of the connections that may be given up
 * are gone */
bool mux_order_limit_is_short (const MuxOrderLimit *limit, int64_t now_ms);
/** mux_order_limit_is_used_up() - no more may be given up */
bool mux_order_limit_is_used_up (const MuxOrderLimit *limit, int64_t now_ms);
/** mux_order_limit_set() - the connections were counted
 * @connections_max: that the worker may have open from the daemon that counted
 */
void mux_order_limit_set (MuxOrderLimit *limit,
                          uint32_t connections_max,
                          uint32_t given_up);
/** mux_order_limit_add() - one more was given up, by a daemon that does not
 * tell its count; it refuses by itself what would use them up
 * @connections_max: see mux_order_limit_set() */
void mux_order_limit_add (MuxOrderLimit *limit,
                          int64_t now_ms,
                          uint32_t connections_max);
void mux_order_limit_sent (MuxOrderLimit *limit, int64_t now_ms);
/** mux_order_limit_answered() - an order was answered, whatever the answer */
void mux_order_limit_answered (MuxOrderLimit *limit, int64_t now_ms);
/** mux_order_limit_lost() - an order sent at @sent_ms was given up without an
 * answer */
void
mux_order_limit_lost (MuxOrderLimit *limit, int64_t now_ms, int64_t sent_ms);
/** mux_order_limit_unsent() - an order did not reach the worker */
void mux_order_limit_unsent (MuxOrderLimit *limit);
/** mux_order_limit_close() - the worker is forgotten, and its orders with it */
void mux_order_limit_close (MuxOrderLimit *limit);

#endif
