#include "src/cell/attempts.h"
#include "src/cell/stage_tasks.h"
#include "support/cell_world.h"
#include "support/test.h"

#include <malloc.h>
#include <stdio.h>

/* Memory that the planner takes for jobs. */

#define CELLS 3
#define WORKERS 4
/* The widest job that is accepted. */
#define WIDE_STEPS 64
#define WIDE_TASKS 4096
#define WIDE_JOBS 4
#define CPU_MILLI 500
#define BYTES_PER_MIB (1 << 20)
/* Far below a hundred bytes for each of the tasks. */
#define GROWTH_MAX_BYTES (8 * BYTES_PER_MIB)
#define FEW_TASKS 300
#define SHORT_TASK_MS 50
/* Instances with little memory: a quarter of it is for jobs, and an eighth of
 * that for one job. */
#define SMALL_MIB 8
#define LARGE_MIB 64
#define SMALL_LIMIT_BYTES (SMALL_MIB * BYTES_PER_MIB / 4)
/* Jobs that fill it many times over: a task takes a pointer. */
#define JOBS 700
#define JOB_TASKS 1000
/* Of the jobs that an instance with more memory has accepted. */
#define STORED_JOBS 400
#define QUICK_TASK_MS 4
/* Occurrences of a repeated job, far more than may be unfinished. */
#define OCCURRENCES 3000
#define REPEAT_MS 10
/* No worker has so much. */
#define NEVER_CPU_MILLI 70000

static int64_t
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (int64_t) (info.uordblks + info.hblkhd);
}

/* Return: tasks with an object in the planner, or in any daemon while there is
 * none. */
static uint64_t
task_objects (const World *world)
{
  uint64_t most = 0;

  for (uint32_t i = 0; i < CELLS; i++)
    if (world->cell[i].cell != NULL && !world->cell[i].dead
        && world->cell[i].cell->task_objects > most)
      most = world->cell[i].cell->task_objects;
  return most;
}

/* Its steps do not depend on each other. */
static MuxJobSpec *
wide_job (uint32_t steps, uint32_t tasks)
{
  MuxJobSpec *job = world_job (steps, tasks, CPU_MILLI);

  for (uint32_t i = 0; i < steps; i++)
    job->step[i].after = 0;
  return job;
}

static World *
new_world (void)
{
  World *world = world_new (CELLS, WORKERS);

  world_skip_approval (world);
  world_run (world, 3000);
  return world;
}

static void
submit_numbered (World *world, MuxJobSpec *job, uint32_t number)
{
  char id[MUX_JOB_ID_LEN];

  snprintf (id, sizeof id, "job-%u", number);
  (void) world_submit (world, number % CELLS, job, id);
}

/* Guards against memory for each task of a job from its acceptance on: a few
 * small requests then end each planner that reads their jobs. */
static void
test_waiting_tasks_take_no_memory_of_their_own (void **state)
{
  World *world = new_world ();
  int64_t before = allocated_bytes ();

  (void) state;
  for (uint32_t i = 0; i < WIDE_JOBS; i++)
    submit_numbered (world, wide_job (WIDE_STEPS, WIDE_TASKS), i);
  world_run (world, 1000);
  assert_int_equal (world_state (world, 0, "job-0"), MUX_JOB_ACTIVE);
  print_message ("%lld bytes for %d tasks\n",
                 (long long) (allocated_bytes () - before),
                 WIDE_JOBS * WIDE_STEPS * WIDE_TASKS);
  assert_true (allocated_bytes () - before < GROWTH_MAX_BYTES);
  world_free (world);
}

/* Guards against memory that the tasks of a job keep until the whole job has
 * ended. */
