#include "support/share_load.h"

#include "support/test.h"

#include <stdio.h>
#include <stdlib.h>

#define WORKERS 16
/* A gang of 8 tasks of 4.5 processors for two seconds, and a job of 3 tasks of
 * 4 for half a second, each 170 ms: with 0.83 of the room of 16 workers of 32
 * processors, in shares of an eighth by workspace. */
#define EACH_MS 170
#define GANG_TASKS 8
#define GANG_CPU_MILLI 4500
#define GANG_MS 2000
#define SMALL_MS 500
#define TRIES_MAX 4
#define TRY_FOR_MS 3000
/* Promised: four times the run time and the query, and a second. */
#define GANG_DONE_MS 9000
#define SMALL_DONE_MS 3000
#define BURST_MS 10000
#define DRAIN_MS 12000

const char *const share_workspace_names[SHARE_WORKSPACES]
    = { "ws-a", "ws-b", "ws-c", "ws-d", "ws-e", "ws-f", "ws-g", "ws-h" };

/* Run times of successive jobs, in percent of the declared ones: their
 * logarithms spread by 0.75. */
static const int64_t wild_percent[]
    = { 100, 30, 190, 60, 120, 80, 20, 300, 50, 100, 50 };
#define WILD (sizeof wild_percent / sizeof wild_percent[0])

static void
try_job (ShareLoad *load, ShareJob *job)
{
  MuxJobSpec *spec
      = world_job (1, job->gang ? GANG_TASKS : SHARE_SMALL_TASKS,
                   job->gang ? GANG_CPU_MILLI : SHARE_SMALL_CPU_MILLI);
  uint32_t cell = job->tries++ % SHARE_CELLS;

  while (load->world->cell[cell].dead)
    cell = (cell + 1) % SHARE_CELLS;
  spec->step[0].gang = job->gang;
  spec->step[0].estimate_ms = job->gang ? GANG_MS : SMALL_MS;
  load->world->task_ms = job->gang ? GANG_MS : SMALL_MS;
  if (load->wild)
    load->world->task_ms = load->world->task_ms
                           * wild_percent[(job->number + load->seed) % WILD]
                           / 100;
  job->try_ms = load->world->now_ms;
  job->next_ms = 0;
  job->waits = true;
  world_set_key (load->world, load->world->workspaces != NULL
                                  ? share_workspace_names[job->workspace]
                                  : "");
  job->call = world_submit (load->world, cell, spec, job->id);
}

static void
receive_answer (ShareLoad *load, ShareJob *job)
{
  const MuxResponse *answer = &load->world->response[job->call];

  if (!job->waits || !load->world->answered[job->call])
    return;
  job->waits = false;
  job->accepted = answer->outcome == MUX_RESPONSE_ACCEPTED;
  if (answer->outcome != MUX_RESPONSE_REFUSED)
    return;
  job->answer_ms = load->world->now_ms - job->try_ms;
  if (job->tries < TRIES_MAX
      && load->world->now_ms + answer->retry_ms <= job->sent_ms + TRY_FOR_MS)
    job->next_ms = load->world->now_ms + answer->retry_ms;
}

static void
send_new (ShareLoad *load, uint32_t workspace, bool gang)
{
  ShareJob *job = &load->job[load->count];

  assert_true (load->count < SHARE_JOBS_MAX);
  job->number = load->count;
  snprintf (job->id, sizeof job->id, "job-%u", load->count++);
  job->workspace = workspace;
  job->gang = gang;
  job->sent_ms = load->world->now_ms;
  try_job (load, job);
}

/* Runs the world while each workspace sends @tenths[] / 10 times its usual. */
void
share_load_run (ShareLoad *load, int64_t ms, const uint32_t *tenths)
{
  int64_t end_ms = load->world->now_ms + ms;

  while (load->world->now_ms < end_ms)
    {
      for (uint32_t i = 0; i < SHARE_WORKSPACES; i++)
        for (load->due_us[i] += (int64_t) SHARE_STEP_MS * 100 * tenths[i];
             load->due_us[i] >= (int64_t) EACH_MS * 1000 * SHARE_WORKSPACES;
             load->due_us[i] -= (int64_t) EACH_MS * 1000 * SHARE_WORKSPACES)
          {
            send_new (load, i, true);
            send_new (load, i, false);
          }
      for (uint32_t i = 0; i < load->count; i++)
        {
          ShareJob *job = &load->job[i];

          receive_answer (load, job);
          if (job->next_ms != 0 && load->world->now_ms >= job->next_ms)
            try_job (load, job);
        }
      world_run (load->world, SHARE_STEP_MS);
    }
}

