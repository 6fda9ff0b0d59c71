#include "base/counters.h"
#include "support/cell_world.h"
#include "support/random.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* No task starts long after its job's cancel was acknowledged, whatever keeps
 * the planner from learning of the cancel, and nothing else waits for that. */

#define CELLS 3
#define WORKERS 4
#define SETTLE_MS 3000
/* A cancelled job's task starts no later than this after its cancel. */
#define CANCEL_MS 4000
/* Tasks of a job of many steps, so that one of them starts at any time. */
#define STEPS 30
#define STEP_MS 400
#define CUT_MS 9000
#define SEEDS 16
/* More than are remembered as reported, 1,024. */
#define BAD_CANCELS 1100
/* Of a planner; each loses a call. */
#define FEEDS 4
#define RANDOM_JOBS 12
#define RANDOM_ROUNDS 25
/* A feed that is answered again shows the cancel within this time. */
#define RECOVERY_MS 3000
/* A feed of one row at a time takes longer than the bound to get through so
 * many jobs. */
#define SLOW_STORE_MS 300
#define QUEUED_JOBS 40
#define COMMIT_GAP_MS 100
#define LONG_TASK_MS 60000
/* A call that waits a second and is lost ends after this time. */
#define LOST_CALL_MS 1600
/* A new job has been stored and its workers recorded by then. */
#define STARTED_MS 300
/* Longer than a call to a worker may take, 700 ms. */
#define SLOW_ORDER_MS 1500
#define SLOW_JOBS 12
/* Shorter than a stop without a reply takes to be repeated. */
#define FULL_MS 400
/* Of the store; today's planner places nothing from 3 s after the last reply of
 * the feed of workers on, which comes each second. */
#define SHORT_OUTAGE_MS 1900
#define LONG_OUTAGE_MS 5000
/* The next step of the chain starts within 1.5 s of its return, as it did when
 * nothing was held back. */
#define RESUME_MS 2000

static uint32_t
other_than_planner (const World *world)
{
  return (world_planner (world) + 1) % CELLS;
}

static int64_t
last_start_ms (const World *world, const char *id)
{
  int64_t last_ms = -1;

  for (uint32_t i = 0; i < world->start_count; i++)
    if (strcmp (world->start[i].task.job, id) == 0
        && world->start[i].at_ms > last_ms)
      last_ms = world->start[i].at_ms;
  return last_ms;
}

static uint32_t
running (const World *world, const char *id)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    n += strcmp (world->start[i].task.job, id) == 0
         && world->start[i].ended_ms == 0;
  return n;
}

static World *
world_with_long_chain (void)
{
  World *world = world_new (CELLS, WORKERS);
  uint64_t job;

  world->task_ms = STEP_MS;
  world_skip_approval (world);
  world_run (world, SETTLE_MS);
  job = world_submit (world, 0, world_job (STEPS, 1, 1000), "chain");
  world_run (world, INT64_C (2) * STEP_MS);
  assert_int_equal (world->response[job].outcome, MUX_RESPONSE_ACCEPTED);
  assert_true (world_starts (world, "chain") > 0);
  return world;
}

static int64_t
cancel_acked_ms (World *world, uint32_t cell, const char *id)
{
  uint64_t cancel = world_request (world, cell, MUX_REQUEST_CANCEL, id);

  for (uint32_t i = 0; i < 2000 && !world->answered[cancel]; i++)
    world_run (world, 1);
  assert_true (world->answered[cancel]);
  assert_int_equal (world->response[cancel].outcome, MUX_RESPONSE_CANCELLED);
  return world->now_ms;
}

/*
 * The planner's feed of the jobs hangs, as behind a saturated link, while its
 * other calls are answered. Another daemon acknowledges a cancel meanwhile. The
 * planner must not go on to start steps of the cancelled job.
 */