static void
test_tasks_that_are_done_take_no_memory_of_their_own (void **state)
{
  World *world = new_world ();
  MuxJobSpec *job = wide_job (2, FEW_TASKS);
  uint32_t running_max = WORKERS * 32000 / CPU_MILLI;

  (void) state;
  world->task_ms = SHORT_TASK_MS;
  job->step[1].after = 1;
  submit_numbered (world, job, 0);
  for (uint32_t i = 0; i < 400 && world_starts (world, "job-0") < FEW_TASKS;
       i++)
    world_run (world, 10);
  world_run (world, 1000);
  assert_true (world_starts (world, "job-0") >= FEW_TASKS);
  assert_true (task_objects (world) <= running_max);
  world_run (world, 20000);
  assert_int_equal (world_state (world, 1, "job-0"), MUX_JOB_COMPLETED);
  assert_int_equal (world_starts (world, "job-0"), 2 * FEW_TASKS);
  assert_int_equal (task_objects (world), 0);
  world_free (world);
}

/* Restarts all daemons with this memory. */
static void
set_memory (World *world, uint32_t memory_mib)
{
  for (uint32_t i = 0; i < CELLS; i++)
    {
      world->cell[i].memory_mib = memory_mib;
      world_cell_kill (world, i);
    }
  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_start (world, i);
}

static World *
small_world_of (uint32_t workers)
{
  World *world = world_new (CELLS, workers);

  world_skip_approval (world);
  set_memory (world, SMALL_MIB);
  world_run (world, 12000);
  return world;
}

static World *
small_world (void)
{
  return small_world_of (WORKERS);
}

static uint32_t
count_outcomes (const World *world,
                uint64_t first,
                uint64_t last,
                MuxResponseOutcome outcome)
{
  uint32_t n = 0;

  for (uint64_t i = first; i <= last; i++)
    n += world->answered[i] && world->response[i].outcome == outcome;
  return n;
}

/* Guards against accepting more jobs than the planner, and each daemon that
 * takes over, has memory for. */
static void
test_jobs_beyond_the_memory_for_jobs_are_refused (void **state)
{
  World *world = small_world ();
  uint64_t first = world->next_request + 1;
  uint64_t last;
  uint32_t accepted;
  uint64_t ordinary;

  (void) state;
  world->task_ms = 600000;
  for (uint32_t i = 0; i < JOBS; i++)
    {
      submit_numbered (world, wide_job (1, JOB_TASKS), i);
      world_run (world, 20);
    }
  world_run (world, 2000);
  last = world->next_request;
  accepted = count_outcomes (world, first, last, MUX_RESPONSE_ACCEPTED);
  print_message (
      "%u of %d accepted, %lld bytes\n", (unsigned) accepted, JOBS,
      (long long) mux_gauge_value (world->counters, MUX_GAUGE_JOB_MEMORY));
  assert_in_range (accepted, 100, SMALL_LIMIT_BYTES / (JOB_TASKS * 8));
  assert_int_equal (count_outcomes (world, first, last, MUX_RESPONSE_REFUSED)
                        + accepted,
                    JOBS);
  assert_true (mux_counter_value (world->counters, MUX_COUNT_JOBS_NO_MEMORY)
               > 0);
  /* No job has ended: nothing is known of when one will. */
  assert_in_range (world->response[last].retry_ms, 30000, 37500);
  assert_true (mux_gauge_value (world->counters, MUX_GAUGE_JOB_MEMORY)
               <= SMALL_LIMIT_BYTES);
  world_add_queue (world);
  world_run (world, 1000);
  snprintf (world->queue, sizeof world->queue, "other");
  ordinary = world_submit (world, 0, wide_job (1, 1), "ordinary");
  world_run (world, 1000);
  assert_int_equal (world->response[ordinary].outcome, MUX_RESPONSE_ACCEPTED);
  world_free (world);
}

/* Guards against a job that waits forever as it never fits. */
static void
test_job_over_the_memory_of_any_is_refused_with_its_size (void **state)
{
  World *world = small_world ();
  uint64_t request
      = world_submit (world, 0, wide_job (WIDE_STEPS, WIDE_TASKS), "job-a");

  (void) state;
  world_run (world, 1000);
  assert_int_equal (world->response[request].outcome, MUX_RESPONSE_NEVER_FITS);
  assert_true (world->response[request].bytes
               > world->response[request].max_bytes);
  assert_int_equal (world->response[request].max_bytes, SMALL_LIMIT_BYTES / 8);
  assert_null (world_row (world, MUX_TABLE_JOBS, "job-a"));
  world_free (world);
}

