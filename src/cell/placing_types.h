#ifndef CELL_PLACING_TYPES_H
#define CELL_PLACING_TYPES_H

#include "cell/speed_choice.h"
#include "model/spec.h"

/* Most pools whose workers' speeds are told apart; those of further pools count
 * as even. */
#define CELL_POOL_SPEEDS_MAX 16
/* Most openings of fast workers that are considered for waiting tasks. */
#define CELL_SPEED_OPENINGS_MAX 256

/**
 * struct CellPoolSpeed - speeds of the workers of a pool
 * @service: hash of its name
 * @is_uneven: they differ; else placement ignores them
 * @differs: the same, while they are counted
 * @speeds: capacity in processors by speed
 */
typedef struct
{
  uint64_t service;
  bool is_uneven;
  bool differs;
  MuxSpeedPool speeds;
} CellPoolSpeed;

/**
 * struct CellSpeedOpening - room that a running task will leave at a worker
 */
typedef struct
{
  int64_t at_ms;
  uint32_t speed_milli;
} CellSpeedOpening;

/**
 * struct CellSpeedSupply - coming openings of faster workers for tasks of one
 *   size, shared by the stages that may wait for them
 * @listed_ms: when they were listed; 0: not yet
 * @service: hash of the pool
 * @size: of the tasks
 * @least_milli: only workers whose speed is above it, and not even with it
 * @count: entries of @opening, sorted by time
 * @pass_ms: planning pass that @taken counts in
 * @taken: entries that tasks wait for in that pass
 */
typedef struct
{
  int64_t listed_ms;
  uint64_t service;
  MuxSize size;
  uint32_t least_milli;
  uint32_t count;
  CellSpeedOpening opening[CELL_SPEED_OPENINGS_MAX];
  int64_t pass_ms;
  uint32_t taken;
} CellSpeedSupply;

/**
 * struct CellPoolSpeeds - speeds of all pools, as the planner places by them;
 *   embedded in MuxCell
 * @next_count_ms: when they are counted again
 * @count: entries of @pool
 */
typedef struct
{
  int64_t next_count_ms;
  uint32_t count;
  CellPoolSpeed pool[CELL_POOL_SPEEDS_MAX];
  CellSpeedSupply supply;
} CellPoolSpeeds;

#endif
