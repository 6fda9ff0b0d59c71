#include "support/cell_world.h"
#include "support/test.h"

/*
 * A planner fails, and its successor can't reach one of the workers. What is
 * stored has to tell the successor for how long something may run there.
 */

#define CELLS 3
#define WORKERS 4
/* The worker that the successor does not reach. */
#define LOST 0
/* Three fit on a worker; the worker that gets lost runs some. */
#define TASK_CPU_MILLI 10000
/* Most of a worker: one task on each. */
#define ALL_CPU_MILLI 30000
/* Duration of a store call, usual and some 200 times slower. */
#define USUAL_STORE_MS 5
#define SLOW_STORE_MS 900
/* Longer than a renewal waits, and short enough for an answer. */
#define SLOWEST_STORE_MS 1300
/* More jobs than a planner runs one after the other in five seconds. */
#define SHORT_JOBS 100
/* Longer than all that a successor waits for. */
#define LONG_TASK_MS 60000
/* A successor's claim, and the longest that it may wait: the predecessor's
 * claim lease and a worker lease. */
#define SETTLE_MS 16000

static World *
world_with_long_runs (void)
{
  World *world = world_new (CELLS, WORKERS);

  world_run (world, 1000);
  world->task_ms = LONG_TASK_MS;
  (void) world_submit (world, world_planner (world),
                       world_job (1, WORKERS, TASK_CPU_MILLI), "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), WORKERS);
  return world;
}

/* Shows that the planner uses the worker again. */
static void
fill_all_workers (World *world)
{
  uint32_t tasks = 2 * WORKERS - 1;

  (void) world_submit (world, world_planner (world),
                       world_job (1, tasks, TASK_CPU_MILLI), "job-b");
  world_run (world, 1000);
  assert_int_equal (world_starts (world, "job-b"), tasks);
}

static WorldFault *
roster_commits (World *world)
{
  return &world->cell[world_planner (world)].commits[MUX_TABLE_ROSTER];
}

static void
end_behind_the_planner_s_death (World *world)
{
  uint32_t planner = world_planner (world);

  for (uint32_t i = 0; i < CELLS; i++)
    if (i != planner)
      world->cell[i].unreachable_workers = LOST + 1;
  world_cell_kill (world, planner);
  world_run (world, SETTLE_MS);
  assert_int_not_equal (world_planner (world), planner);
  assert_false (world_double_run (world));
  world_free (world);
}

/*
 * A worker is unreachable for two seconds. The planner stores when its lease
 * expires, and the answer is lost. The worker comes back and its leases are
 * renewed, but the stored expiry is not removed. Seconds later the planner
 * fails: its successor must not take the expiry for current and start the
 * worker's tasks elsewhere while they run.
 */
static void
mark_without_an_answer (int64_t cut_ms)
{
  World *world = world_with_long_runs ();

  *roster_commits (world) = WORLD_LOSES_ANSWER;
  world->worker[LOST].unreachable = true;
  world_run (world, cut_ms);
  world->worker[LOST].unreachable = false;
  world_run (world, 3000);
  *roster_commits (world) = WORLD_SERVES;
  world_run (world, 2000);
  fill_all_workers (world);
  end_behind_the_planner_s_death (world);
}

/*
 * The same, but the worker is back before a slow store has answered: its lease
 * is renewed at once, the expiry is that of the earlier lease, and the planner
 * fails.
 */
static void
mark_on_its_way (int64_t cut_ms, int64_t back_ms)
{
  World *world = world_with_long_runs ();

  world->store_ms = SLOW_STORE_MS;
  world->worker[LOST].unreachable = true;
  world_run (world, cut_ms);
  world->worker[LOST].unreachable = false;
  world_run (world, back_ms);
  world->store_ms = USUAL_STORE_MS;
  end_behind_the_planner_s_death (world);
}

/*
 * The same, but the expiry is written three seconds late, when the worker has
 * long been back: the claim, its condition, has not changed.
 */
static void
mark_carried_out_late (int64_t cut_ms)
{
  World *world = world_with_long_runs ();

  world->late_ms = 3000;
  *roster_commits (world) = WORLD_LATE;
  world->worker[LOST].unreachable = true;
  world_run (world, cut_ms);
  world->worker[LOST].unreachable = false;
  world_run (world, 500);
  *roster_commits (world) = WORLD_SERVES;
  world_run (world, 4000);
  end_behind_the_planner_s_death (world);
}

/*
 * A worker is lost for longer than its lease; the commit that removes it from
 * the roster is applied late. Meanwhile the planner has removed it again, the
 * worker is back, has been added to the roster and runs tasks. The late commit
 * must not remove it: a successor would not wait for it.
 */
static void
removal_carried_out_late (int64_t late_ms)
{
  World *world = world_with_long_runs ();

  world->worker[LOST].unreachable = true;
  world_run (world, 3000);
  world->late_ms = late_ms;
  *roster_commits (world) = WORLD_LATE;
  world_run (world, 2500);
  *roster_commits (world) = WORLD_SERVES;
  world->worker[LOST].unreachable = false;
  world_run (world, 2000);
  fill_all_workers (world);
  world_run (world, late_ms);
  end_behind_the_planner_s_death (world);
}

/* The cases above, each at moments that are close together. */
static void
test_roster_is_never_behind_its_planner (void **state)
{
  (void) state;
  for (int64_t cut_ms = 1500; cut_ms < 3500; cut_ms += 200)
    mark_without_an_answer (cut_ms);
  for (int64_t cut_ms = 1500; cut_ms < 3000; cut_ms += 200)
    for (int64_t back_ms = 200; back_ms < 1100; back_ms += 200)
      mark_on_its_way (cut_ms, back_ms);
  for (int64_t cut_ms = 1500; cut_ms < 3500; cut_ms += 200)
    mark_carried_out_late (cut_ms);
  for (int64_t late_ms = 2000; late_ms < 7000; late_ms += 1000)
    removal_carried_out_late (late_ms);
}

/*
 * A worker is unreachable for longer than its lease. The store refuses the
 * removal from the roster for a while, and meanwhile the last renewal is given
 * up. The planner must call the worker again after that: if it drops the
 * renewal's answer it must also drop the note that one is on its way, or the
 * worker's room stays unused, and a gang that needs it does not start until
 * another daemon plans.
 */
static void
test_worker_is_used_again_after_its_lease (void **state)
{
  (void) state;
  for (int64_t refused_ms = 1000; refused_ms < 3000; refused_ms += 100)
    {
      World *world = world_new (CELLS, WORKERS);
      MuxJobSpec *gang = world_job (1, WORKERS, ALL_CPU_MILLI);

      gang->step[0].gang = true;
      world_run (world, 1000);
      world->worker[LOST].unreachable = true;
      world_run (world, 3500);
      *roster_commits (world) = WORLD_REFUSES;
      world_run (world, refused_ms);
      *roster_commits (world) = WORLD_SERVES;
      world->worker[LOST].unreachable = false;
      world_run (world, 2000);
      (void) world_submit (world, world_planner (world), gang, "job-a");
      world_run (world, 2000);
      assert_int_equal (world_starts (world, "job-a"), WORKERS);
      world_free (world);
    }
}

/* The first of all runs fails this much later, the others go on. */
static void
fail_first_run (World *world, int64_t ms)
{
  WorldWorker *worker = &world->worker[world->start[0].worker];

  worker->fails = true;
  worker->run[0].ends_ms = world->now_ms + ms;
}

static void
all_progress (World *world, WorldFault fault)
{
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].commits[MUX_TABLE_PROGRESS] = fault;
}