/* Guards against accepting by the planner's memory alone what a smaller
 * instance can't plan after it. */
static void
test_the_instance_with_the_least_memory_sets_the_limit (void **state)
{
  World *world = new_world ();
  uint64_t request;

  (void) state;
  for (uint32_t i = 0; i < CELLS; i++)
    {
      world->cell[i].memory_mib = i == 2 ? SMALL_MIB : LARGE_MIB;
      world_cell_kill (world, i);
    }
  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_start (world, i);
  world_run (world, 12000);
  assert_int_equal (
      mux_gauge_value (world->counters, MUX_GAUGE_JOB_MEMORY_LIMIT),
      SMALL_LIMIT_BYTES);
  request = world_submit (world, 0, wide_job (WIDE_STEPS, WIDE_TASKS), "job-a");
  world_run (world, 1000);
  assert_int_equal (world->response[request].outcome, MUX_RESPONSE_NEVER_FITS);
  world_free (world);
}

/* As many jobs in the store as take several times the memory of a small
 * instance. */
static World *
world_with_stored_jobs (void)
{
  World *world = new_world ();

  set_memory (world, LARGE_MIB);
  world_run (world, 12000);
  world->task_ms = QUICK_TASK_MS;
  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].unreachable = true;
  for (uint32_t i = 0; i < STORED_JOBS; i++)
    {
      MuxJobSpec *job = wide_job (2, 1);

      /* Most of it is counted, and little of it has to run. */
      job->step[1].named_count = 0;
      job->repetitions = 3;
      job->interval_ms = 1;
      job->first_due_ms = WORLD_WALL_MS;
      submit_numbered (world, job, i);
      world_run (world, 10);
    }
  world_run (world, 2000);
  return world;
}

/* Guards against a successor that ends, or loses jobs, as it has less memory
 * than the planner that accepted them. */
static void
test_smaller_successor_plans_what_fits_and_then_the_rest (void **state)
{
  World *world = world_with_stored_jobs ();
  uint32_t completed = 0;

  (void) state;
  set_memory (world, 2);
  world_run (world, 8000);
  assert_true (mux_counter_value (world->counters, MUX_COUNT_JOBS_LEFT_OUT)
               > 0);
  assert_true (mux_gauge_value (world->counters, MUX_GAUGE_JOB_MEMORY)
               <= BYTES_PER_MIB);
  assert_true (world_request (world, 0, MUX_REQUEST_CANCEL, "job-7") != 0);
  world_run (world, 2000);
  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].unreachable = false;
  world_run (world, 300000);
  for (uint32_t i = 0; i < STORED_JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];
      MuxJobState job_state;

      snprintf (id, sizeof id, "job-%u", i);
      job_state = world_state (world, i % CELLS, id);
      completed += job_state == MUX_JOB_COMPLETED;
      assert_int_equal (job_state,
                        i == 7 ? MUX_JOB_CANCELLED : MUX_JOB_COMPLETED);
    }
  assert_int_equal (completed, STORED_JOBS - 1);
  assert_int_equal (world_starts (world, "job-7"), 0);
  assert_false (world_double_run_acked (world));
  world_free (world);
}

/* Guards against a record of a loss for each task that waits, as a planner and
 * a worker are lost at once: they may have been started there. */
