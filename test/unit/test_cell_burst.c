#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

/* Many times the traffic that the cell serves: what callers get meanwhile,
 * and how soon the usual service is back. */

#define CELLS 3
#define WORKERS 16
#define TASK_MS 1000
/* A job of 4 tasks of 8 processors each 70 ms, every tenth one of 16: with
 * 0.92 of the room of 16 workers of 32 processors, for a second each. */
#define EACH_US INT64_C (83000)
#define TASKS 4
#define WIDE_TASKS 16
#define WIDE_EACH 10
#define CPU_MILLI 8000
/* The queue's target is five seconds, of which the run takes a part. */
#define IN_TIME_MS 4000
#define STEP_MS 10
#define BEFORE_MS 6000
#define BURST_MS 10000
#define AFTER_MS 24000
#define SETTLED_MS 4000
#define SHORT_BURST_MS 500
/* A refused caller gives up after this many tries. */
#define TRIES_MAX 4
#define JOBS_MAX 2048
#define AT_ONCE_MS 50
/* A planner silent for this long gets no requests and is not yet replaced. */
#define SILENT_PLANNER_MS 900

typedef struct
{
  char id[MUX_JOB_ID_LEN];
  bool wide;
  int64_t sent_ms; /* first try */
  int64_t last_try_ms;
  int64_t next_ms; /* next try; 0: none */
  uint32_t tries;
  uint64_t call;
  bool waits;
  bool accepted;
  bool slow; /* refused after more than AT_ONCE_MS */
} Job;

typedef struct
{
  World *world;
  int64_t began_ms;
  uint32_t count;
  Job job[JOBS_MAX];
} Play;

/* Outcome of the jobs first submitted within some time. */
typedef struct
{
  uint32_t sent;
  uint32_t accepted;
  /* Begun in time, counted from the accepted try. */
  uint32_t in_time_after_retry;
  uint32_t in_time;
  uint32_t wide;
  uint32_t wide_in_time;
} Sum;

static void
try_job (Play *play, Job *job)
{
  MuxJobSpec *spec = world_job (1, job->wide ? WIDE_TASKS : TASKS, CPU_MILLI);
  uint32_t cell = job->tries++ % CELLS;

  if (play->world->cell[cell].dead)
    cell = (cell + 1) % CELLS;
  spec->step[0].estimate_ms = TASK_MS;
  job->last_try_ms = play->world->now_ms;
  job->next_ms = 0;
  job->waits = true;
  job->call = world_submit (play->world, cell, spec, job->id);
}

static void
receive_answer (Play *play, Job *job)
{
  const MuxResponse *answer = &play->world->response[job->call];

  if (!job->waits || !play->world->answered[job->call])
    return;
  job->waits = false;
  job->accepted = answer->outcome == MUX_RESPONSE_ACCEPTED;
  if (answer->outcome != MUX_RESPONSE_REFUSED)
    return;
  job->slow |= play->world->now_ms - job->last_try_ms > AT_ONCE_MS;
  if (job->tries < TRIES_MAX)
    job->next_ms = play->world->now_ms + answer->retry_ms;
}

static void
send_new (Play *play)
{
  Job *job;

  assert_true (play->count < JOBS_MAX);
  job = &play->job[play->count];
  snprintf (job->id, sizeof job->id, "job-%u", play->count);
  job->wide = play->count++ % WIDE_EACH == 0;
  job->sent_ms = play->world->now_ms;
  try_job (play, job);
}

/* Jobs arrive @tenths / 10 times as fast as the cell serves them. */
static void
play_for (Play *play, int64_t ms, int64_t tenths)
{
  int64_t begin_ms = play->world->now_ms;
  uint32_t before = play->count;

  while (play->world->now_ms < begin_ms + ms)
    {
      int64_t due
          = (play->world->now_ms - begin_ms) * 1000 * tenths / (10 * EACH_US);

      while (play->count - before < due)
        send_new (play);
      for (uint32_t i = 0; i < play->count; i++)
        {
          Job *job = &play->job[i];

          receive_answer (play, job);
          if (job->next_ms != 0 && play->world->now_ms >= job->next_ms)
            try_job (play, job);
        }
      world_run (play->world, STEP_MS);
    }
}

