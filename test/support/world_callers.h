#ifndef SUPPORT_WORLD_CALLERS_H
#define SUPPORT_WORLD_CALLERS_H

#include "support/cell_world.h"

/*
 * Callers of a fake world that hand in jobs of one step at a steady rate, or at
 * a multiple of it, at the daemons in turn, and keep what becomes of them.
 */

#define WORLD_CALLS_MAX 4096

/**
 * struct WorldCall - a job that was handed in
 * @question: number of the question
 * @sent_ms: when
 * @answered_ms: seen then; 0: not yet
 */
typedef struct
{
  uint64_t request;
  int64_t sent_ms;
  int64_t answered_ms;
} WorldCall;

/**
 * struct WorldCallers - set up by the test as far as the tasks of a job
 * @every_ms: between two jobs at the usual rate
 * @tasks: of each job, each of @cpu_milli
 * @attempts: that the queue's tasks have
 * @due_ms: time that has passed since the last job, times the rate
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
 * struct WorldServed - what became of calls
 * @refused: told that they will not run
 * @refused_and_run: of these, those that ran all the same
 * @late_answers: answered later than the bound asked for, or not at all
 * @in_time: all tasks were done within the bound asked for
 * @open: accepted, not all tasks are done, and none has used up its attempts
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

/** world_callers_hand_in() - what @times the usual rate brings in @ms, now */
void world_callers_hand_in (WorldCallers *callers, uint32_t times, uint32_t ms);
/** world_burst() - let @ms pass at @times the usual rate */
void world_burst (WorldCallers *callers, uint32_t times, int64_t ms);
/** world_served() - of the calls from @from_ms on: answers within @answer_ms,
 * work done within @done_ms */
WorldServed world_served (const WorldCallers *callers,
                          int64_t from_ms,
                          int64_t answer_ms,
                          int64_t done_ms);

#endif