static void
test_tasks_that_can_t_have_started_lose_no_run (void **state)
{
  World *world = new_world ();
  uint32_t pool_tasks = WORKERS * 32000 / CPU_MILLI;

  (void) state;
  for (uint32_t i = 0; i < WIDE_JOBS; i++)
    submit_numbered (world, wide_job (WIDE_STEPS, WIDE_TASKS), i);
  world_run (world, 1000);
  world->worker[0].unreachable = true;
  world_cell_kill (world, world_planner (world));
  for (uint32_t i = 0; i < 200; i++)
    {
      world_run (world, 100);
      assert_true (task_objects (world) <= 4 * pool_tasks);
    }
  assert_true (world_logged (world, "worker_dead") > 0);
  world_free (world);
}

/* Guards against runs without number of tasks that take no room at a worker. */
static void
test_tasks_without_a_size_start_within_the_memory_for_runs (void **state)
{
  World *world = small_world_of (3 * WORKERS);
  MuxJobSpec *job = wide_job (3, 3000);
  uint64_t runs_bytes = SMALL_MIB * BYTES_PER_MIB / 3;
  uint64_t objects;

  (void) state;
  world->task_ms = 600000;
  for (uint32_t i = 0; i < 3; i++)
    {
      job->step[i].size = (MuxSize){ 0 };
      job->step[i].long_running = true;
    }
  submit_numbered (world, job, 0);
  world_run (world, 8000);
  objects = task_objects (world);
  print_message ("%u started\n", world_starts (world, "job-0"));
  assert_true (objects > 1000);
  assert_true (objects * (sizeof (CellTask) + sizeof (CellBooking))
               <= runs_bytes);
  assert_true (mux_counter_value (world->counters, MUX_COUNT_STARTS_NO_MEMORY)
               > 0);
  world_free (world);
}

/* Guards against a job that takes more than was counted for it when it was
 * accepted, as its progress outgrows a row of the store. */
static void
test_job_with_split_progress_takes_what_is_counted (void **state)
{
  World *world = new_world ();
  MuxJobSpec *spec = wide_job (4, WIDE_TASKS);
  MuxCell *cell = world->cell[world_planner (world)].cell;
  int64_t counted_bytes;
  int64_t took_bytes;
  CellJob *job;

  (void) state;
  for (uint32_t i = 0; i < 4; i++)
    spec->step[i].size.cpu_milli = NEVER_CPU_MILLI;
  submit_numbered (world, spec, 0);
  /* So that the tables that hold all jobs stay. */
  submit_numbered (world, wide_job (1, 1), 1);
  submit_numbered (world, wide_job (1, 1), 2);
  world->task_ms = 600000;
  world_run (world, 1000);
  job = cell_job_find (cell, "job-0");
  assert_non_null (job);
  for (uint32_t i = 0; i < job->stage_count; i++)
    for (uint32_t j = 1; j < WIDE_TASKS; j++)
      (void) cell_task_done (cell, job->stage[i], j);
  cell_progress_split_begin (cell, job);
  cell_job_mark_dirty (cell, job);
  world_run (world, 10000);
  assert_true (job->split.stored);
  counted_bytes = (int64_t) job->bytes;
  took_bytes = allocated_bytes ();
  cell_job_remove (cell, job);
  took_bytes -= allocated_bytes ();
  print_message ("%lld of %lld bytes\n", (long long) took_bytes,
                 (long long) counted_bytes);
  assert_true (took_bytes <= counted_bytes);
  world_free (world);
}

/* Guards against starting all of them at once: each start takes memory until it
 * is answered, and each worker lists all its runs. */
static void
test_tasks_without_a_size_are_not_started_all_at_once (void **state)
{
  World *world = new_world ();
  MuxJobSpec *job = wide_job (WIDE_STEPS, WIDE_TASKS);
  uint32_t planner = world_planner (world);
  const MuxCell *cell = world->cell[planner].cell;

  (void) state;
  world->task_ms = 600000;
  for (uint32_t i = 0; i < WIDE_STEPS; i++)
    {
      job->step[i].size = (MuxSize){ 0 };
      job->step[i].long_running = true;
    }
  submit_numbered (world, job, 0);
  world->cell[planner].input_delay_ms = 200;
  for (uint32_t i = 0; i < 1000; i++)
    {
      const CellWorker *worker;
      const CellWorker *next;

      world_run (world, 10);
      assert_true (HASH_COUNT (cell->pending)
                   <= CELL_STARTS_UNANSWERED_MAX + 100);
      HASH_ITER (hh, cell->workers, worker, next)
      assert_true (worker->run_count <= CELL_WORKER_RUNS_MAX);
    }
  assert_true (cell->booking_count > 1000);
  world_free (world);
}