/*
 * Urgent tasks must not start before the workers that may run them are stored,
 * as a successor that finds a record waits only for the workers in it. A
 * planner fails with a record stored. The next one reads it, starts the task
 * on another worker without storing that, and fails as well. The third finds
 * the first one's record, waits for the workers in it alone, and starts the
 * task once more while it runs.
 */
static void
test_record_of_a_former_planner_names_all_workers (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t first = world_planner (world);
  uint32_t second;

  (void) state;
  world_make_urgent (world);
  world_run (world, 1000);
  world->task_ms = LONG_TASK_MS;
  world->approve_one_in = 2;
  (void) world_submit (world, first, world_job (1, 2, ALL_CPU_MILLI), "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), 2);
  world->approve_one_in = 0;
  fail_first_run (world, 2000);
  all_progress (world, WORLD_REFUSES);
  world_cell_kill (world, first);
  world_run (world, 2500);
  second = world_planner (world);
  assert_int_not_equal (second, first);
  all_progress (world, WORLD_SERVES);
  world_cell_kill (world, second);
  world->worker[world->start[world->start_count - 1].worker].unreachable = true;
  world_run (world, SETTLE_MS);
  assert_true (world_starts (world, "job-a") > 2);
  assert_false (world_double_run (world));
  world_free (world);
}

/* The worker is approved for the job's tasks then, and has none. */
static void
end_runs_of_the_lost_worker (World *world)
{
  for (uint32_t i = 0; i < world->worker[LOST].run_end; i++)
    world->worker[LOST].run[i].ends_ms = world->now_ms;
  world_run (world, 300);
}

/* Cuts the planner and one worker off from all others. */
static void
cut_planner_off (World *world)
{
  uint32_t planner = world_planner (world);

  world->cell[planner].hanging_feeds = true;
  world->cell[planner].isolated = true;
  world->cell[planner].reachable_workers = LOST + 1;
  for (uint32_t i = 0; i < CELLS; i++)
    if (i != planner)
      world->cell[i].unreachable_workers = LOST + 1;
}

/*
 * Two regions are partitioned; the planner is in the one without the store. A
 * successor takes over in the other and renews the leases of the workers
 * there. The planner knows nothing of that, and its claim is still valid when
 * the leases that it gave those workers expire: it must not start their tasks
 * again on a worker of its own region.
 */
static void
test_lease_is_over_only_while_the_claim_is_sure (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 1000; phase_ms += 100)
    {
      World *world = world_with_long_runs ();
      uint32_t planner = world_planner (world);

      end_runs_of_the_lost_worker (world);
      world_run (world, phase_ms);
      cut_planner_off (world);
      world->cell[planner].store = WORLD_SILENT;
      world_run (world, SETTLE_MS);
      assert_int_not_equal (world_planner (world), planner);
      assert_false (world_double_run (world));
      world_free (world);
    }
}

