#ifndef CELL_CLAIM_TYPES_H
#define CELL_CLAIM_TYPES_H

#include "base/id.h"
#include "cell/ability.h"
#include "cell/handover_rules.h"

#include <stdbool.h>
#include <stdint.h>

/* What a daemon knows of the claim, its holder and the planner before it. */

/* Sent times kept of the last hellos; at 250 ms each they cover 8 s. */
#define CELL_HELLOS 32

/**
 * struct CellClaim - the claim's row as last read from the store
 * @known: the row, or that there is none, has been read
 * @unreadable: the row can't be parsed: the name of a planner is not known
 * @released: the last holder released it and has sent no orders since
 * @successor: of a released claim: the member that should claim first
 * @incarnation: of the holder; 0: no holder
 * @term_count: how many times the claim was taken
 * @predecessors_until_ms: planners before the holder send no orders to workers
 *   after this, on our steady clock
 * @handovers: the last handovers
 */
typedef struct
{
  bool known;
  bool unreadable;
  bool released;
  char name[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  char successor[MUX_NAME_LEN];
  uint64_t incarnation;
  uint64_t version;
  uint32_t term_count;
  int64_t predecessors_until_ms;
  MuxHandovers handovers;
} CellClaim;

/**
 * struct CellHellos - hellos sent to the planner and what they said of the
 * store
 * @number: of the last hello sent
 * @failing_number: of the last one that reported the store as failing; 0: none
 * @acked_number: the last one that the claim's holder has acknowledged; 0:
 *   none
 * @acked_sent_ms: when that one was sent
 * @served_since_ms: from then on the holder has known without a gap that the
 *   store serves this daemon
 * @round_trip_ms: from that hello to its reply, less the wait here
 * @sent_ms: sent times of the last hellos, indexed by number modulo
 *   CELL_HELLOS
 */
typedef struct
{
  uint64_t number;
  uint64_t failing_number;
  uint64_t acked_number;
  int64_t acked_sent_ms;
  int64_t served_since_ms;
  int64_t round_trip_ms;
  int64_t sent_ms[CELL_HELLOS];
} CellHellos;

/**
 * struct CellReplyLatency - how long workers' replies take to reach the
 * planner
 * @count: replies in the running mean @mean_us, up to its window
 * @mean_us: running mean of the time from call to reply
 * @last_ms: when the last reply was processed
 */
typedef struct
{
  uint32_t count;
  int64_t mean_us;
  int64_t last_ms;
} CellReplyLatency;

/**
 * struct CellNeed - the need of planning, computed by the planner
 * @need: as computed or received
 * @planner_sends: the claim's holder sends it, so it takes the members' limits
 * @jobs_milli: running mean of jobs accepted per second, in thousandths
 * @jobs_accepted: jobs accepted since @computed_ms
 * @computed_ms: when @need was last computed
 * @term: in this term
 */
typedef struct
{
  MuxAbilityNeed need;
  bool planner_sends;
  uint32_t jobs_milli;
  uint32_t jobs_accepted;
  int64_t computed_ms;
  uint64_t term;
} CellNeed;

/**
 * struct CellYield - a planner's handovers to members
 * @term: in this term
 * @busy: a commit that hands the claim over is outstanding
 * @after_ms: no check for a better planner before this
 * @impairment: of this planner
 * @reason: of the last handover, and what was known then
 * @successor: member that it was to
 * @own_milli: this daemon's ability
 * @successor_milli: that of the successor
 */
typedef struct
{
  uint64_t term;
  bool busy;
  int64_t after_ms;
  MuxImpairment impairment;
  MuxHandoverReason reason;
  char successor[MUX_NAME_LEN];
  uint32_t own_milli;
  uint32_t successor_milli;
} CellYield;

/**
 * struct CellPredecessor - the planner before this one
 * @name: "" if the claim had been released or had no holder
 * @addr: address at which it listened for other daemons
 * @incarnation: of its process
 * @earlier_until_ms: the planners before it send no orders after this
 * @until_ms: nor does this predecessor
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  uint64_t incarnation;
  int64_t earlier_until_ms;
  int64_t until_ms;
} CellPredecessor;

#endif