#define MANY_WORKERS 200

/* Guards against lists of workers that queries make longer, and that nothing
 * counts. */
static void
test_lists_of_workers_count_as_memory_of_their_job (void **state)
{
  World *world = world_new (CELLS, MANY_WORKERS);
  MuxJobSpec *spec = wide_job (1, 1);
  MuxCell *cell = world->cell[world_planner (world)].cell;
  CellWorker *worker;
  CellWorker *next;
  CellJob *job;
  uint64_t before;

  (void) state;
  world_run (world, 3000);
  spec->step[0].size.cpu_milli = NEVER_CPU_MILLI;
  submit_numbered (world, spec, 0);
  world_run (world, 1000);
  job = cell_job_find (cell, "job-0");
  assert_non_null (job);
  before = cell->job_memory.used_bytes;
  HASH_ITER (hh, cell->workers, worker, next)
  (void) cell_approval_add (job->stage[0], worker);
  world_run (world, 1500);
  assert_true (cell->job_memory.used_bytes
               >= before + (MANY_WORKERS - 64) * sizeof (CellApproval));
  world_free (world);
}

static uint32_t
stages_of (const World *world, const char *id)
{
  const CellJob *job
      = cell_job_find (world->cell[world_planner (world)].cell, id);

  return job != NULL ? job->stage_count : 0;
}

/* Guards against memory for each occurrence that a repeated job has ever had,
 * in its planner and in each that takes over. */
static void
test_done_occurrences_of_a_repeated_job_take_no_memory (void **state)
{
  World *world = new_world ();
  MuxJobSpec *job = wide_job (2, 1);

  (void) state;
  world->task_ms = QUICK_TASK_MS;
  job->step[1].after = 1;
  job->repetitions = OCCURRENCES;
  job->interval_ms = REPEAT_MS;
  job->first_due_ms = WORLD_WALL_MS + world->now_ms;
  submit_numbered (world, job, 0);
  world_run (world, (int64_t) OCCURRENCES * REPEAT_MS * 2 / 3);
  assert_in_range (stages_of (world, "job-0"), 1,
                   CELL_UNFINISHED_STAGES_MAX + 2);
  world_cell_kill (world, world_planner (world));
  world_run (world, 6000);
  assert_in_range (stages_of (world, "job-0"), 1,
                   2 * CELL_UNFINISHED_STAGES_MAX);
  world_run (world, 60000);
  assert_int_equal (world_state (world, world_planner (world), "job-0"),
                    MUX_JOB_COMPLETED);
  assert_false (world_double_run_acked (world));
  world_free (world);
}

#define FAILED_JOBS 16
#define LEAST_MIB 4
#define KEPT_FAILURES 8

/* As if every other run of each task of the job had failed. */
static void
fail_all_tasks (MuxCell *cell, CellJob *job, uint32_t failures)
{
  for (uint32_t i = 0; i < job->stage[0]->spec->count; i++)
    {
      CellTask *task = cell_task_get (cell, job->stage[0], i);

      task->last_run = 2 * failures;
      for (uint32_t j = 0; j < failures; j++)
        {
          assert_true (cell_attempts_reserve (cell, task));
          assert_true (cell_attempts_count (cell, task, 2 * j + 1));
        }
    }
}

/* Return: a world with FAILED_JOBS jobs that no worker has room for, with so
 * many failures of each task. */