static void
test_planner_with_a_hanging_feed_starts_nothing_past_the_bound (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 2000; phase_ms += 250)
    {
      World *world = world_with_long_chain ();
      uint32_t planner = world_planner (world);
      int64_t acked_ms;

      world_run (world, phase_ms);
      world->cell[planner].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_JOBS);
      world_run (world, 50);
      acked_ms = cancel_acked_ms (world, other_than_planner (world), "chain");
      world_run (world, CUT_MS);
      assert_int_equal (world_planner (world), planner);
      assert_true (last_start_ms (world, "chain") - acked_ms < CANCEL_MS);
      world->cell[planner].hanging_feeds = 0;
      world_run (world, RECOVERY_MS);
      assert_int_equal (running (world, "chain"), 0);
      world_free (world);
    }
}

/*
 * A store that delivers a long list of changes in many replies, each of them on
 * time: the planner is seconds behind, and must not take the latest reply for
 * a sign that it has seen all cancels.
 */
static void
test_planner_behind_with_its_feed_starts_nothing_past_the_bound (void **state)
{
  World *world = world_with_long_chain ();
  int64_t acked_ms;

  (void) state;
  world->feed_rows = 1;
  world->store_ms = SLOW_STORE_MS;
  for (uint32_t i = 0; i < QUEUED_JOBS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "behind%u", i);
      (void) world_submit (world, world_planner (world), world_job (1, 1, 100),
                           id);
      /* A commit of its own for each: rows of one are delivered together. */
      world_run (world, COMMIT_GAP_MS);
    }
  acked_ms = cancel_acked_ms (world, other_than_planner (world), "chain");
  world_run (world, CUT_MS);
  assert_true (last_start_ms (world, "chain") - acked_ms < CANCEL_MS);
  world->feed_rows = 0;
  world_run (world, RECOVERY_MS);
  assert_int_equal (running (world, "chain"), 0);
  world_free (world);
}

/*
 * A task that was started while the feed's call was lost, and cancelled at any
 * moment of that, is stopped within the bound. Guards against a gate that
 * allows a start whose stop comes too late.
 */
static void
test_task_started_during_a_lost_call_is_stopped_in_time (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms <= LOST_CALL_MS; phase_ms += 200)
    {
      World *world = world_new (CELLS, WORKERS);
      uint32_t planner = world_planner (world);
      int64_t acked_ms;

      world->task_ms = LONG_TASK_MS;
      world_skip_approval (world);
      world_run (world, SETTLE_MS);
      world->cell[planner].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_JOBS);
      world_run (world, phase_ms);
      (void) world_submit (world, planner, world_job (1, 4, 1000), "long");
      world_run (world, STARTED_MS);
      assert_int_equal (running (world, "long"), 4);
      acked_ms = cancel_acked_ms (world, other_than_planner (world), "long");
      world_run (world, LOST_CALL_MS);
      world->cell[planner].hanging_feeds = 0;
      world_run (world, acked_ms + CANCEL_MS - world->now_ms);
      assert_int_equal (running (world, "long"), 0);
      world_free (world);
    }
}

/*
 * Orders reach all workers 1.5 s late, so that their calls end without a reply,
 * and the feed hangs. Guards against a start whose order counts as being as
 * quick as the calls that are answered.
 */
static void
test_slow_orders_start_nothing_past_the_bound (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 2000; phase_ms += 250)
    {
      World *world = world_new (CELLS, WORKERS);
      uint32_t planner = world_planner (world);
      int64_t acked_ms[SLOW_JOBS];
      char id[16];

      world->task_ms = STEP_MS;
      world->late_ms = SLOW_ORDER_MS;
      world_skip_approval (world);
      world_run (world, SETTLE_MS);
      for (uint32_t i = 0; i < WORKERS; i++)
        world->worker[i].fault = WORLD_LATE;
      for (uint32_t i = 0; i < SLOW_JOBS; i++)
        {
          snprintf (id, sizeof id, "slow%u", i);
          (void) world_submit (world, planner, world_job (STEPS, 1, 1000), id);
          world_run (world, COMMIT_GAP_MS);
        }
      world_run (world, SETTLE_MS + phase_ms);
      world->cell[planner].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_JOBS);
      world_run (world, 50);
      for (uint32_t i = 0; i < SLOW_JOBS; i++)
        {
          snprintf (id, sizeof id, "slow%u", i);
          acked_ms[i] = cancel_acked_ms (world, other_than_planner (world), id);
        }
      world_run (world, CUT_MS);
      for (uint32_t i = 0; i < SLOW_JOBS; i++)
        {
          snprintf (id, sizeof id, "slow%u", i);
          assert_true (world_starts (world, id) > 0);
          assert_true (last_start_ms (world, id) - acked_ms[i] < CANCEL_MS);
        }
      world_free (world);
    }
}

