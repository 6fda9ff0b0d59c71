#include "support/share_load.h"
#include "support/test.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

/* Workspaces that compete for room: what the others lose while one sends ten
 * times its usual load, and what all get in a burst. */

#define SEEDS 3
#define SETTLE_MS 100
#define AT_ONCE_MS 50
/* After so long without a reply the planner's heartbeat counts, */
#define SILENT_MS 850
/* which names this wait, short enough that the planner does not count as
 * overloaded. */
#define QUEUE_WAIT_MS 900

/* Guards against refusals and limits where all work is done in time. */
static void
test_usual_load_is_served_in_full (void **state)
{
  ShareLoad *load = share_load_new (true, false);
  ShareOutcome outcome = share_load_play (load, 10, 10, false);

  (void) state;
  share_outcome_print ("usual", &outcome);
  assert_int_equal (outcome.others.in_time, outcome.others.sent);
  assert_int_equal (outcome.hot.in_time, outcome.hot.sent);
  assert_int_equal (world_logged (load->world, "shares_limited"), 0);
  share_load_free (load);
}

/* Guards against a workspace at ten times its usual load that takes room, and
 * acceptances, from workspaces that send no more than usual: 41 of their 102
 * jobs were in time with one order and one backlog for all. */
static void
test_hot_workspace_takes_nothing_from_others (void **state)
{
  ShareLoad *load = share_load_new (true, false);
  ShareOutcome outcome = share_load_play (load, 100, 10, false);

  (void) state;
  share_outcome_print ("ten times", &outcome);
  assert_int_equal (outcome.others.in_time, outcome.others.sent);
  assert_true (outcome.hot.in_time >= 20);
  assert_true (outcome.hot.in_time * 10 >= outcome.hot.accepted * 9);
  assert_true (outcome.hot.slowest_refusal_ms <= AT_ONCE_MS);
  assert_true (world_logged (load->world, "share_exceeded") > 0);
  share_load_free (load);
}

/* The same where each start needs a proof by the policy service. */
static void
test_hot_workspace_with_approvals (void **state)
{
  ShareLoad *load = share_load_new (true, true);
  ShareOutcome outcome = share_load_play (load, 100, 10, false);

  (void) state;
  share_outcome_print ("ten times, approvals", &outcome);
  assert_int_equal (outcome.others.in_time, outcome.others.sent);
  assert_true (outcome.hot.in_time >= 20);
  share_load_free (load);
}

/* Guards against an unfair phase after a takeover: a successor has counted
 * nothing and goes on with the waits that it received. */
static void
test_takeover_keeps_shares (void **state)
{
  ShareLoad *load = share_load_new (true, false);
  ShareOutcome outcome = share_load_play (load, 100, 10, true);

  (void) state;
  share_outcome_print ("ten times, takeover", &outcome);
  assert_true (outcome.others.in_time * 100 >= outcome.others.sent * 95);
  assert_true (outcome.worst_milli >= 850);
  share_load_free (load);
}

/* Guards against limits that count workers which have left the pool. */
static void
test_leaving_workers_keep_shares (void **state)
{
  ShareLoad *load = share_load_new (true, false);
  ShareOutcome outcome;

  (void) state;
  for (uint32_t i = 0; i < 2; i++)
    world_worker_leaves (load->world, i, 6000);
  outcome = share_load_play (load, 100, 8, false);
  share_outcome_print ("ten times, two workers leave", &outcome);
  assert_true (outcome.others.in_time * 100 >= outcome.others.sent * 95);
  share_load_free (load);
}

/* Guards against shares that cost goodput when all workspaces send 2.6 times
 * their usual load alike: 105 of 306 jobs were in time without them. */
static void
test_burst_of_all_loses_no_goodput (void **state)
{
  ShareLoad *load = share_load_new (true, false);
  ShareOutcome outcome = share_load_play (load, 26, 26, false);

  (void) state;
  share_outcome_print ("burst", &outcome);
  assert_true (outcome.others.in_time + outcome.hot.in_time >= 105);
  assert_true (outcome.others.in_time * 100 >= outcome.others.accepted * 95);
  assert_true (outcome.others.slowest_refusal_ms <= AT_ONCE_MS);
  assert_true (outcome.worst_milli >= 260);
  share_load_free (load);
}

static ShareOutcome
alone (bool with_workspaces)
{
  ShareLoad *load = share_load_new (with_workspaces, false);
  ShareOutcome outcome = share_load_play (load, 200, 0, false);

  if (with_workspaces)
    assert_int_equal (world_logged (load->world, "share_exceeded"), 0);
  share_load_free (load);
  return outcome;
}

/* Guards against limits on a workspace that no other competes with: it is
 * served as if no workspaces were configured. */
static void
test_workspace_alone_is_served_as_without_workspaces (void **state)
{
  ShareOutcome with = alone (true);
  ShareOutcome without = alone (false);

  (void) state;
  share_outcome_print ("alone", &with);
  share_outcome_print ("without workspaces", &without);
  assert_int_equal (with.hot.accepted, without.hot.accepted);
  assert_int_equal (with.hot.in_time, without.hot.in_time);
}

/* Returns the planner's heartbeat with a wait of the queue that is too long for
 * the job of the test, and @shares; NULL: without that key, as sent by older
 * planners. */
