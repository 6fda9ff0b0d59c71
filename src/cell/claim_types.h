#ifndef CELL_CLAIM_TYPES_H
#define CELL_CLAIM_TYPES_H

#include "base/id.h"

#include <stdbool.h>
#include <stdint.h>

/* Who plans, as the daemons of a cell know it. */

/* Greetings of which it is known when they were sent: 8 s of them. */
#define CELL_HELLOS 32

/**
 * struct CellClaim - who plans, as the store says
 * @former_until_ms: planners before the holder order nothing after this
 */
typedef struct
{
  bool known;      /* the row, or its absence, has been read */
  bool unreadable; /* somebody may plan, who can't be told */
  bool released;   /* by its last holder, which ordered nothing from then on */
  char name[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  char successor[MUX_NAME_LEN]; /* of a claim given up: who should take it first
                                 */
  uint64_t incarnation;         /* 0: nobody */
  uint64_t version;
  uint32_t term_count; /* how often it was taken */
  int64_t predecessors_until_ms;
} CellClaim;

/**
 * struct CellGreetings - what a daemon has told the planner of the store
 * @number: of the last greeting
 * @failing_number: of the last one that said that the store fails; 0: none
 * @taken_number: the last one that the holder of the claim has taken; 0: none
 * @taken_sent_ms: when that was sent
 * @served_ms: since then it was surely known at each moment, to the holder,
 * that the store serves this daemon
 * @sent_ms: when each of the last ones was, by their numbers
 */
typedef struct
{
  uint64_t number;
  uint64_t failing_number;
  uint64_t acked_number;
  int64_t acked_sent_ms;
  int64_t served_since_ms;
  int64_t sent_ms[CELL_HELLOS];
} CellHellos;

/**
 * struct CellAnswers - how soon the planner hears of its calls to workers
 * @count: answers that @mean_us is of, as far as they count
 * @mean_us: how long they took, in the mean
 * @last_ms: when the last one was taken
 */
typedef struct
{
  uint32_t count;
  int64_t mean_us;
  int64_t last_ms;
} CellReplyLatency;

/**
 * struct CellFormer - the planner before this one
 * @name: "": the claim was given up, or nobody's
 * @addr: where it listened for other daemons
 * @incarnation: its process
 * @earlier_until_ms: those before it order nothing after this
 * @until_ms: nor does it
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
