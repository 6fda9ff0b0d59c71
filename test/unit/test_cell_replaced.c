#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Effects left by a planner that is replaced, or whose claim is in doubt. */

#define CELLS 3
#define WORKERS 4
/* CPU shares of an instance that meets half of the need of planning for these
 * few workers, and of a fully able one. */
#define WEAK_MILLI 9
#define STRONG_MILLI 500
#define TAKEOVER_MS 4000
/* An answer that comes just before the call is given up. */
#define LATE_ANSWER_MS 1450
#define USUAL_ANSWER_MS 5

static void
start_weak_alone (World *world, uint32_t weak)
{
  for (uint32_t i = 0; i < CELLS; i++)
    if (i != weak)
      world_cell_kill (world, i);
  world->cell[weak].strength_milli = WEAK_MILLI;
  world_cell_start (world, weak);
  world_run (world, TAKEOVER_MS);
}

static void
take_over (World *world)
{
  uint32_t planner = world_planner (world);

  world_cell_kill (world, planner);
  world_run (world, 4000);
  assert_int_not_equal (world_planner (world), planner);
}

/* The planner hands over to a strong daemon, which fails; the answer to that
 * commit is on its way. */
static void
yield_to_one_that_dies (World *world)
{
  uint64_t version = world_claim_version (world);
  uint32_t members = world_logged (world, "member");

  world->cell[1].strength_milli = STRONG_MILLI;
  world_cell_start (world, 1);
  while (world_logged (world, "member") == members)
    world_run (world, 1);
  world->store_ms = LATE_ANSWER_MS;
  for (uint32_t i = 0; i < 5000 && world_claim_version (world) == version; i++)
    world_run (world, 1);
  assert_int_not_equal (world_claim_version (world), version);
  world->store_ms = USUAL_ANSWER_MS;
  world_cell_kill (world, 1);
}

/*
 * A weak planner hands over to a strong daemon, which fails at that moment;
 * the weak one sees by its feed that there is no planner, claims again and
 * plans. Then the answer to its release arrives, a second late. It must not
 * end the new term: the claim would stay in the store, the daemon answer
 * hellos, and so no daemon would ever claim; jobs would be accepted and never
 * started.
 */
static void
test_late_answer_to_leaving_ends_no_later_term (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 250; phase_ms += 25)
    {
      World *world = world_new (CELLS, WORKERS);

      start_weak_alone (world, 0);
      world_run (world, phase_ms);
      yield_to_one_that_dies (world);
      world_run (world, 3000);
      world_cell_start (world, 2);
      world_run (world, 3000);
      (void) world_submit (world, 2, world_job (1, 1, 1000), "job-a");
      world_run (world, 20000);
      assert_int_equal (world_starts (world, "job-a"), 1);
      world_free (world);
    }
}

/* Calls that a daemon repeats after a failure are 100 ms apart or more; there
 * are a dozen kinds of them. */
#define READS_MAX_PER_S 120
#define FROZEN_MS 1000
#define OUTAGE_MS 3000

static uint64_t
reads (const World *world)
{
  return mux_counter_value (world->counters, MUX_COUNT_TABLE_READS);
}

/*
 * The planner was frozen for a second and wakes in an outage of the store: it
 * reads the claim before it sends any order, and each read is refused at once.
 * It must not repeat it in each tick: all daemons would be refused beyond the
 * store's rate, callers with them, for longer than the outage lasted, and each
 * call is paid for, the refused ones too.
 */
static void
test_planner_in_doubt_does_not_flood_the_store (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint64_t before;

  (void) state;
  world_run (world, 1000);
  world->cell[planner].frozen = true;
  world_run (world, FROZEN_MS);
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].store = WORLD_REFUSES;
  world->cell[planner].frozen = false;
  world_run (world, 100);
  before = reads (world);
  world_run (world, OUTAGE_MS);
  print_message ("%u reads a second\n",
                 (unsigned) ((reads (world) - before) * 1000 / OUTAGE_MS));
  assert_true (reads (world) - before < READS_MAX_PER_S * OUTAGE_MS / 1000);
  world_free (world);
}

#define PARTS 4
#define JOBS 8

static void
submit_jobs (World *world, uint32_t cell, const char *name)
{
  for (uint32_t i = 0; i < JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "%s-%u", name, i);
      (void) world_submit (world, cell, world_job (1, 1, 1000), id);
    }
}