static char *
changed_heartbeat (const World *world, const char *shares)
{
  char *text = world_row_text (world, MUX_TABLE_CLAIM, "beat");
  json_t *json = json_loads (text, 0, NULL);
  json_t *waits = json_object_get (json, "waits");
  char *changed;

  assert_non_null (json);
  assert_true (json_array_size (waits) > 0);
  assert_non_null (json_object_get (json, "shares"));
  (void) json_array_set_new (json_array_get (waits, 0), 1,
                             json_integer (QUEUE_WAIT_MS));
  if (shares != NULL)
    (void) json_object_set_new (json, "shares", json_loads (shares, 0, NULL));
  else
    (void) json_object_del (json, "shares");
  changed = json_dumps (json, 0);
  json_decref (json);
  free (text);
  return changed;
}

/* Returns how a member answers a workspace within its share once it knows the
 * planner's waits by the heartbeat alone. */
static MuxResponseOutcome
outcome_by_heartbeat (const char *shares)
{
  ShareLoad *load = share_load_new (true, false);
  World *world = load->world;
  uint32_t tenths[SHARE_WORKSPACES];
  uint32_t planner;
  char *heartbeat;
  uint64_t call;
  MuxResponseOutcome outcome;

  for (uint32_t i = 0; i < SHARE_WORKSPACES; i++)
    tenths[i] = i == SHARE_HOT ? 100 : 10;
  share_load_run (load, SHARE_BEFORE_MS, tenths);
  /* Half of its slack of a second is less than QUEUE_WAIT_MS. */
  world_set_slack (world, 1000);
  world_run (world, SETTLE_MS);
  planner = world_planner (world);
  world->cell[planner].frozen = true;
  world_run (world, SILENT_MS);
  heartbeat = changed_heartbeat (world, shares);
  world_put_row (world, MUX_TABLE_CLAIM, "", "beat", heartbeat);
  free (heartbeat);
  world_run (world, SETTLE_MS);
  world_set_key (world, share_workspace_names[SHARE_HOT + 1]);
  call = world_submit (world, (planner + 1) % SHARE_CELLS,
                       world_job (1, SHARE_SMALL_TASKS, SHARE_SMALL_CPU_MILLI),
                       "job-x");
  world_run (world, AT_ONCE_MS);
  assert_true (world->answered[call]);
  outcome = world->response[call].outcome;
  share_load_free (load);
  return outcome;
}

/* Guards against a member that takes the waits of an older planner, which sends
 * none by workspace, or those of a row that can't be read, for "no wait". */
static void
test_heartbeat_without_shares_means_the_queues_wait (void **state)
{
  char shares[128];

  (void) state;
  snprintf (shares, sizeof shares,
            "[{\"service\":%lld,\"within\":[0,0,0,0],\"over\":[]}]",
            (long long) mux_hash_name ("booking", 0));
  assert_int_equal (outcome_by_heartbeat (NULL), MUX_RESPONSE_REFUSED);
  assert_int_equal (outcome_by_heartbeat ("[7,{\"service\":\"x\"}]"),
                    MUX_RESPONSE_REFUSED);
  assert_int_equal (outcome_by_heartbeat (shares), MUX_RESPONSE_ACCEPTED);
}

/* Returns the sum over all seeds with run times unlike the declared ones. */
static ShareOutcome
play_wild (uint32_t hot, uint32_t others)
{
  ShareOutcome sum = { .worst_milli = 1000 };

  for (uint32_t seed = 0; seed < SEEDS; seed++)
    {
      ShareLoad *load = share_load_new (true, true);
      ShareOutcome outcome;

      load->wild = true;
      load->seed = seed;
      outcome = share_load_play (load, hot, others, false);
      share_sum_add (&sum.hot, &outcome.hot);
      share_sum_add (&sum.others, &outcome.others);
      if (outcome.worst_milli < sum.worst_milli)
        sum.worst_milli = outcome.worst_milli;
      share_load_free (load);
    }
  return sum;
}

/* Guards against shares that hold only where run times are as declared: 274 of
 * 612 jobs of the others were in time without shares, with six seeds. */
static void
test_shares_hold_with_wrong_run_times (void **state)
{
  ShareOutcome outcome = play_wild (100, 10);

  (void) state;
  share_outcome_print ("ten times, wrong run times", &outcome);
  assert_true (outcome.others.in_time * 100 >= outcome.others.sent * 95);
  assert_true (outcome.worst_milli >= 800);
  outcome = play_wild (26, 26);
  share_outcome_print ("burst, wrong run times", &outcome);
  assert_true (outcome.others.in_time * 100 >= outcome.others.accepted * 88);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_usual_load_is_served_in_full),
    cmocka_unit_test (test_hot_workspace_takes_nothing_from_others),
    cmocka_unit_test (test_hot_workspace_with_approvals),
    cmocka_unit_test (test_takeover_keeps_shares),
    cmocka_unit_test (test_leaving_workers_keep_shares),
    cmocka_unit_test (test_burst_of_all_loses_no_goodput),
    cmocka_unit_test (test_shares_hold_with_wrong_run_times),
    cmocka_unit_test (test_workspace_alone_is_served_as_without_workspaces),
    cmocka_unit_test (test_heartbeat_without_shares_means_the_queues_wait),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