static WorldRun *
first_run (World *world, const char *id)
{
  for (uint32_t i = 0; i < world->worker[0].run_end; i++)
    if (world->worker[0].run[i].used
        && strcmp (world->worker[0].run[i].task.job, id) == 0)
      return &world->worker[0].run[i];
  fail_msg ("no run of %s", id);
  return NULL;
}

static void
start_one (World *world, const char *id, int64_t task_ms)
{
  world->task_ms = task_ms;
  (void) world_submit (world, world_planner (world),
                       world_job (1, 1, TASK_CPU_MILLI), id);
  world_run (world, 300);
  assert_int_equal (world_starts (world, id), 1);
}

/*
 * A worker ends two tasks while the planner does not reach it, and lists the
 * later end first. The planner must not take the number of that one as the
 * highest known and acknowledge both: the other task, which ended well, would
 * be started again.
 */
static void
test_ends_are_taken_in_any_order (void **state)
{
  World *world = world_new (CELLS, 1);

  (void) state;
  world_run (world, 1000);
  start_one (world, "job-a", 500);
  start_one (world, "job-b", LONG_TASK_MS);
  world_run (world, 1000);
  start_one (world, "job-c", LONG_TASK_MS);
  assert_true (first_run (world, "job-c") < first_run (world, "job-b"));
  world->worker[0].unreachable = true;
  first_run (world, "job-b")->ends_ms = world->now_ms + 10;
  first_run (world, "job-c")->ends_ms = world->now_ms + 20;
  world_run (world, 300);
  world->worker[0].unreachable = false;
  world_run (world, 6000);
  assert_int_equal (world_starts (world, "job-b"), 1);
  assert_int_equal (world_starts (world, "job-c"), 1);
  world_free (world);
}

/* They run one after the other on the lost worker. */
static void
submit_short_jobs (World *world, uint32_t cell)
{
  world->task_ms = 100;
  for (uint32_t i = 0; i < SHORT_JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "short-%u", i);
      (void) world_submit (world, cell, world_job (1, 1, 2000), id);
    }
  world_run (world, 300);
}

static void
refuse_fences (World *world, uint32_t planner, WorldFault fault)
{
  for (uint32_t i = 0; i < CELLS; i++)
    if (i != planner)
      world->cell[i].commits[MUX_TABLE_FENCE] = fault;
}

static void
wait_for_another_claim (World *world, uint64_t version)
{
  for (uint32_t i = 0; i < 5000 && world_claim_version (world) == version; i++)
    world_run (world, 1);
  assert_int_not_equal (world_claim_version (world), version);
}

