#include "support/cell_world.h"
#include "support/test.h"

/* API keys of workspaces: who may call, what a caller may see, and when a
 * revoked key is accepted by no daemon any more. */

#define CELLS 3
#define WORKERS 8
#define REVOKE_MS 5000
/* A change is known everywhere by then. */
#define KNOWN_MS 2500

static const char *const both[] = { "desk", "night" };
static const char *const one[] = { "night" };

static World *
world_with_keys (uint32_t revoke_timeout_ms)
{
  World *world = world_new (CELLS, WORKERS);

  world->revoke_timeout_ms = revoke_timeout_ms;
  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_start (world, i);
  world_set_workspaces (world, world_workspaces (both, 2, (MuxQuota){ 0 }));
  world_run (world, 5000);
  world_set_key (world, "desk");
  return world;
}

static uint32_t
follower (const World *world)
{
  return (world_planner (world) + 1) % CELLS;
}

static MuxResponseOutcome
outcome (World *world, uint64_t call)
{
  world_run (world, 600);
  assert_true (world->answered[call]);
  return world->response[call].outcome;
}

static MuxResponseOutcome
submit (World *world, uint32_t cell, const char *id)
{
  return outcome (world,
                  world_submit (world, cell, world_job (1, 2, 1000), id));
}

static MuxResponseOutcome
ask (World *world, uint32_t cell, MuxRequestVerb verb, const char *id)
{
  return outcome (world, world_request (world, cell, verb, id));
}

static void
test_unknown_key_gets_nothing (void **state)
{
  static const char *const keys[] = { "", "nobody" };
  World *world = world_with_keys (0);

  (void) state;
  assert_int_equal (submit (world, 0, "job-a"), MUX_RESPONSE_ACCEPTED);
  for (uint32_t i = 0; i < 2; i++)
    {
      world_set_key (world, keys[i]);
      for (uint32_t cell = 0; cell < CELLS; cell++)
        {
          assert_int_equal (submit (world, cell, "job-b"),
                            MUX_RESPONSE_UNAUTHORIZED);
          assert_int_equal (ask (world, cell, MUX_REQUEST_QUERY, "job-a"),
                            MUX_RESPONSE_UNAUTHORIZED);
          assert_int_equal (ask (world, cell, MUX_REQUEST_QUERY, ""),
                            MUX_RESPONSE_UNAUTHORIZED);
          assert_int_equal (ask (world, cell, MUX_REQUEST_CANCEL, "job-a"),
                            MUX_RESPONSE_UNAUTHORIZED);
        }
    }
  assert_int_equal (world_starts (world, "job-b"), 0);
  assert_null (world_row (world, MUX_TABLE_JOBS, "job-b"));
  world_free (world);
}

/* From the planner's memory, from the store, and after the job's end. */
static void
test_jobs_of_others_are_not_shown (void **state)
{
  World *world = world_with_keys (0);

  (void) state;
  world->task_ms = 3000;
  assert_int_equal (submit (world, 0, "job-a"), MUX_RESPONSE_ACCEPTED);
  for (uint32_t round = 0; round < 2; round++)
    {
      world_set_key (world, "night");
      for (uint32_t cell = 0; cell < CELLS; cell++)
        {
          assert_int_equal (ask (world, cell, MUX_REQUEST_QUERY, "job-a"),
                            MUX_RESPONSE_NO_JOB);
          assert_int_equal (ask (world, cell, MUX_REQUEST_CANCEL, "job-a"),
                            MUX_RESPONSE_NO_JOB);
        }
      world_set_key (world, "desk");
      for (uint32_t cell = 0; cell < CELLS; cell++)
        assert_int_equal (ask (world, cell, MUX_REQUEST_QUERY, "job-a"),
                          MUX_RESPONSE_STATE);
      world_run (world, 6000);
    }
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
  world_free (world);
}

static void
test_id_of_another_workspace_is_not_taken_over (void **state)
{
  World *world = world_with_keys (0);

  (void) state;
  world->task_ms = 20000;
  assert_int_equal (submit (world, 0, "job-a"), MUX_RESPONSE_ACCEPTED);
  world_set_key (world, "night");
  for (uint32_t cell = 0; cell < CELLS; cell++)
    assert_int_equal (submit (world, cell, "job-a"), MUX_RESPONSE_ID_IN_USE);
  world_set_key (world, "desk");
  assert_int_equal (submit (world, 1, "job-a"), MUX_RESPONSE_ACCEPTED);
  world_free (world);
}

static void
test_key_that_is_taken_away_ends_everywhere (void **state)
{
  World *world = world_with_keys (REVOKE_MS);

  (void) state;
  world_set_workspaces (world, world_workspaces (one, 1, (MuxQuota){ 0 }));
  world_run (world, KNOWN_MS);
  for (uint32_t cell = 0; cell < CELLS; cell++)
    assert_int_equal (submit (world, cell, "job-a"), MUX_RESPONSE_UNAUTHORIZED);
  world_free (world);
}

/* What keeps a daemon from learning that a key was revoked. */
typedef enum
{
  DEAF_FEED,
  STORE_SILENT,
  STORE_REFUSES,
  FROZEN,
  WAYS
} Way;

static void
separate (World *world, uint32_t cell, Way way)
{
  if (way == DEAF_FEED)
    world->cell[cell].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_CONFIG);
  else if (way == STORE_SILENT)
    world->cell[cell].store = WORLD_SILENT;
  else if (way == STORE_REFUSES)
    world->cell[cell].store = WORLD_REFUSES;
  else
    world->cell[cell].frozen = true;
}