/* Starts that are held in 8 phases of a feed's wait, with so many workers down
 * and a feed that hangs for a time that holds none back by itself. */
static uint32_t
times_held (uint32_t workers_down)
{
  uint32_t held = 0;

  for (int64_t phase_ms = 0; phase_ms < 2000; phase_ms += 250)
    {
      World *world = world_new (CELLS, WORKERS);

      world_skip_approval (world);
      world_run (world, SETTLE_MS);
      for (uint32_t i = 0; i < workers_down; i++)
        world->worker[i].unreachable = true;
      world_run (world, SETTLE_MS + phase_ms);
      world->cell[world_planner (world)].hanging_feeds
          = WORLD_FEED_BIT (MUX_TABLE_JOBS);
      world_run (world, SHORT_OUTAGE_MS);
      held += world_logged (world, "starts_held");
      world_free (world);
    }
  return held;
}

/* Guards against one dead worker that holds the starts at all others back. */
static void
test_dead_worker_holds_no_start_back (void **state)
{
  (void) state;
  assert_int_equal (times_held (0), 0);
  assert_int_equal (times_held (1), 0);
  assert_true (times_held (WORKERS) > 0);
}

/* A planner that has acknowledged a cancel itself knows of it. */
static void
test_planners_own_cancel_needs_no_feed (void **state)
{
  World *world = world_with_long_chain ();
  uint32_t planner = world_planner (world);
  int64_t acked_ms;

  (void) state;
  world->cell[planner].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_JOBS);
  acked_ms = cancel_acked_ms (world, planner, "chain");
  world_run (world, 50);
  assert_int_equal (running (world, "chain"), 0);
  world_run (world, CUT_MS);
  assert_true (last_start_ms (world, "chain") <= acked_ms);
  world_free (world);
}

/* A stop that finds the ring of calls full is sent as soon as there is space,
 * not when its reply would be overdue. */
static void
test_stop_is_sent_once_it_can_be (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  int64_t acked_ms;

  (void) state;
  world->task_ms = LONG_TASK_MS;
  world_skip_approval (world);
  world_run (world, SETTLE_MS);
  (void) world_submit (world, 0, world_job (1, 4, 1000), "long");
  world_run (world, 1000);
  assert_int_equal (running (world, "long"), 4);
  world->cell[planner].ring_full = true;
  acked_ms = cancel_acked_ms (world, other_than_planner (world), "long");
  world_run (world, FULL_MS);
  assert_int_equal (running (world, "long"), 4);
  world->cell[planner].ring_full = false;
  world_run (world, 50);
  assert_int_equal (running (world, "long"), 0);
  assert_true (world->now_ms - acked_ms < INT64_C (2) * FULL_MS);
  world_free (world);
}

/* Nothing is held back while a feed only waits for changes, be the store fast
 * or slow, nor after a takeover. */
