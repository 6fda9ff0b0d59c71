#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

/* Two daemons that both act as the planner at the same time. */

#define CELLS 3
#define WORKERS 8
/* So many jobs come in a burst, one in each step. */
#define JOBS 30
#define STEP_MS 20
/* A store as usual, one that answers more slowly than the policy service, and
 * one that is 60 times slower than usual. */
#define USUAL_STORE_MS 5
#define BUSY_STORE_MS 40
#define SLOW_STORE_MS 300
/* Workers that the daemon which claims can't reach yet. */
#define FAR_WORKERS 4
/* Until all runs have ended, also on an unreachable worker. */
#define SETTLE_MS 8000

static void
wait_for_another_claim (World *world, uint64_t version)
{
  for (uint32_t i = 0; i < 5000 && world_claim_version (world) == version; i++)
    world_run (world, 1);
  assert_int_not_equal (world_claim_version (world), version);
}

/* The store refuses the planner for long enough that another claims, and
 * serves it again at that moment; its feeds of the claim and of jobs stay
 * silent, and some workers are unreachable for the other. */
static uint32_t
planner_with_a_successor (World *world)
{
  uint32_t planner = world_planner (world);
  uint64_t version = world_claim_version (world);

  world->cell[planner].store = WORLD_REFUSES;
  world->cell[planner].hanging_feeds
      = WORLD_FEED_BIT (MUX_TABLE_CLAIM) | WORLD_FEED_BIT (MUX_TABLE_JOBS);
  wait_for_another_claim (world, version);
  world->cell[planner].store = WORLD_SERVES;
  world->cell[world_planner (world)].unreachable_workers = FAR_WORKERS;
  return planner;
}

static void
submit_burst (World *world, uint32_t cell)
{
  for (uint32_t i = 0; i < JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, cell, world_job (1, 2, 1000), id);
      world_run (world, STEP_MS);
    }
}

/* Jobs are submitted to a planner that does not know of its successor yet;
 * from then on the store takes @store_ms for a call. */
static void
submit_behind_another_claim (int64_t phase_ms, int64_t store_ms)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner;

  world_make_urgent (world);
  world_run (world, 1000 + phase_ms);
  planner = planner_with_a_successor (world);
  world->store_ms = store_ms;
  submit_burst (world, planner);
  world->cell[planner].hanging_feeds = 0;
  world_run (world, SETTLE_MS);
  assert_false (world_double_run (world));
  world_free (world);
}

/*
 * At the end of an outage another daemon claims, and the planner, served again
 * too, does not know yet. It stores a caller's job, accepts it and starts its
 * tasks. The successor finds a job younger than its claim, which nobody seems
 * to have started, and must not start it as well. The commit that stores jobs
 * must fail after another claim.
 */
static void
test_job_stored_behind_another_claim_starts_once (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 500; phase_ms += 25)
    submit_behind_another_claim (phase_ms, USUAL_STORE_MS);
}

/*
 * The same with a slow store: between its claim and its fence of a part the
 * successor needs over half a second, in which the old planner stores a job
 * and starts it on a worker that has not answered the successor yet. The job
 * is younger than the claim, but was stored by a planner that could start it:
 * the successor has to wait for the workers as with any older job.
 */
static void
test_job_stored_between_claim_and_fence_starts_once (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 500; phase_ms += 25)
    submit_behind_another_claim (phase_ms, SLOW_STORE_MS);
}

/*
 * The same outage, and the store has dropped its history: the planner reads
 * all jobs again, among them one that the successor has stored and started
 * since. The claim, which a feed would deliver before that job, is in none of
 * the parts that are read: the planner must not start the job too.
 */
static void
test_job_read_anew_behind_another_claim_starts_once (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 500; phase_ms += 25)
    {
      World *world = world_new (CELLS, WORKERS);
      uint32_t planner;

      world_make_urgent (world);
      world_run (world, 1000 + phase_ms);
      planner = planner_with_a_successor (world);
      world->store_ms = BUSY_STORE_MS;
      world->compacted_version = world->version;
      world->cell[planner].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_CLAIM);
      submit_burst (world, world_planner (world));
      world->cell[planner].hanging_feeds = 0;
      world_run (world, SETTLE_MS);
      assert_false (world_double_run (world));
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_stored_behind_another_claim_starts_once),
    cmocka_unit_test (test_job_stored_between_claim_and_fence_starts_once),
    cmocka_unit_test (test_job_read_anew_behind_another_claim_starts_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