/*
 * Another writer has left a row under the key that the planner's commits of
 * jobs expect. Each commit fails on it, and the planner reads its claim and
 * finds it valid. It must then read the row's version again, which is
 * otherwise done only at a takeover, or callers' jobs are refused for good
 * though the store serves all daemons.
 */
static void
test_term_row_of_another_writer_is_passed (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);

  (void) state;
  world_run (world, 1000);
  submit_jobs (world, planner, "before");
  world_run (world, 3000);
  for (uint32_t i = 0; i < PARTS; i++)
    {
      char part[MUX_ROW_NAME_LEN];

      snprintf (part, sizeof part, "p%u", i);
      world_put_row (world, MUX_TABLE_FENCE, part, "term", "{}");
    }
  world_run (world, 1000);
  submit_jobs (world, planner, "early");
  world_run (world, 5000);
  submit_jobs (world, planner, "late");
  world_run (world, 5000);
  assert_int_equal (world_starts (world, "before-0"), 1);
  for (uint32_t i = 0; i < JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "late-%u", i);
      assert_int_equal (world_starts (world, id), 1);
    }
  world_free (world);
}

#define RUNS_PER_TERM 64
#define ATTEMPTS_MAX 3
/* Starts of one task that fail before the first one is carried out. */
#define REFUSED_MAX 68

static void
set_workers (World *world, WorldFault fault)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      world->worker[i].fault = fault;
      world->worker[i].fails = true;
    }
}

static void
wait_for_refused (World *world, uint32_t count)
{
  for (uint32_t i = 0;
       i < 400000 && world_logged (world, "start_refused") < count; i++)
    world_run (world, 1);
  assert_true (world_logged (world, "start_refused") >= count);
}

/*
 * The workers are unhealthy for minutes and refuse a job's starts; the next
 * one is carried out and fails, its worker leaves, and the planner fails. By
 * then it has used more run numbers than a term has. Its successor must not
 * use the number of the failed run again: it would take the new run's failure
 * for the one that it has read, and the job would fail after one run more than
 * its queue allows.
 */
static void
test_no_run_number_is_given_in_two_terms (void **state)
{
  (void) state;
  for (uint32_t refused = RUNS_PER_TERM; refused < REFUSED_MAX; refused++)
    {
      World *world = world_new (CELLS, WORKERS);
      uint32_t planner = world_planner (world);

      world_run (world, 1000);
      set_workers (world, WORLD_REFUSES);
      world->task_ms = 300;
      (void) world_submit (world, planner, world_job (1, 1, 1000), "job-a");
      wait_for_refused (world, refused);
      set_workers (world, WORLD_SERVES);
      while (world->start_count == 0)
        world_run (world, 1);
      set_workers (world, WORLD_REFUSES);
      world_run (world, 1500);
      assert_int_equal (world->start[0].end, MUX_RUN_FAILED);
      world_worker_drains (world, world->start[0].worker, true);
      world_cell_kill (world, planner);
      world_run (world, 300);
      set_workers (world, WORLD_SERVES);
      world_run (world, 20000);
      assert_int_equal (world_state (world, (planner + 1) % CELLS, "job-a"),
                        MUX_JOB_FAILED);
      assert_int_equal (world_starts (world, "job-a"), ATTEMPTS_MAX);
      world_free (world);
    }
}

#define MANY_WORKERS 8
#define ALL_CPU_MILLI 32000
#define LONG_TASK_MS 60000

/* The first of all runs fails this much later, the others go on. */
static void
fail_first_run (World *world, int64_t ms)
{
  WorldWorker *worker = &world->worker[world->start[0].worker];

  worker->fails = true;
  worker->run[0].ends_ms = world->now_ms + ms;
}

/*
 * A planner starts two urgent tasks before it has stored the workers that may
 * run them, and fails; a successor waits only for the workers that are stored.
 * The second planner goes on with both runs; one fails, and it stores the
 * workers approved for the next run, together with that of the other. It fails
 * as well. The third must not start the other task again while it runs on an
 * unreachable worker.
 */