static void
test_usual_day_holds_no_start_back (void **state)
{
  static const int64_t store_ms[] = { 5, 100, 300, 500 };

  (void) state;
  for (uint32_t i = 0; i < sizeof store_ms / sizeof *store_ms; i++)
    {
      World *world = world_new (CELLS, WORKERS);

      world_skip_approval (world);
      world->task_ms = STEP_MS;
      world->store_ms = store_ms[i];
      /* Gaps of all lengths around the feed's wait. */
      for (uint32_t job = 0; job < 60; job++)
        {
          char id[16];

          snprintf (id, sizeof id, "job%u", job);
          (void) world_submit (world, job % CELLS, world_job (3, 2, 1000), id);
          world_run (world, 100 + job * 53 % 2700);
        }
      assert_int_equal (world_logged (world, "starts_held"), 0);
      world_cell_kill (world, world_planner (world));
      world_run (world, 10000);
      assert_int_equal (world_logged (world, "starts_held"), 0);
      world_free (world);
    }
}

/*
 * A store that is silent for a short time, as it is several times a day, must
 * not hold starts back: the planner survives that without a pause. After a
 * long one planning goes on at once.
 */
static void
test_short_outage_holds_no_start_back (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 2000; phase_ms += 250)
    for (int64_t outage_ms = SHORT_OUTAGE_MS; outage_ms <= LONG_OUTAGE_MS;
         outage_ms += LONG_OUTAGE_MS - SHORT_OUTAGE_MS)
      {
        World *world = world_with_long_chain ();
        uint32_t before;

        world_run (world, phase_ms);
        for (uint32_t i = 0; i < CELLS; i++)
          world->cell[i].store = WORLD_SILENT;
        world_run (world, outage_ms);
        if (outage_ms == SHORT_OUTAGE_MS)
          assert_int_equal (world_logged (world, "starts_held"), 0);
        for (uint32_t i = 0; i < CELLS; i++)
          world->cell[i].store = WORLD_SERVES;
        before = world_starts (world, "chain");
        world_run (world, RESUME_MS);
        assert_true (world_starts (world, "chain") > before);
        world_free (world);
      }
}

/* Guards against a step whose wait is logged with another reason while starts
 * are held back. */
static void
test_wait_for_held_starts_is_logged (void **state)
{
  World *world = world_with_long_chain ();

  (void) state;
  world->cell[world_planner (world)].hanging_feeds
      = WORLD_FEED_BIT (MUX_TABLE_JOBS);
  world_run (world, CUT_MS + SETTLE_MS);
  assert_true (world->blocked_logged > 0);
  assert_string_equal (world->blocked_on, "cancels");
  world_free (world);
}

/* Guards against a row that counts twice because cancels are read before the
 * other rows of a reply; only so many reported rows are remembered. */
static void
test_cancel_with_a_bad_key_counts_once (void **state)
{
  static const uint32_t counts[] = { 1, BAD_CANCELS };

  (void) state;
  for (uint32_t i = 0; i < sizeof counts / sizeof *counts; i++)
    {
      World *world = world_new (1, WORKERS);

      world_run (world, SETTLE_MS);
      for (uint32_t row = 0; row < counts[i]; row++)
        {
          char key[16];

          snprintf (key, sizeof key, "bad%u!", row);
          world_put_row (world, MUX_TABLE_JOBS, "none", key, "{}");
        }
      world_run (world, SETTLE_MS);
      assert_int_equal (
          mux_counter_value (world->counters, MUX_COUNT_ROWS_BAD_KEY),
          counts[i]);
      world_free (world);
    }
}

/* Guards against a feed whose loss leaves no trace in the log, because its call
 * follows a reply with changes and does not wait. */
static void
test_loss_of_a_call_without_a_wait_is_logged (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 1000; phase_ms += 10)
    {
      World *world = world_new (1, WORKERS);

      world_skip_approval (world);
      world_run (world, SETTLE_MS + phase_ms);
      (void) world_submit (world, 0, world_job (1, 1, 1000), "change");
      /* The reply has arrived, and the next call is not sent yet. */
      world_run (world, 25);
      world->cell[0].store = WORLD_SILENT;
      world_run (world, SHORT_OUTAGE_MS);
      assert_int_equal (world_logged (world, "feed_lost"), FEEDS);
      world_free (world);
    }
}