static ShareSum
sum_of (const ShareLoad *load,
        uint32_t workspace,
        int64_t from_ms,
        int64_t to_ms)
{
  ShareSum sum = { 0 };

  for (uint32_t i = 0; i < load->count; i++)
    {
      const ShareJob *job = &load->job[i];
      int64_t done_ms = job->gang ? GANG_DONE_MS : SMALL_DONE_MS;
      bool in_time;

      if (job->workspace != workspace || job->sent_ms < from_ms
          || job->sent_ms >= to_ms)
        continue;
      in_time = world_done_by (load->world, job->id, job->sent_ms + done_ms)
                == (job->gang ? GANG_TASKS : SHARE_SMALL_TASKS);
      sum.sent++;
      sum.accepted += job->accepted;
      sum.in_time += in_time;
      sum.gangs += job->gang;
      sum.gangs_in_time += job->gang && in_time;
      if (job->answer_ms > sum.slowest_refusal_ms)
        sum.slowest_refusal_ms = job->answer_ms;
    }
  return sum;
}

ShareLoad *
share_load_new (bool with_workspaces, bool with_approval)
{
  ShareLoad *load = calloc (1, sizeof *load);

  assert_non_null (load);
  load->world = world_new (SHARE_CELLS, WORKERS);
  load->world->times_at_submit = true;
  if (with_workspaces)
    world_set_workspaces (load->world,
                          world_workspaces (share_workspace_names,
                                            SHARE_WORKSPACES, (MuxQuota){ 0 }));
  if (!with_approval)
    world_skip_approval (load->world);
  world_run (load->world, 5000);
  for (uint32_t i = 0; i < SHARE_WORKSPACES; i++)
    load->due_us[i] = (int64_t) i * EACH_MS * 1000;
  return load;
}

void
share_load_free (ShareLoad *load)
{
  assert_false (world_double_run (load->world));
  assert_int_equal (load->world->over_capacity, 0);
  world_free (load->world);
  free (load);
}

void
share_sum_add (ShareSum *sum, const ShareSum *one)
{
  sum->sent += one->sent;
  sum->accepted += one->accepted;
  sum->in_time += one->in_time;
  sum->gangs += one->gangs;
  sum->gangs_in_time += one->gangs_in_time;
  if (one->slowest_refusal_ms > sum->slowest_refusal_ms)
    sum->slowest_refusal_ms = one->slowest_refusal_ms;
}

static ShareOutcome
share_load_outcome (const ShareLoad *load, int64_t from_ms, int64_t to_ms)
{
  ShareOutcome outcome = { .worst_milli = 1000 };

  outcome.hot = sum_of (load, SHARE_HOT, from_ms, to_ms);
  for (uint32_t i = 0; i < SHARE_WORKSPACES; i++)
    {
      ShareSum sum = sum_of (load, i, from_ms, to_ms);

      if (i == SHARE_HOT || sum.sent == 0)
        continue;
      share_sum_add (&outcome.others, &sum);
      if (sum.in_time * 1000 / sum.sent < outcome.worst_milli)
        outcome.worst_milli = sum.in_time * 1000 / sum.sent;
    }
  return outcome;
}

void
share_outcome_print (const char *what, const ShareOutcome *outcome)
{
  const ShareSum *sum[2] = { &outcome->hot, &outcome->others };

  print_message ("%s; worst of the others %u\n", what, outcome->worst_milli);
  for (uint32_t i = 0; i < 2; i++)
    print_message ("  %s: %u sent, %u accepted, %u in time; gangs %u, %u in "
                   "time; slowest refusal %lld ms\n",
                   i == 0 ? "hot" : "others", sum[i]->sent, sum[i]->accepted,
                   sum[i]->in_time, sum[i]->gangs, sum[i]->gangs_in_time,
                   (long long) sum[i]->slowest_refusal_ms);
}

ShareOutcome
share_load_play (ShareLoad *load,
                 uint32_t hot,
                 uint32_t others,
                 bool lose_planner)
{
  uint32_t usual[SHARE_WORKSPACES];
  uint32_t burst[SHARE_WORKSPACES];
  uint32_t none[SHARE_WORKSPACES] = { 0 };
  int64_t from_ms;
  int64_t to_ms;

  for (uint32_t i = 0; i < SHARE_WORKSPACES; i++)
    {
      usual[i] = others == 0 && i != SHARE_HOT ? 0 : 10;
      burst[i] = i == SHARE_HOT ? hot : others;
    }
  share_load_run (load, SHARE_BEFORE_MS, usual);
  from_ms = load->world->now_ms;
  share_load_run (load, BURST_MS / 2, burst);
  if (lose_planner)
    world_cell_kill (load->world, world_planner (load->world));
  share_load_run (load, BURST_MS / 2, burst);
  to_ms = load->world->now_ms;
  share_load_run (load, DRAIN_MS, none);
  return share_load_outcome (load, from_ms, to_ms);
}
