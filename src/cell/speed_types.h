#ifndef CELL_SPEED_TYPES_H
#define CELL_SPEED_TYPES_H

#include "cell/worker_speed.h"
#include "port/cell.h"

/* Types of the planner's estimate of the workers' speeds. */

/* Pools, and kinds of workers in them, that are told apart; workers of further
 * ones count as average. */
#define CELL_SPEED_POOLS_MAX 32

/**
 * struct CellSpeedGroup - the workers of a pool, or of one kind in it
 * @service: hash of the pool
 * @kind: hash of the kind's name; 0: all workers of the pool
 * @differ: their speeds differ significantly
 * @count: workers observed
 * @known: of these, those whose speeds are known well enough to be compared
 * @sum: of the speeds of the observed ones
 * @prior_log: logarithm of the speed of a worker that was not observed
 */
typedef struct
{
  uint64_t service;
  uint64_t kind;
  bool differ;
  uint32_t count;
  uint32_t known;
  double sum;
  double prior_log;
} CellSpeedGroup;

/* Rows that the speeds of all workers are stored in: of 5,400 workers each
 * holds 27 KB. */
#define CELL_SPEED_ROWS 4

/**
 * struct CellStoredSpeed - speed of a worker as read from the store
 * @hash: of its incarnation's name
 * @speed: the estimate
 */
typedef struct
{
  uint64_t hash;
  MuxWorkerSpeed speed;
} CellStoredSpeed;

/**
 * struct CellSpeedRows - the stored speeds; embedded in CellSpeeds
 * @loaded: all rows were read, or can't be
 * @busy: a call is outstanding
 * @next_ms: no call before this
 * @from: first key of the next page
 * @reads_failed: reads that failed in this term
 * @stored_count: entries of @stored
 * @stored: what was read, sorted by @hash; owned
 * @dirty: bit set of the rows to be written
 */
typedef struct
{
  bool loaded;
  bool busy;
  int64_t next_ms;
  char from[MUX_ROW_NAME_LEN];
  uint32_t reads_failed;
  uint32_t stored_count;
  CellStoredSpeed *stored;
  uint32_t dirty;
} CellSpeedRows;

/**
 * struct CellSpeeds - state of the estimate; embedded in MuxCell
 * @pool_count: used entries of @pool
 * @pool: see struct CellSpeedGroup
 * @rows: the stored speeds
 * @updated_ms: when speeds were last published; 0: not in this term
 */
typedef struct
{
  uint32_t pool_count;
  CellSpeedGroup pool[CELL_SPEED_POOLS_MAX];
  CellSpeedRows rows;
  int64_t updated_ms;
} CellSpeeds;

#endif
