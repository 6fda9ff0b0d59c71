#include "support/world_callers.h"

#include <stdio.h>
#include <string.h>

#define STEP_MS 20
#define ESTIMATE_MS 1000

static void
call_name (char id[MUX_JOB_ID_LEN], uint32_t number)
{
  snprintf (id, MUX_JOB_ID_LEN, "call-%u", number);
}

/* Return: the next daemon that is up; WORLD_CELLS_MAX: none. */
static uint32_t
daemon_for (const WorldCallers *callers)
{
  for (uint32_t i = 0; i < WORLD_CELLS_MAX; i++)
    {
      uint32_t number = (callers->calls + i) % WORLD_CELLS_MAX;
      const WorldCell *cell = &callers->world->cell[number];

      if (cell->cell != NULL && !cell->dead && !cell->frozen)
        return number;
    }
  return WORLD_CELLS_MAX;
}

static void
hand_in (WorldCallers *callers)
{
  uint32_t daemon = daemon_for (callers);
  MuxJobSpec *job;
  char id[MUX_JOB_ID_LEN];

  if (daemon == WORLD_CELLS_MAX || callers->calls == WORLD_CALLS_MAX)
    return;
  job = world_job (1, callers->tasks, callers->cpu_milli);
  job->step[0].estimate_ms = ESTIMATE_MS;
  call_name (id, callers->calls);
  callers->call[callers->calls++]
      = (WorldCall){ world_submit (callers->world, daemon, job, id),
                     callers->world->now_ms, 0 };
}

static void
note_answers (WorldCallers *callers)
{
  for (uint32_t i = 0; i < callers->calls; i++)
    {
      WorldCall *call = &callers->call[i];

      if (call->answered_ms == 0 && callers->world->answered[call->request])
        call->answered_ms = callers->world->now_ms;
    }
}

void
world_callers_hand_in (WorldCallers *callers, uint32_t times, uint32_t ms)
{
  note_answers (callers);
  for (callers->due_ms += times * ms; callers->due_ms >= callers->every_ms;
       callers->due_ms -= callers->every_ms)
    hand_in (callers);
}

void
world_burst (WorldCallers *callers, uint32_t times, int64_t ms)
{
  int64_t end_ms = callers->world->now_ms + ms;

  while (callers->world->now_ms < end_ms)
    {
      world_callers_hand_in (callers, times, STEP_MS);
      world_run (callers->world, STEP_MS);
    }
  note_answers (callers);
}

/* Return: the number of tasks of the job that were done by @by_ms. */
static uint32_t
done_by (const World *world, const char *id, int64_t by_ms)
{
  uint64_t done = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    {
      const WorldStart *start = &world->start[i];

      if (start->ended_ms != 0 && start->ended_ms <= by_ms
          && start->end == MUX_RUN_DONE && strcmp (start->task.job, id) == 0)
        done |= UINT64_C (1) << start->task.index;
    }
  return (uint32_t) __builtin_popcountll (done);
}

static void
count_call (const WorldCallers *callers,
            uint32_t number,
            int64_t answer_ms,
            int64_t done_ms,
            WorldServed *served)
{
  const World *world = callers->world;
  const WorldCall *call = &callers->call[number];
  bool answered = world->answered[call->request];
  MuxResponseOutcome outcome = world->response[call->request].outcome;
  char id[MUX_JOB_ID_LEN];

  call_name (id, number);
  served->calls++;
  served->late_answers += call->answered_ms == 0
                          || call->answered_ms - call->sent_ms > answer_ms;
  served->in_time
      += done_by (world, id, call->sent_ms + done_ms) == callers->tasks;
  if (answered && outcome == MUX_RESPONSE_ACCEPTED)
    {
      served->accepted++;
      served->open += done_by (world, id, world->now_ms) < callers->tasks
                      && !world_may_fail (world, id, callers->attempts);
    }
  else if (answered && outcome == MUX_RESPONSE_REFUSED)
    {
      served->refused++;
      served->refused_and_run += world_starts (world, id) > 0;
    }
}

WorldServed
world_served (const WorldCallers *callers,
              int64_t from_ms,
              int64_t answer_ms,
              int64_t done_ms)
{
  WorldServed served = { 0 };

  for (uint32_t i = 0; i < callers->calls; i++)
    if (callers->call[i].sent_ms >= from_ms)
      count_call (callers, i, answer_ms, done_ms, &served);
  return served;
}