/* A daemon that is cut off must not go on to serve callers whose key was
 * revoked. */
static void
test_daemon_out_of_touch_takes_no_key_past_its_time (void **state)
{
  (void) state;
  for (uint32_t way = 0; way < WAYS; way++)
    {
      World *world = world_with_keys (REVOKE_MS);
      uint32_t cell = follower (world);
      uint64_t call;

      separate (world, cell, (Way) way);
      world_set_workspaces (world, world_workspaces (one, 1, (MuxQuota){ 0 }));
      world_run (world, REVOKE_MS + 1);
      call = world_request (world, cell, MUX_REQUEST_QUERY, "");
      world->cell[cell].frozen = false;
      world_run (world, 3000);
      assert_true (world->answered[call]);
      assert_true (world->response[call].outcome == MUX_RESPONSE_REFUSED
                   || world->response[call].outcome
                          == MUX_RESPONSE_UNAUTHORIZED);
      if (world->response[call].outcome == MUX_RESPONSE_REFUSED)
        assert_true (world->response[call].retry_ms > 0);
      world_free (world);
    }
}

/* A daemon refuses no caller while its configuration is confirmed. */
static void
test_daemon_out_of_touch_serves_while_keys_are_proved (void **state)
{
  World *world = world_with_keys (REVOKE_MS);
  uint32_t cell = follower (world);

  (void) state;
  world->cell[cell].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_CONFIG);
  world_run (world, REVOKE_MS / 2);
  assert_int_equal (ask (world, cell, MUX_REQUEST_QUERY, ""),
                    MUX_RESPONSE_PENDING);
  world_free (world);
}

/* Callers must not be sent to a daemon that will have to refuse them. */
static void
test_daemon_out_of_touch_is_not_ready_before_it_refuses (void **state)
{
  World *world = world_with_keys (REVOKE_MS);
  uint32_t cell = follower (world);

  (void) state;
  assert_true (mux_cell_ready (world->cell[cell].cell));
  world->cell[cell].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_CONFIG);
  world_run (world, REVOKE_MS / 2);
  assert_false (mux_cell_ready (world->cell[cell].cell));
  assert_int_equal (ask (world, cell, MUX_REQUEST_QUERY, ""),
                    MUX_RESPONSE_PENDING);
  world->cell[cell].hanging_feeds = 0;
  world_run (world, 3000);
  assert_true (mux_cell_ready (world->cell[cell].cell));
  world_free (world);
}

static void
test_daemon_out_of_touch_serves_on_where_revocation_is_not_strict (void **state)
{
  World *world = world_with_keys (0);
  uint32_t cell = follower (world);

  (void) state;
  world->cell[cell].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_CONFIG);
  world_run (world, 3 * REVOKE_MS);
  assert_int_equal (ask (world, cell, MUX_REQUEST_QUERY, ""),
                    MUX_RESPONSE_PENDING);
  world_free (world);
}

/* A daemon that has not learned of a key yet must not tell its caller for
 * good that the key is unknown. */
static void
test_new_key_is_not_refused_for_good_by_a_daemon_out_of_touch (void **state)
{
  World *world = world_with_keys (0);
  uint32_t cell = follower (world);

  (void) state;
  world->cell[cell].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_CONFIG);
  world_run (world, 4000);
  world_set_key (world, "later");
  assert_int_equal (ask (world, cell, MUX_REQUEST_QUERY, ""),
                    MUX_RESPONSE_REFUSED);
  world_free (world);
}

/* A revocation may be in a row that can't be parsed. */
static void
test_configuration_that_cannot_be_read_proves_no_key (void **state)
{
  World *world = world_with_keys (REVOKE_MS);

  (void) state;
  world_put_row (world, MUX_TABLE_CONFIG, "", "config", "no configuration");
  world_run (world, 2 * REVOKE_MS);
  for (uint32_t cell = 0; cell < CELLS; cell++)
    assert_int_equal (submit (world, cell, "job-a"), MUX_RESPONSE_REFUSED);
  world_free (world);
}

/* A row of the previous version names no workspace. */
static void
test_job_without_workspace_goes_on (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world->task_ms = 4000;
  world_run (world, 3000);
  assert_int_equal (submit (world, 0, "job-a"), MUX_RESPONSE_ACCEPTED);
  world_set_workspaces (world, world_workspaces (both, 2, (MuxQuota){ 0 }));
  world_run (world, KNOWN_MS);
  world_set_key (world, "desk");
  assert_int_equal (ask (world, 0, MUX_REQUEST_QUERY, "job-a"),
                    MUX_RESPONSE_STATE);
  world_run (world, 6000);
  assert_int_equal (world_state (world, 1, "job-a"), MUX_JOB_COMPLETED);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_unknown_key_gets_nothing),
    cmocka_unit_test (test_jobs_of_others_are_not_shown),
    cmocka_unit_test (test_id_of_another_workspace_is_not_taken_over),
    cmocka_unit_test (test_key_that_is_taken_away_ends_everywhere),
    cmocka_unit_test (test_daemon_out_of_touch_takes_no_key_past_its_time),
    cmocka_unit_test (test_daemon_out_of_touch_serves_while_keys_are_proved),
    cmocka_unit_test (test_daemon_out_of_touch_is_not_ready_before_it_refuses),
    cmocka_unit_test (
        test_daemon_out_of_touch_serves_on_where_revocation_is_not_strict),
    cmocka_unit_test (
        test_new_key_is_not_refused_for_good_by_a_daemon_out_of_touch),
    cmocka_unit_test (test_configuration_that_cannot_be_read_proves_no_key),
    cmocka_unit_test (test_job_without_workspace_goes_on),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