static void
test_record_names_workers_of_adopted_runs (void **state)
{
  World *world = world_new (CELLS, MANY_WORKERS);
  uint32_t first = world_planner (world);
  uint32_t second;

  (void) state;
  world_make_urgent (world);
  world_run (world, 1000);
  world->task_ms = LONG_TASK_MS;
  world->approve_one_in = 2;
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_REFUSES);
  (void) world_submit (world, first, world_job (1, 2, ALL_CPU_MILLI), "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), 0);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_SERVES);
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), 2);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_REFUSES);
  world_cell_kill (world, first);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_SERVES);
  fail_first_run (world, 3000);
  world_run (world, 4500);
  second = world_planner (world);
  assert_int_not_equal (second, first);
  assert_int_equal (world_starts (world, "job-a"), 3);
  world_cell_kill (world, second);
  world->worker[world->start[1].worker].unreachable = true;
  world_run (world, 8000);
  assert_false (world_double_run (world));
  world_free (world);
}

#define SLOW_QUESTION_MS 300

/*
 * The planner fails between an urgent job's acceptance and its start, and one
 * worker is unreachable: the next planner must know that the job was not sent
 * there, instead of waiting seventeen seconds until the longest lease has
 * expired.
 */
static void
test_unheard_worker_holds_up_no_job_that_was_not_sent_there (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);

  (void) state;
  world_make_urgent (world);
  world_run (world, 1000);
  world->approval_ms = SLOW_QUESTION_MS;
  (void) world_submit (world, planner, world_job (1, 1, 1000), "job-a");
  world_run (world, SLOW_QUESTION_MS / 2);
  world->worker[0].unreachable = true;
  take_over (world);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world_run (world, 30000);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world_free (world);
}

#define SLOW_STORE_MS 300
/* After a cancel was acknowledged nothing of the job is started. */
#define CANCEL_MS 2000
/* A feed's call that is lost without a sign is abandoned after this time. */
#define LOST_CALL_MS 1600

static void
wait_for_fences_of_a_successor (World *world, uint32_t planner)
{
  uint64_t version = world_claim_version (world);

  world_cell_kill (world, planner);
  while (world_claim_version (world) == version || world_fenced (world) < PARTS)
    world_run (world, 1);
}

/*
 * A successor has fenced the parts and reads many jobs from a slow store; a
 * caller cancels one of them meanwhile. The cancel is younger than the fence,
 * and the feed's call is lost. The job must not be started seconds after its
 * cancel was acknowledged, when the store serves the planner quickly again.
 */
static void
test_cancel_behind_the_fence_is_read (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint64_t cancel;
  int64_t acked_ms;
  uint32_t plans;

  (void) state;
  world_run (world, 1000);
  set_workers (world, WORLD_REFUSES);
  for (uint32_t i = 0; i < 5; i++)
    {
      char name[8];

      snprintf (name, sizeof name, "job%u", i);
      submit_jobs (world, planner, name);
      world_run (world, 200);
    }
  (void) world_submit (world, planner, world_job (1, 1, 1000), "zz");
  world_run (world, 1000);
  world->page_rows = 1;
  world->store_ms = SLOW_STORE_MS;
  wait_for_fences_of_a_successor (world, planner);
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_JOBS);
  cancel
      = world_request (world, (planner + 1) % CELLS, MUX_REQUEST_CANCEL, "zz");
  while (!world->answered[cancel])
    world_run (world, 1);
  assert_int_equal (world->response[cancel].outcome, MUX_RESPONSE_CANCELLED);
  acked_ms = world->now_ms;
  set_workers (world, WORLD_SERVES);
  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].fails = false;
  plans = world_logged (world, "planning");
  while (world_logged (world, "planning") == plans)
    world_run (world, 1);
  world->page_rows = 0;
  world->store_ms = USUAL_ANSWER_MS;
  world_run (world, LOST_CALL_MS);
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].hanging_feeds = 0;
  world_run (world, 5000);
  for (uint32_t i = 0; i < world->start_count; i++)
    if (strcmp (world->start[i].task.job, "zz") == 0)
      assert_true (world->start[i].at_ms - acked_ms < CANCEL_MS);
  world_free (world);
}

#define LARGE_WORKERS 352
#define WAITING_JOBS 3000
/* Workers that a planner may scan in a second while it only waits: one pass
 * over the urgent steps each 4 ms and one in four of them over all. At 40 ns
 * a worker that is 0.11 of a core. */
