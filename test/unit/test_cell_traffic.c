#include "base/counters.h"
#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* What a planner with a full link or processor sends, and refuses. */

#define CELLS 3
/* Over 96, so that daemons proxy the planner's calls. */
#define WORKERS 120
#define SETTLE_MS 2000
#define SPAN_MS 10000
/* Its replies are late enough for a limit, and not for refusals. */
#define LATE_MS 400
#define LATE_STEP_MS 50
/* A refusal reaches its caller within this time. */
#define AT_ONCE_MS 50
#define TASK_MS 60000
/* Starts are held back from 3 s on, and jobs refused 0.5 s after that; other
 * daemons hear of that with their next hello. */
#define HELD_MS 4500
#define RECOVERY_MS 3000
#define TEXT_MAX ((size_t) 64 * 1024)

static void
set_late (World *world, uint32_t cell, int64_t late_ms)
{
  int64_t *now_late_ms = &world->cell[cell].input_delay_ms;

  while (*now_late_ms < late_ms)
    {
      *now_late_ms += LATE_STEP_MS;
      world_run (world, INT64_C (2) * LATE_STEP_MS);
    }
  *now_late_ms = late_ms;
}

static uint64_t
renewals (const World *world)
{
  return mux_messages_value (world->counters, MUX_TRAFFIC_PROXIED_RENEW,
                             MUX_SENT);
}

static uint64_t
renewals_in_span (World *world)
{
  uint64_t before = renewals (world);

  world_run (world, SPAN_MS);
  return renewals (world) - before;
}

/*
 * Guards against a late planner that polls idle workers as if it were in time,
 * loses workers because it polls them more rarely, or leaves out anything once
 * it is in time again.
 */
static void
test_late_planner_polls_idle_workers_less (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint64_t usual;
  uint64_t late;

  (void) state;
  world_run (world, SETTLE_MS);
  usual = renewals_in_span (world);
  assert_int_equal (world_logged (world, "traffic_limited"), 0);
  set_late (world, planner, LATE_MS);
  world_run (world, SETTLE_MS);
  late = renewals_in_span (world);
  print_message ("%u polls in 10 s, %u while late\n", (unsigned) usual,
                 (unsigned) late);
  assert_true (late * 2 < usual);
  assert_true (world_logged (world, "traffic_limited") > 0);
  assert_int_equal (world_logged (world, "worker_lost"), 0);
  set_late (world, planner, 0);
  world_run (world, INT64_C (3) * SETTLE_MS);
  assert_int_equal (world_logged (world, "traffic_unlimited"),
                    world_logged (world, "traffic_limited"));
  assert_true (renewals_in_span (world) * 10 > usual * 9);
  world_free (world);
}

/* Guards against leases that end because polls are limited: a task would be
 * started twice. */
static void
test_late_planner_keeps_its_leases (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world->task_ms = TASK_MS;
  world_skip_approval (world);
  world_run (world, SETTLE_MS);
  (void) world_submit (world, 0, world_job (1, 100, 1000), "job-a");
  world_run (world, SETTLE_MS);
  assert_int_equal (world_starts (world, "job-a"), 100);
  set_late (world, world_planner (world), LATE_MS);
  world_run (world, TASK_MS + SETTLE_MS);
  assert_int_equal (world_starts (world, "job-a"), 100);
  assert_int_equal (world_logged (world, "worker_lost"), 0);
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
  world_free (world);
}

static uint32_t
names_for_job (World *world, const char *id)
{
  uint64_t before
      = mux_counter_value (world->counters, MUX_COUNT_APPROVAL_NAMES);

  (void) world_submit (world, 0, world_job (3, 16, 1000), id);
  world_run (world, SPAN_MS);
  assert_int_equal (world_state (world, 0, id), MUX_JOB_COMPLETED);
  return (
      uint32_t) (mux_counter_value (world->counters, MUX_COUNT_APPROVAL_NAMES)
                 - before);
}