static Sum
sum_of (const Play *play, int64_t from_ms, int64_t to_ms)
{
  Sum sum = { 0 };

  for (uint32_t i = 0; i < play->count; i++)
    {
      const Job *job = &play->job[i];
      int64_t at_ms = job->sent_ms - play->began_ms;
      int64_t start_ms = world_first_start_ms (play->world, job->id);
      bool in_time = job->accepted && start_ms <= job->sent_ms + IN_TIME_MS;

      if (at_ms < from_ms || at_ms >= to_ms)
        continue;
      sum.sent++;
      sum.accepted += job->accepted;
      sum.in_time_after_retry
          += job->accepted && start_ms <= job->last_try_ms + IN_TIME_MS;
      sum.in_time += in_time;
      sum.wide += job->wide;
      sum.wide_in_time += job->wide && in_time;
    }
  return sum;
}

/* Tasks of the jobs whose last try was within some time and that began in
 * time from then on: callers refused in the burst retry after it. */
static uint32_t
served_tasks (const Play *play, int64_t from_ms, int64_t to_ms)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < play->count; i++)
    {
      const Job *job = &play->job[i];
      int64_t at_ms = job->last_try_ms - play->began_ms;
      bool in_time = job->accepted
                     && world_first_start_ms (play->world, job->id)
                            <= job->last_try_ms + IN_TIME_MS;

      if (in_time && at_ms >= from_ms && at_ms < to_ms)
        n += job->wide ? WIDE_TASKS : TASKS;
    }
  return n;
}

static uint32_t
slow_refusals (const Play *play)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < play->count; i++)
    n += play->job[i].slow;
  return n;
}

static Play *
begin (void)
{
  Play *play = calloc (1, sizeof *play);

  assert_non_null (play);
  play->world = world_new (CELLS, WORKERS);
  world_run (play->world, 1000);
  play->world->task_ms = TASK_MS;
  play->began_ms = play->world->now_ms;
  return play;
}

static void
finish (Play *play)
{
  world_free (play->world);
  free (play);
}

static void
print (const char *what, const Sum *sum)
{
  print_message ("%s: %u sent, %u accepted, %u in time from then on, %u from "
                 "the first try; wide %u, %u in time\n",
                 what, sum->sent, sum->accepted, sum->in_time_after_retry,
                 sum->in_time, sum->wide, sum->wide_in_time);
}

/* What is served at ten tenths is the reference for all the others. */
static uint32_t
in_time_of_usual (int64_t from_ms, int64_t to_ms)
{
  return (uint32_t) ((to_ms - from_ms) * 1000 / EACH_US);
}

static uint32_t
in_time_tasks_of_usual (int64_t from_ms, int64_t to_ms)
{
  return in_time_of_usual (from_ms, to_ms)
         * (WIDE_TASKS + (WIDE_EACH - 1) * TASKS) / WIDE_EACH;
}

static void
expect_burst (const Sum *burst)
{
  assert_true (burst->in_time * 10 >= in_time_of_usual (0, BURST_MS) * 9);
  assert_true (burst->in_time_after_retry * 10 >= burst->accepted * 9);
  /* At least half as often as all. */
  assert_true (2 * burst->wide_in_time * burst->sent
               >= burst->in_time * burst->wide);
}

