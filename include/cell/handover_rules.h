#ifndef CELL_HANDOVER_RULES_H
#define CELL_HANDOVER_RULES_H

#include "base/id.h"

#include <stdbool.h>
#include <stdint.h>

/* When a planner hands the claim over: how long an impairment lasts first, and
 * which handovers the last ones rule out. */

/**
 * enum MuxHandoverReason - why a planner hands the claim over
 */
typedef enum
{
  MUX_HANDOVER_NONE,
  MUX_HANDOVER_ABILITY, /* a member meets much more of the need */
  MUX_HANDOVER_LATE,    /* its events wait for long */
  MUX_HANDOVER_LINK,    /* messages take long on its link */
  MUX_HANDOVER_REASON_COUNT
} MuxHandoverReason;

/* Handovers remembered; two count for the rate. */
#define MUX_HANDOVERS_MAX 4
/* A handover counts for this long, */
#define MUX_HANDOVER_MEMORY_MS 60000
/* in which there are at most so many. */
#define MUX_HANDOVERS_PER_MEMORY 2

/**
 * struct MuxHandover - a handover
 * @from: daemon that handed the claim over
 * @reason: why
 * @at_ms: when, on this daemon's monotonic clock
 */
typedef struct
{
  char from[MUX_NAME_LEN];
  MuxHandoverReason reason;
  int64_t at_ms;
} MuxHandover;

/**
 * struct MuxHandovers - the last handovers, oldest first
 */
typedef struct
{
  uint32_t count;
  MuxHandover item[MUX_HANDOVERS_MAX];
} MuxHandovers;

/**
 * struct MuxImpairmentSigns - signs of an impaired planner
 * @loop_ms: how long its events wait
 * @hello_ms: lower quartile of the round-trip times that the members report,
 * which include the wait in the planner's event loop; 0: unknown
 * @reply_ms: mean latency of the replies to relayed calls; 0: unknown
 * @able: it meets the need of planning; one that doesn't is late by its load,
 *   as another one like it would be, so that its signs have to be stronger
 */
typedef struct
{
  int64_t loop_ms;
  int64_t hello_ms;
  int64_t reply_ms;
  bool able;
} MuxImpairmentSigns;

/**
 * struct MuxImpairment - state of the observation; all zero: not impaired
 * @updated_ms: last update; 0: none
 * @loop_ms: running mean of the signs' @loop_ms
 * @link_ms: of the time spent on the link
 * @since_ms: by reason, since when there are signs of it; 0: there are none
 */
typedef struct
{
  int64_t updated_ms;
  int64_t loop_ms;
  int64_t link_ms;
  int64_t since_ms[MUX_HANDOVER_REASON_COUNT];
} MuxImpairment;

/** mux_handover_reason_name() - as in logs and rows */
const char *mux_handover_reason_name (MuxHandoverReason reason);
/** mux_handover_reason_parse() - NULL or an unknown name: MUX_HANDOVER_NONE */
MuxHandoverReason mux_handover_reason_parse (const char *name);
/** mux_handovers_add() - records one, and drops the oldest if there are too
 * many */
void mux_handovers_add (MuxHandovers *handovers, const MuxHandover *handover);
/** mux_handovers_allow() - whether the planner may hand over for @reason now:
 * there were few handovers lately, and it did not itself get the claim for the
 * same reason, which shows that the instance is not the cause */
bool mux_handovers_allow (const MuxHandovers *handovers,
                          MuxHandoverReason reason,
                          int64_t now_ms);
/** mux_handovers_exclude() - whether @name handed the claim over for @reason
 * lately and so can't take it for the same */
bool mux_handovers_exclude (const MuxHandovers *handovers,
                            const char *name,
                            MuxHandoverReason reason,
                            int64_t now_ms);
/** mux_impairment_update() - takes the signs, some times a second
 * Return: the impairment that has lasted for several seconds. */
MuxHandoverReason mux_impairment_update (MuxImpairment *impairment,
                                         int64_t now_ms,
                                         const MuxImpairmentSigns *signs);

#endif