#define PASSES_PER_S 250
#define SLOW_PASS_EVERY 4
#define PASS_LOOKS 25000
#define URGENT_PASS_LOOKS 6000
#define LOOKS_MAX                                                \
  (PASSES_PER_S / SLOW_PASS_EVERY * (PASS_LOOKS + LARGE_WORKERS) \
   + PASSES_PER_S * (SLOW_PASS_EVERY - 1) / SLOW_PASS_EVERY      \
         * (URGENT_PASS_LOOKS + LARGE_WORKERS))

static void
wait_for_successor (World *world, uint32_t planner)
{
  uint32_t plans = world_logged (world, "planning");

  world_cell_kill (world, planner);
  while (world_logged (world, "planning") == plans)
    world_run (world, 1);
}

/* The jobs wait, one worker is cut off, and the planner is replaced. */
static void
wait_without_a_worker (World *world)
{
  uint32_t planner = world_planner (world);

  world_make_urgent (world);
  world_run (world, 1000);
  for (uint32_t i = 0; i < LARGE_WORKERS; i++)
    world->worker[i].fault = WORLD_REFUSES;
  for (uint32_t i = 0; i < WAITING_JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "wait-%u", i);
      (void) world_submit (world, planner, world_job (1, 1, 1000), id);
      if (i % 20 == 0)
        world_run (world, 20);
    }
  world_run (world, 2000);
  world->worker[99].unreachable = true;
  wait_for_successor (world, planner);
  world_run (world, 1500);
}

static void
check_looks_of_a_second (World *world)
{
  uint64_t looks = mux_counter_value (world->counters, MUX_COUNT_PLAN_LOOKS);
  uint64_t steps = mux_counter_value (world->counters, MUX_COUNT_PLAN_STEPS);

  world_run (world, 1000);
  looks = mux_counter_value (world->counters, MUX_COUNT_PLAN_LOOKS) - looks;
  steps = mux_counter_value (world->counters, MUX_COUNT_PLAN_STEPS) - steps;
  print_message ("%u looks at workers, %u at steps, %u starts\n",
                 (unsigned) looks, (unsigned) steps, world->start_count);
  assert_true (steps > 0);
  assert_true (steps <= (uint64_t) WAITING_JOBS * PASSES_PER_S);
  assert_true (looks <= LOOKS_MAX);
}

/*
 * In a cell of 352 workers with 3000 urgent jobs waiting, a successor can't
 * reach one worker: until its lease has certainly expired nothing is started.
 * A check of each waiting step that scans all workers to find the unconfirmed
 * one takes all of the planner's processor, and was not counted as scanning.
 * The work is counted, as processor time differs between runs that do the
 * same.
 */
static void
test_waiting_for_a_worker_costs_little (void **state)
{
  World *world = world_new (CELLS, LARGE_WORKERS);

  (void) state;
  wait_without_a_worker (world);
  check_looks_of_a_second (world);
  world_free (world);
}

/*
 * The same with jobs that need no approval. No record says where they may run,
 * so that each waits until every worker has answered, and checks that in each
 * pass.
 */
static void
test_waiting_for_all_workers_costs_little (void **state)
{
  World *world = world_new (CELLS, LARGE_WORKERS);

  (void) state;
  world_skip_approval (world);
  wait_without_a_worker (world);
  check_looks_of_a_second (world);
  world_free (world);
}

/* A worker with ends that are not stored yet is polled this often. */
#define ASKED_PER_S 5

/*
 * Tasks have ended while the store refuses the planner's progress: their ends
 * are known and can't be acknowledged. A renewal then returns at once, and
 * must not be repeated without a pause: each worker would be polled hundreds
 * of times a second, and each call is paid for.
 */
static void
test_unstored_ends_are_not_asked_for_without_pause (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint32_t before;

  (void) state;
  world_make_urgent (world);
  world_run (world, 1000);
  world->task_ms = 300;
  (void) world_submit (world, planner, world_job (1, WORKERS, ALL_CPU_MILLI),
                       "job-a");
  world_run (world, 200);
  assert_int_equal (world_starts (world, "job-a"), WORKERS);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_REFUSES);
  world_run (world, 1000);
  before = world->worker_calls[planner];
  world_run (world, 2000);
  print_message ("%u calls a second and worker\n",
                 (world->worker_calls[planner] - before) / 2 / WORKERS);
  assert_true (world->worker_calls[planner] - before
               <= (ASKED_PER_S + 1) * 2 * WORKERS);
  world_free (world);
}