/* Guards against a planner that fills its link with names that are not used;
 * the job ends in time nevertheless. */
static void
test_late_planner_names_fewer_workers (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t usual;
  uint32_t late;

  (void) state;
  world->task_ms = 100;
  world->approve_one_in = 3;
  world->approve_by_chance = true;
  world_run (world, SETTLE_MS);
  usual = names_for_job (world, "usual");
  set_late (world, world_planner (world), LATE_MS);
  world_run (world, SETTLE_MS);
  late = names_for_job (world, "late");
  print_message ("%u names, %u while late\n", usual, late);
  assert_true (late < usual);
  world_free (world);
}

static MuxResponse
response_at_once (World *world, uint32_t cell, const char *id)
{
  uint64_t call = world_submit (world, cell, world_job (1, 1, 1000), id);

  world_run (world, AT_ONCE_MS);
  assert_true (world->answered[call]);
  return world->response[call];
}

/*
 * A planner that may start nothing, as it may have missed cancels, takes no
 * jobs: they are refused at once, with a time to retry, and do not run. Guards
 * also against a refusal that outlasts its cause.
 */
static void
test_planner_that_may_start_nothing_refuses_at_once (void **state)
{
  static const char *const ids[CELLS] = { "job-a", "job-b", "job-c" };
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);

  (void) state;
  world_skip_approval (world);
  world_run (world, SETTLE_MS);
  world->cell[planner].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_JOBS);
  world_run (world, HELD_MS);
  assert_int_equal (world_planner (world), planner);
  for (uint32_t cell = 0; cell < CELLS; cell++)
    {
      MuxResponse response = response_at_once (world, cell, ids[cell]);

      assert_int_equal (response.outcome, MUX_RESPONSE_REFUSED);
      assert_true (response.retry_ms > 0);
    }
  world->cell[planner].hanging_feeds = 0;
  world_run (world, RECOVERY_MS);
  for (uint32_t cell = 0; cell < CELLS; cell++)
    assert_int_equal (world_starts (world, ids[cell]), 0);
  for (uint32_t cell = 0; cell < CELLS; cell++)
    assert_int_equal (response_at_once (world, cell, ids[cell]).outcome,
                      MUX_RESPONSE_ACCEPTED);
  world_free (world);
}

/* Guards against counters that miss a proxied call or its reply, or that are
 * not among the metrics. */
static void
test_proxied_calls_are_counted_by_verb (void **state)
{
  static char text[TEXT_MAX];
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world->task_ms = 100;
  world_skip_approval (world);
  world_run (world, SETTLE_MS);
  (void) world_submit (world, 0, world_job (1, 10, 1000), "job-a");
  world_run (world, SETTLE_MS);
  assert_int_equal (
      mux_messages_value (world->counters, MUX_TRAFFIC_PROXIED_START, MUX_SENT),
      10);
  assert_int_equal (mux_messages_value (world->counters,
                                        MUX_TRAFFIC_PROXIED_START,
                                        MUX_RECEIVED),
                    10);
  assert_true (mux_message_bytes_value (world->counters,
                                        MUX_TRAFFIC_PROXIED_START, MUX_SENT)
               > 10 * sizeof "job-a");
  assert_true (renewals (world) > WORKERS);
  assert_true (mux_counters_print (world->counters, text, sizeof text)
               < sizeof text);
  assert_non_null (strstr (text,
                           "cuminmux_traffic_messages_total{verb=\"proxied"
                           "_start\",direction=\"sent\"} 10\n"));
  assert_non_null (
      strstr (text, "cuminmux_traffic_bytes_total{verb=\"commit\","));
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_late_planner_polls_idle_workers_less),
    cmocka_unit_test (test_late_planner_keeps_its_leases),
    cmocka_unit_test (test_late_planner_names_fewer_workers),
    cmocka_unit_test (test_planner_that_may_start_nothing_refuses_at_once),
    cmocka_unit_test (test_proxied_calls_are_counted_by_verb),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