/* The store fails the planner only for the claim's part; another daemon
 * claims. */
static World *
world_with_a_claim_behind_the_planner (uint32_t *planner, int64_t store_ms)
{
  World *world = world_with_long_runs ();
  uint64_t version = world_claim_version (world);

  *planner = world_planner (world);
  submit_short_jobs (world, *planner);
  world->cell[*planner].commits[MUX_TABLE_CLAIM] = WORLD_SILENT;
  world->cell[*planner].commits[MUX_TABLE_ROSTER] = WORLD_SILENT;
  world->store_ms = store_ms;
  cut_planner_off (world);
  wait_for_another_claim (world, version);
  return world;
}

/* An end that only the old planner received, and could not store, may be
 * followed by another run. */
static bool
runs_at_the_same_time (const World *world)
{
  for (uint32_t i = 0; i < world->start_count; i++)
    for (uint32_t j = 0; j < i; j++)
      {
        const WorldStart *a = &world->start[j];
        const WorldStart *b = &world->start[i];

        if (memcmp (&a->task, &b->task, sizeof a->task) == 0
            && (a->ended_ms == 0 || b->at_ms < a->ended_ms))
          return true;
      }
  return false;
}

static void
end_with_the_planner_without_store (World *world, uint32_t planner)
{
  world->cell[planner].store = WORLD_SILENT;
  refuse_fences (world, planner, WORLD_SERVES);
  world_run (world, 2 * SLOW_STORE_MS);
  world->store_ms = USUAL_STORE_MS;
  world_run (world, SETTLE_MS);
  assert_false (runs_at_the_same_time (world));
  world_free (world);
}

/*
 * The store fails a planner only for the claim's part. Another daemon claims,
 * and is refused, or waits for a slow store, before it can fence the parts of
 * the jobs. Until then the planner's commits of progress succeed and confirm a
 * claim that is no longer its own. Then it loses the store, and its claim
 * lasts eight seconds more; a worker that it alone reaches keeps its tasks for
 * another lease. The new planner must count from its last fence, not from its
 * claim, before it starts these tasks again.
 */
static void
test_wait_for_an_unheard_worker_begins_at_the_last_fence (void **state)
{
  uint32_t planner;

  (void) state;
  for (int64_t fence_ms = 1000; fence_ms < 3500; fence_ms += 500)
    {
      World *world
          = world_with_a_claim_behind_the_planner (&planner, USUAL_STORE_MS);

      refuse_fences (world, planner, WORLD_REFUSES);
      world_run (world, fence_ms);
      end_with_the_planner_without_store (world, planner);
    }
  for (int64_t slow_ms = 300; slow_ms <= SLOW_STORE_MS; slow_ms += 100)
    {
      World *world = world_with_a_claim_behind_the_planner (&planner, slow_ms);

      world_run (world, slow_ms);
      end_with_the_planner_without_store (world, planner);
    }
}

/*
 * A roster of more workers than the store returns in one answer. A new planner
 * has to read on: if it asks for the first page again and again it never
 * plans, and no job runs.
 */
static void
test_long_roster_is_read_whole (void **state)
{
  World *world = world_with_long_runs ();
  uint32_t planner = world_planner (world);

  (void) state;
  world->page_rows = 2;
  world_cell_kill (world, planner);
  world_run (world, 3000);
  fill_all_workers (world);
  assert_int_not_equal (world_planner (world), planner);
  assert_false (world_double_run (world));
  world_free (world);
}

/*
 * A worker is lost just after a start. The planner stores the end of its lease
 * as a time of the store's clock, which with a slow store it knows only as it
 * was when the answer was sent, and so must not store a second too early: its
 * successor, to which the store answers quickly, would start the task again
 * while it runs.
 */
static void
test_mark_is_not_before_the_end_of_the_lease (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 1000; phase_ms += 250)
    for (int64_t dies_ms = 1000; dies_ms < 2400; dies_ms += 200)
      {
        World *world = world_new (CELLS, WORKERS);

        world_make_urgent (world);
        world_run (world, 1000 + phase_ms);
        world->store_ms = SLOW_STORE_MS;
        world->task_ms = LONG_TASK_MS;
        (void) world_submit (world, world_planner (world),
                             world_job (1, 1, TASK_CPU_MILLI), "job-a");
        while (world->start_count == 0)
          world_run (world, 1);
        assert_int_equal (world->start[0].worker, LOST);
        world->worker[LOST].unreachable = true;
        world_run (world, dies_ms);
        world->store_ms = USUAL_STORE_MS;
        end_behind_the_planner_s_death (world);
      }
}