static const char *
part_of (const World *world, const char *key)
{
  for (uint32_t i = 0; i < world->row_count; i++)
    if (world->row[i].table == MUX_TABLE_JOBS
        && strcmp (world->row[i].key, key) == 0)
      return world->row[i].part;
  return "";
}

/*
 * A planner can't read the row of a job whose task runs. The run's end must
 * not count as one of no job, be acknowledged and forgotten: the next planner
 * can read the row and would start the task again. The log has row_unreadable
 * for the row, unread_job_end for the end, then unread_job_back.
 */
static void
test_end_of_an_unreadable_job_is_not_acknowledged (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  char part[MUX_ROW_NAME_LEN];
  char *text;

  (void) state;
  world_run (world, 1000);
  world->task_ms = 4000;
  (void) world_submit (world, world_planner (world), world_job (1, 1, 1000),
                       "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), 1);
  text = world_row_text (world, MUX_TABLE_JOBS, "job-a");
  snprintf (part, sizeof part, "%s", part_of (world, "job-a"));
  world_put_row (world, MUX_TABLE_JOBS, part, "job-a", "{}");
  /* It ends while there is no planner. */
  world->worker[world->start[0].worker].run[0].ends_ms = world->now_ms + 400;
  take_over (world);
  world_put_row (world, MUX_TABLE_JOBS, part, "job-a", text);
  free (text);
  take_over (world);
  assert_false (world_double_run_acked (world));
  world_free (world);
}

/*
 * Another writer leaves a fence that names a claim younger than the planner's,
 * and older than the row: the planner counts itself as replaced and ends its
 * term. There is no other claim; its own is not new to it, and as it answers
 * hellos nobody counts the planner as silent. It must claim again, or jobs are
 * accepted and never started until daemons are restarted.
 */
static void
test_planner_that_ended_its_term_is_replaced (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  char fence[64];

  (void) state;
  world_run (world, 1000);
  snprintf (fence, sizeof fence, "{\"term\":%u}",
            (unsigned) world_claim_version (world) + 1);
  for (uint32_t i = 0; i < PARTS; i++)
    {
      char part[MUX_ROW_NAME_LEN];

      snprintf (part, sizeof part, "p%u", i);
      world_put_row (world, MUX_TABLE_FENCE, part, "fence", fence);
    }
  submit_jobs (world, planner, "early");
  world_run (world, 10000);
  submit_jobs (world, planner, "late");
  world_run (world, 10000);
  assert_int_equal (world_starts (world, "late-0"), 1);
  world_free (world);
}

/*
 * Another writer leaves a claim without a holder that was taken as often as
 * can be counted: the next claim's count must not overflow to none, which
 * would count the term's first run number down from 0, give tasks run numbers
 * of ten digits, and start from 0 again after 64 of them.
 */
static void
test_count_of_claims_at_its_end_gives_sound_runs (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world_run (world, 1000);
  world_put_row (world, MUX_TABLE_CLAIM, "", "claim",
                 "{\"name\":\"\",\"addr\":\"\",\"heir\":\"\","
                 "\"incarnation\":0,\"term\":2147483646}");
  world_run (world, 4000);
  (void) world_submit (world, 0, world_job (1, 1, 1000), "job-a");
  world_run (world, 2000);
  assert_int_equal (world_starts (world, "job-a"), 1);
  print_message ("run %u\n", world->start[0].run);
  assert_true (world->start[0].run < INT32_MAX);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_late_answer_to_leaving_ends_no_later_term),
    cmocka_unit_test (test_planner_in_doubt_does_not_flood_the_store),
    cmocka_unit_test (test_term_row_of_another_writer_is_passed),
    cmocka_unit_test (test_no_run_number_is_given_in_two_terms),
    cmocka_unit_test (test_record_names_workers_of_adopted_runs),
    cmocka_unit_test (
        test_unheard_worker_holds_up_no_job_that_was_not_sent_there),
    cmocka_unit_test (test_cancel_behind_the_fence_is_read),
    cmocka_unit_test (test_waiting_for_a_worker_costs_little),
    cmocka_unit_test (test_waiting_for_all_workers_costs_little),
    cmocka_unit_test (test_unstored_ends_are_not_asked_for_without_pause),
    cmocka_unit_test (test_end_of_an_unreadable_job_is_not_acknowledged),
    cmocka_unit_test (test_planner_that_ended_its_term_is_replaced),
    cmocka_unit_test (test_count_of_claims_at_its_end_gives_sound_runs),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
