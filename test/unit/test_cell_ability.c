#include "support/cell_world.h"
#include "support/test.h"

#include "cell/ability.h"

/* The most able daemon plans, in a cell of unlike instances. */

#define CELLS 3
#define MANY_WORKERS 350
#define FEW_WORKERS 48
#define TAKEOVER_MS 4000
/* A takeover after a yield. */
#define HANDOVER_MS 2500

typedef struct
{
  uint32_t cpu_milli;
  uint32_t link_kbps;
  uint32_t memory_mib;
} Instance;

/* Meets the need of 350 workers; lacks link capacity; lacks all. */
static const Instance able = { 500, 200000, 512 };
static const Instance middle = { 300, 10000, 400 };
static const Instance small = { 90, 10000, 120 };
static const Instance uniform = { 250, 1000000, 256 };

static void
set_instance (World *world, uint32_t cell, const Instance *instance)
{
  world->cell[cell].strength_milli = instance->cpu_milli;
  world->cell[cell].link_kbps = instance->link_kbps;
  world->cell[cell].memory_mib = instance->memory_mib;
}

/* Restarts all daemons on these instances; daemon 0 alone at first, so that it
 * plans. */
static World *
world_of (uint32_t workers,
          const Instance *first,
          const Instance *second,
          const Instance *third)
{
  World *world = world_new (CELLS, workers);

  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_kill (world, i);
  set_instance (world, 0, first);
  set_instance (world, 1, second);
  set_instance (world, 2, third);
  world_cell_start (world, 0);
  world_run (world, TAKEOVER_MS);
  assert_int_equal (world_planner (world), 0);
  world_cell_start (world, 1);
  world_cell_start (world, 2);
  return world;
}

/* A planner behind a slow link kept the claim all day though it had the
 * processor to plan. */
static void
test_planner_with_a_slow_link_yields (void **state)
{
  World *world = world_of (MANY_WORKERS, &middle, &able, &small);

  (void) state;
  world_run (world, HANDOVER_MS);
  assert_int_equal (world_planner (world), 1);
  assert_int_equal (world_logged (world, "claim_yielded"), 1);
  world_run (world, 20000);
  assert_int_equal (world_planner (world), 1);
  assert_int_equal (world_logged (world, "claim_yielded"), 1);
  world_free (world);
}

/* Instances that all meet the need must plan as long as they run, whatever
 * they have beyond it: a handover costs a second. */
static void
test_fully_able_planner_keeps_the_claim (void **state)
{
  Instance large = { 4000, 1000000, 8192 };
  World *world = world_of (FEW_WORKERS, &uniform, &large, &uniform);
  uint64_t version = world_claim_version (world);

  (void) state;
  world_run (world, 20000);
  assert_int_equal (world_claim_version (world), version);
  assert_int_equal (world_planner (world), 0);
  world_free (world);
}

/* An operator compares the need with the instances' settings. */
static void
test_need_and_ability_are_shown (void **state)
{
  World *world = world_of (MANY_WORKERS, &able, &able, &able);

  (void) state;
  world_run (world, 3000);
  assert_in_range (mux_gauge_value (world->counters, MUX_GAUGE_NEED_CPU), 350,
                   500);
  assert_in_range (mux_gauge_value (world->counters, MUX_GAUGE_NEED_LINK),
                   20000, 60000);
  assert_in_range (mux_gauge_value (world->counters, MUX_GAUGE_NEED_MEMORY), 40,
                   120);
  assert_int_equal (mux_gauge_value (world->counters, MUX_GAUGE_ABILITY),
                    MUX_ABILITY_FULL_MILLI);
  world_free (world);
}

/* Less than 1.5 times the ability is not worth a takeover. */
static void
test_little_more_ability_causes_no_handover (void **state)
{
  Instance somewhat = { 300, 14000, 400 };
  World *world = world_of (MANY_WORKERS, &middle, &somewhat, &small);
  uint64_t version = world_claim_version (world);

  (void) state;
  world_run (world, 20000);
  assert_int_equal (world_claim_version (world), version);
  world_free (world);
}

/* When a planner is lost, the first to claim must be an able daemon: each
 * takeover by another is followed by a second one. */
static void
test_able_daemon_claims_first (void **state)
{
  uint32_t others = 0;

  (void) state;
  for (uint32_t phase_ms = 0; phase_ms < 500; phase_ms += 50)
    {
      World *world = world_of (MANY_WORKERS, &able, &able, &middle);

      world_run (world, 3000 + phase_ms);
      world_cell_kill (world, 0);
      world_run (world, TAKEOVER_MS);
      others += world_planner (world) != 1;
      world_free (world);
    }
  assert_int_equal (others, 0);
}

/* A restart of the whole cell must not bring the weak planner of before it
 * back, which would claim at once by its former claim. */
static void
test_weak_daemon_does_not_take_its_former_claim_at_once (void **state)
{
  World *world = world_of (MANY_WORKERS, &middle, &small, &small);

  (void) state;
  world_run (world, 3000);
  assert_int_equal (world_planner (world), 0);
  set_instance (world, 1, &able);
  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_start (world, i);
  world_run (world, 3000);
  assert_int_equal (world_planner (world), 1);
  assert_int_equal (world_logged (world, "claim_yielded"), 0);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_planner_with_a_slow_link_yields),
    cmocka_unit_test (test_fully_able_planner_keeps_the_claim),
    cmocka_unit_test (test_need_and_ability_are_shown),
    cmocka_unit_test (test_little_more_ability_causes_no_handover),
    cmocka_unit_test (test_able_daemon_claims_first),
    cmocka_unit_test (test_weak_daemon_does_not_take_its_former_claim_at_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