static void
play_burst (int64_t tenths, bool lost)
{
  Play *play = begin ();
  int64_t after_ms = BEFORE_MS + BURST_MS + SETTLED_MS;
  int64_t end_ms = BEFORE_MS + BURST_MS + AFTER_MS - IN_TIME_MS;
  Sum before;
  Sum burst;
  uint32_t after;

  play_for (play, BEFORE_MS, 10);
  play_for (play, BURST_MS / 2, tenths);
  if (lost)
    world_cell_kill (play->world, world_planner (play->world));
  play_for (play, BURST_MS / 2, tenths);
  play_for (play, AFTER_MS, 10);
  before = sum_of (play, 0, BEFORE_MS);
  burst = sum_of (play, BEFORE_MS, BEFORE_MS + BURST_MS);
  after = served_tasks (play, after_ms, end_ms);
  print_message ("%d.%d times the traffic%s\n", (int) tenths / 10,
                 (int) tenths % 10, lost ? ", planner lost" : "");
  print ("before", &before);
  print ("burst", &burst);
  print_message ("after: %u tasks in time of %u; %u refused late\n", after,
                 in_time_tasks_of_usual (after_ms, end_ms),
                 slow_refusals (play));
  assert_int_equal (before.in_time, before.sent);
  expect_burst (&burst);
  assert_true (after * 10 >= in_time_tasks_of_usual (after_ms, end_ms) * 9);
  assert_true (lost || slow_refusals (play) == 0);
  assert_false (world_double_run (play->world));
  finish (play);
}

/* Guards against refusing callers whose job can begin as it arrives. */
static void
test_usual_traffic_is_not_refused (void **state)
{
  Play *play = begin ();
  Sum sum;

  (void) state;
  play_for (play, BEFORE_MS + BURST_MS, 10);
  play_for (play, IN_TIME_MS, 0);
  sum = sum_of (play, 0, BEFORE_MS + BURST_MS);
  print ("usual", &sum);
  assert_int_equal (sum.in_time, sum.sent);
  finish (play);
}

/* Guards against refusing a burst of half a second though the backlog that
 * it leaves is worked off in time. */
static void
test_short_burst_is_not_refused (void **state)
{
  Play *play = begin ();
  Sum sum;

  (void) state;
  play_for (play, BEFORE_MS, 8);
  play_for (play, SHORT_BURST_MS, 25);
  play_for (play, AFTER_MS, 8);
  sum = sum_of (play, BEFORE_MS, BEFORE_MS + SHORT_BURST_MS);
  print ("gust", &sum);
  assert_int_equal (sum.in_time, sum.sent);
  finish (play);
}

/* Guards against a cell that accepts all of a burst and, until long after,
 * begins fewer jobs in time than without a burst. */
static void
test_burst_leaves_as_many_jobs_in_time (void **state)
{
  (void) state;
  play_burst (25, false);
  play_burst (50, false);
  play_burst (100, false);
}

/* The same, and a successor begins with no measured rates. */
static void
test_burst_with_a_takeover_leaves_jobs_in_time (void **state)
{
  (void) state;
  play_burst (50, true);
}

/* Guards against giving more jobs to an overloaded planner: it does not
 * respond in time, and the daemons store for it what is submitted to them.
 * Until it counts as failed they refuse; then they serve as before. */
static void
test_overloaded_planner_gets_no_more_jobs (void **state)
{
  Play *play = begin ();
  World *world = play->world;
  uint32_t planner = world_planner (world);
  uint32_t other = (planner + 1) % CELLS;
  uint32_t commits;
  uint64_t call;

  (void) state;
  play_for (play, BEFORE_MS, 30);
  world->cell[planner].frozen = true;
  world_run (world, SILENT_PLANNER_MS);
  commits = world->own_commits[other];
  call = world_submit (world, other, world_job (1, TASKS, CPU_MILLI), "job-x");
  world_run (world, AT_ONCE_MS);
  assert_true (world->answered[call]);
  assert_int_equal (world->response[call].outcome, MUX_RESPONSE_REFUSED);
  assert_int_equal (world->own_commits[other], commits);
  world_run (world, AFTER_MS);
  call = world_submit (world, other, world_job (1, TASKS, CPU_MILLI), "job-x");
  world_run (world, IN_TIME_MS);
  assert_int_equal (world->response[call].outcome, MUX_RESPONSE_ACCEPTED);
  assert_int_equal (world_starts (world, "job-x"), TASKS);
  finish (play);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_usual_traffic_is_not_refused),
    cmocka_unit_test (test_short_burst_is_not_refused),
    cmocka_unit_test (test_burst_leaves_as_many_jobs_in_time),
    cmocka_unit_test (test_burst_with_a_takeover_leaves_jobs_in_time),
    cmocka_unit_test (test_overloaded_planner_gets_no_more_jobs),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
