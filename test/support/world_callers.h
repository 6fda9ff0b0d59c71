#ifndef SUPPORT_WORLD_CALLERS_H
#define SUPPORT_WORLD_CALLERS_H

#include "support/cell_world.h"

/*
 * Callers of a simulated cluster: submit jobs of one step at a steady rate, or
 * a multiple of it, at the daemons in turn, and record the outcomes.
 */

#define WORLD_CALLS_MAX 4096

/**
 * struct WorldCall - a submitted job
 * @request: call_id of the request
 * @answered_ms: when the response was first seen; 0: not yet
 */
typedef struct
{
  uint64_t request;
  int64_t sent_ms;
  int64_t answered_ms;
} WorldCall;

/**
 * struct WorldCallers - the test sets the fields up to @attempts
 * @every_ms: time between two jobs at the usual rate
 * @tasks: tasks of each job, each of @cpu_milli
 * @attempts: attempts_max of the queue
 * @due_ms: time since the last job, times the multiple of the rate
 */
typedef struct
{
  World *world;
  uint32_t every_ms;
  uint32_t tasks;
  uint32_t cpu_milli;
  uint32_t attempts;
  uint32_t due_ms;
  uint32_t calls;
  WorldCall call[WORLD_CALLS_MAX];
} WorldCallers;

/**
 * struct WorldServed - outcomes of the calls
 * @refused_and_run: refused, but some task was started
 * @late_answers: answered after more than answer_ms, or not at all
 * @in_time: all tasks were done within done_ms
 * @open: accepted, not all tasks are done, and none may have failed
 *   (world_may_fail())
 */
typedef struct
{
  uint32_t calls;
  uint32_t accepted;
  uint32_t refused;
  uint32_t refused_and_run;
  uint32_t late_answers;
  uint32_t in_time;
  uint32_t open;
} WorldServed;

/** world_callers_hand_in() - submits at once what @times the usual rate brings
 * in @ms */
void world_callers_hand_in (WorldCallers *callers, uint32_t times, uint32_t ms);
/** world_burst() - runs the world for @ms while callers submit at @times the
 * usual rate */
void world_burst (WorldCallers *callers, uint32_t times, int64_t ms);
/** world_served() - counts the outcomes of calls sent from @from_ms on, with
 * @answer_ms and @done_ms as bounds */
WorldServed world_served (const WorldCallers *callers,
                          int64_t from_ms,
                          int64_t answer_ms,
                          int64_t done_ms);

#endif