static World *
world_of_failed_tasks (uint32_t failures)
{
  World *world = new_world ();
  char id[MUX_JOB_ID_LEN];

  world_set_attempts (world, UINT32_MAX);
  set_memory (world, LEAST_MIB);
  world_run (world, 12000);
  for (uint32_t i = 0; i < FAILED_JOBS; i++)
    {
      MuxCell *cell = world->cell[world_planner (world)].cell;
      MuxJobSpec *job = wide_job (1, JOB_TASKS);

      job->step[0].size.cpu_milli = NEVER_CPU_MILLI;
      submit_numbered (world, job, i);
      world_run (world, 500);
      snprintf (id, sizeof id, "job-%u", (unsigned) i);
      assert_non_null (cell_job_find (cell, id));
      fail_all_tasks (cell, cell_job_find (cell, id), failures);
    }
  return world;
}

/* Guards against a planner that starts nothing any more, as tasks that have
 * failed and wait to be started again hold all the memory for runs. */
static void
test_tasks_that_failed_are_started_again_without_memory (void **state)
{
  World *world = world_of_failed_tasks (1);
  MuxCell *cell = world->cell[world_planner (world)].cell;

  (void) state;
  assert_true (cell->task_objects * sizeof (CellTask)
               > LEAST_MIB * BYTES_PER_MIB / 3);
  world->task_ms = QUICK_TASK_MS;
  for (uint32_t i = 0; i < WORKERS; i++)
    world_worker_room (world, i, 8 * NEVER_CPU_MILLI);
  world_run (world, 10000);
  for (uint32_t i = 0; i < 100 && cell->task_objects > 0; i++)
    world_run (world, 2000);
  assert_int_equal (cell->task_objects, 0);
  assert_int_equal (world->start_count, FAILED_JOBS * JOB_TASKS);
  world_free (world);
}

/* Guards against failed runs that are kept by number where there is no memory
 * for them: each further failure would take more. */
static void
test_failed_runs_are_not_kept_by_number_without_memory (void **state)
{
  World *world = world_of_failed_tasks (KEPT_FAILURES);
  MuxCell *cell = world->cell[world_planner (world)].cell;
  uint64_t bytes = cell->failure_bytes;

  (void) state;
  assert_true (bytes + cell->task_objects * sizeof (CellTask)
               > LEAST_MIB * BYTES_PER_MIB / 3);
  world->task_ms = QUICK_TASK_MS;
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      world->worker[i].fails = true;
      world_worker_room (world, i, 8 * NEVER_CPU_MILLI);
    }
  for (uint32_t i = 0; i < 20; i++)
    {
      world_run (world, 1000);
      assert_true (cell->failure_bytes <= bytes);
    }
  print_message ("%llu bytes, then %llu\n", (unsigned long long) bytes,
                 (unsigned long long) cell->failure_bytes);
  assert_true (cell->failure_bytes < bytes);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_tasks_without_a_size_are_not_started_all_at_once),
    cmocka_unit_test (test_lists_of_workers_count_as_memory_of_their_job),
    cmocka_unit_test (test_job_with_split_progress_takes_what_is_counted),
    cmocka_unit_test (
        test_tasks_without_a_size_start_within_the_memory_for_runs),
    cmocka_unit_test (test_tasks_that_can_t_have_started_lose_no_run),
    cmocka_unit_test (test_done_occurrences_of_a_repeated_job_take_no_memory),
    cmocka_unit_test (test_jobs_beyond_the_memory_for_jobs_are_refused),
    cmocka_unit_test (test_job_over_the_memory_of_any_is_refused_with_its_size),
    cmocka_unit_test (test_the_instance_with_the_least_memory_sets_the_limit),
    cmocka_unit_test (test_smaller_successor_plans_what_fits_and_then_the_rest),
    cmocka_unit_test (test_waiting_tasks_take_no_memory_of_their_own),
    cmocka_unit_test (test_tasks_that_are_done_take_no_memory_of_their_own),
    cmocka_unit_test (test_tasks_that_failed_are_started_again_without_memory),
    cmocka_unit_test (test_failed_runs_are_not_kept_by_number_without_memory),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