static void
wait_for_planner_other_than (World *world, uint32_t planner)
{
  for (uint32_t i = 0; i < 5000 && world_planner (world) == planner; i++)
    world_run (world, 1);
  assert_int_not_equal (world_planner (world), planner);
}

/*
 * The expiry of a lost worker is stored, and the planner fails. The successor
 * reaches the worker, takes its tasks over, and loses it for good before the
 * expiry is removed, so that it has never requested a lease. It must not wait
 * for ever for a lease that it does not know; the tasks have to start again.
 */
static void
test_worker_lost_after_its_first_list_is_given_up (void **state)
{
  World *world = world_with_long_runs ();
  uint32_t planner = world_planner (world);
  uint32_t lost = 0;

  (void) state;
  world->worker[LOST].unreachable = true;
  world_run (world, 1800);
  world_cell_kill (world, planner);
  world->worker[LOST].unreachable = false;
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].commits[MUX_TABLE_ROSTER] = WORLD_REFUSES;
  wait_for_planner_other_than (world, planner);
  world_run (world, 100);
  world->worker[LOST].unreachable = true;
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].commits[MUX_TABLE_ROSTER] = WORLD_SERVES;
  world_run (world, SETTLE_MS);
  for (uint32_t i = 0; i < WORKERS; i++)
    lost += world->start[i].worker == LOST;
  assert_int_equal (world_starts (world, "job-a"), WORKERS + lost);
  assert_false (world_double_run (world));
  world_free (world);
}

/*
 * A planner fails, and all workers restart. The successor finds the old
 * incarnations in the roster but not in the platform's list. It must call them
 * nevertheless, and find the new incarnations at their addresses, instead of
 * waiting out the longest lease, twelve seconds.
 */
static void
test_roster_s_workers_are_asked_though_unlisted (void **state)
{
  World *world = world_with_long_runs ();

  (void) state;
  world_cell_kill (world, world_planner (world));
  for (uint32_t i = 0; i < WORKERS; i++)
    world_worker_restart (world, i);
  world_run (world, 4000);
  assert_int_equal (world_starts (world, "job-a"), 2 * WORKERS);
  assert_false (world_double_run (world));
  world_free (world);
}

static uint32_t
workers_in_roster (const World *world)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < world->row_count; i++)
    n += world->row[i].table == MUX_TABLE_ROSTER && !world->row[i].removed
         && strncmp (world->row[i].key, "i-", 2) == 0;
  return n;
}

/*
 * A worker restarts while its entry is on its way into the roster. The planner
 * must not take it as absent because the worker was dead when the answer came:
 * the entry would stay for good, and each successor would wait for a worker
 * that is gone.
 */
static void
test_roster_names_no_worker_replaced_meanwhile (void **state)
{
  (void) state;
  for (int64_t up_ms = 50; up_ms < 1500; up_ms += 50)
    {
      World *world = world_new (CELLS, WORKERS);

      world_run (world, 1000);
      world->store_ms = SLOWEST_STORE_MS;
      world_worker_restart (world, LOST);
      world_run (world, up_ms);
      world_worker_restart (world, LOST);
      world_run (world, 3000);
      world->store_ms = USUAL_STORE_MS;
      world_run (world, 3000);
      assert_int_equal (workers_in_roster (world), WORKERS);
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_worker_is_used_again_after_its_lease),
    cmocka_unit_test (test_roster_is_never_behind_its_planner),
    cmocka_unit_test (test_record_of_a_former_planner_names_all_workers),
    cmocka_unit_test (test_lease_is_over_only_while_the_claim_is_sure),
    cmocka_unit_test (test_ends_are_taken_in_any_order),
    cmocka_unit_test (test_wait_for_an_unheard_worker_begins_at_the_last_fence),
    cmocka_unit_test (test_long_roster_is_read_whole),
    cmocka_unit_test (test_mark_is_not_before_the_end_of_the_lease),
    cmocka_unit_test (test_worker_lost_after_its_first_list_is_given_up),
    cmocka_unit_test (test_roster_s_workers_are_asked_though_unlisted),
    cmocka_unit_test (test_roster_names_no_worker_replaced_meanwhile),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