/* Breaks or mends one way by which the planner learns of cancels. */
static void
change_feed (World *world, uint32_t planner, MuxRandom *random)
{
  WorldCell *cell = &world->cell[planner];

  switch (mux_random_below (random, 7))
    {
    case 0:
      cell->hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_JOBS);
      break;
    case 1:
      world->store_ms = 5 + (int64_t) mux_random_below (random, 900);
      break;
    case 2:
      world->feed_rows = 1 + mux_random_below (random, 3);
      break;
    case 3:
      cell->input_delay_ms = (int64_t) mux_random_below (random, 400);
      break;
    case 4:
      cell->unseen_delay_ms = (int64_t) mux_random_below (random, 2500);
      break;
    default:
      cell->hanging_feeds = 0;
      cell->unseen_delay_ms = 0;
      cell->input_delay_ms = 0;
      world->feed_rows = 0;
      world->store_ms = 5;
    }
}

static void
cancel_at_random (uint64_t seed)
{
  int64_t acked_ms[RANDOM_JOBS];
  uint64_t cancel[RANDOM_JOBS] = { 0 };
  MuxRandom random = { .state = seed };
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);

  world->task_ms = STEP_MS;
  world_skip_approval (world);
  world_run (world, SETTLE_MS);
  for (uint32_t i = 0; i < RANDOM_JOBS; i++)
    {
      char id[16];

      acked_ms[i] = INT64_MAX;
      snprintf (id, sizeof id, "job%u", i);
      (void) world_submit (world, planner, world_job (STEPS, 1, 1000), id);
    }
  world_run (world, 1000);
  for (uint32_t round = 0; round < RANDOM_ROUNDS; round++)
    {
      uint32_t victim = mux_random_below (&random, RANDOM_JOBS);
      char id[16];

      change_feed (world, planner, &random);
      snprintf (id, sizeof id, "job%u", victim);
      if (cancel[victim] == 0 && mux_random_below (&random, 2) == 0)
        cancel[victim] = world_request (world, (planner + 1) % CELLS,
                                        MUX_REQUEST_CANCEL, id);
      world_run (world, 50 + (int64_t) mux_random_below (&random, 1500));
      for (uint32_t i = 0; i < RANDOM_JOBS; i++)
        if (cancel[i] != 0 && acked_ms[i] == INT64_MAX
            && world->answered[cancel[i]]
            && world->response[cancel[i]].outcome == MUX_RESPONSE_CANCELLED)
          acked_ms[i] = world->now_ms;
    }
  for (uint32_t i = 0; i < RANDOM_JOBS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "job%u", i);
      assert_true (acked_ms[i] == INT64_MAX
                   || last_start_ms (world, id) - acked_ms[i] < CANCEL_MS);
    }
  world_free (world);
}

/* Guards against a combination of faults under which knowledge counts as newer
 * than it is. */
static void
test_random_faults_of_the_feed (void **state)
{
  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      print_message ("seed %u\n", (unsigned) seed);
      cancel_at_random (seed);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        test_planner_with_a_hanging_feed_starts_nothing_past_the_bound),
    cmocka_unit_test (
        test_planner_behind_with_its_feed_starts_nothing_past_the_bound),
    cmocka_unit_test (test_task_started_during_a_lost_call_is_stopped_in_time),
    cmocka_unit_test (test_slow_orders_start_nothing_past_the_bound),
    cmocka_unit_test (test_dead_worker_holds_no_start_back),
    cmocka_unit_test (test_planners_own_cancel_needs_no_feed),
    cmocka_unit_test (test_stop_is_sent_once_it_can_be),
    cmocka_unit_test (test_usual_day_holds_no_start_back),
    cmocka_unit_test (test_short_outage_holds_no_start_back),
    cmocka_unit_test (test_wait_for_held_starts_is_logged),
    cmocka_unit_test (test_cancel_with_a_bad_key_counts_once),
    cmocka_unit_test (test_loss_of_a_call_without_a_wait_is_logged),
    cmocka_unit_test (test_random_faults_of_the_feed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
