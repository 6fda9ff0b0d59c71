#include "cell/ability.h"

#include "support/test.h"

/* The need of planning and how much of it an instance meets. */

#define FULL MUX_ABILITY_FULL_MILLI

static const MuxAbilityLoad small = { 48, 48, 10000 };
static const MuxAbilityLoad large = { 350, 34, 135000 };

static uint32_t
ability (const MuxAbilityLoad *load,
         uint32_t cpu_milli,
         uint32_t link_kbps,
         uint32_t memory_mib)
{
  MuxAbilityLimits limits = { cpu_milli, link_kbps, memory_mib };
  MuxAbilityNeed need = mux_ability_need (load);

  return mux_ability_milli (&limits, &need);
}

/* If the need were too high, instances that plan well today would delay their
 * claims and hand over; if it were too low, small ones would keep the claim. */
static void
test_need_of_the_measured_deployments (void **state)
{
  MuxAbilityNeed few = mux_ability_need (&small);
  MuxAbilityNeed many = mux_ability_need (&large);

  (void) state;
  assert_in_range (few.cpu_milli, 70, 90);
  assert_in_range (many.cpu_milli, 480, 500);
  assert_in_range (many.link_kbps, 20000, 60000);
  assert_in_range (many.memory_mib, 50, 120);
}

static void
test_uniform_instances_are_all_fully_able (void **state)
{
  MuxAbilityLoad burst = { 48, 48, 1000000 };

  (void) state;
  assert_int_equal (ability (&small, 250, 1000000, 256), FULL);
  assert_int_equal (ability (&small, 250, 0, 0), FULL);
  /* No burst of jobs makes them less able. */
  assert_int_equal (ability (&burst, 250, 1000000, 256), FULL);
}

static void
test_uneven_instances_differ (void **state)
{
  MuxAbilityLoad burst = { 350, 34, 400000 };

  (void) state;
  assert_int_equal (ability (&large, 500, 200000, 512), FULL);
  assert_int_equal (ability (&burst, 500, 200000, 512), FULL);
  /* The link restricts it more than the processor. */
  assert_in_range (ability (&large, 300, 10000, 400), 150, 350);
  assert_in_range (ability (&large, 300, 0, 400), 500, 700);
  assert_in_range (ability (&large, 90, 10000, 120), 100, 200);
}

/* An instance whose platform does not state its limits, or an older version,
 * must not count as unable. */
static void
test_unknown_limits_restrict_nothing (void **state)
{
  (void) state;
  assert_int_equal (ability (&large, 0, 0, 0), FULL);
  assert_int_equal (ability (&large, 500, 0, 0), FULL);
  assert_int_equal (ability (&large, 0, 10000, 0),
                    ability (&large, 2000, 10000, 4096));
}

static void
test_unknown_need_keeps_the_former_rule (void **state)
{
  MuxAbilityNeed none = { 0, 0, 0 };
  MuxAbilityLimits strong = { 250, 1000, 1 };
  MuxAbilityLimits weak = { 125, 1000, 1 };

  (void) state;
  assert_int_equal (mux_ability_milli (&strong, &none), FULL);
  assert_int_equal (mux_ability_milli (&weak, &none), FULL / 2);
}

static void
test_claim_delay_is_proportional_to_missing_ability (void **state)
{
  (void) state;
  assert_int_equal (mux_ability_claim_delay_ms (FULL), 0);
  assert_int_equal (mux_ability_claim_delay_ms (500), 400);
  assert_int_equal (mux_ability_claim_delay_ms (0), 800);
}

/* A planner that has just begun knows few of the workers.  If the need fell
 * with them, it would count itself as able, and so would all that claim. */
static void
test_need_rises_at_once_and_falls_slowly (void **state)
{
  MuxAbilityNeed none = { 0, 0, 0 };
  MuxAbilityNeed few = mux_ability_need (&small);
  MuxAbilityNeed many = mux_ability_need (&large);
  MuxAbilityNeed need = mux_ability_need_follow (&none, &many);

  (void) state;
  assert_memory_equal (&need, &many, sizeof need);
  for (uint32_t i = 0; i < 8; i++) /* 2 s */
    need = mux_ability_need_follow (&need, &few);
  assert_true (need.cpu_milli > many.cpu_milli * 8 / 10);
  for (uint32_t i = 0; i < 4 * 120; i++)
    need = mux_ability_need_follow (&need, &few);
  assert_int_equal (need.cpu_milli, few.cpu_milli);
}

/* More of anything never lowers the ability, and more load never raises it. */
static void
test_ability_is_monotonic (void **state)
{
  (void) state;
  for (uint32_t workers = 1; workers < 6000; workers = workers * 3 / 2 + 1)
    for (uint32_t cpu = 10; cpu < 4000; cpu *= 2)
      for (uint32_t link = 100; link < 2000000; link *= 4)
        {
          MuxAbilityLoad load = { workers, 40, workers * 300 };
          MuxAbilityLoad more = { workers + 10, 40, workers * 300 };
          uint32_t has = ability (&load, cpu, link, 256);

          assert_true (has <= FULL);
          assert_true (ability (&load, cpu * 2, link, 256) >= has);
          assert_true (ability (&load, cpu, link * 2, 256) >= has);
          assert_true (ability (&more, cpu, link, 256) <= has);
        }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_need_of_the_measured_deployments),
    cmocka_unit_test (test_uniform_instances_are_all_fully_able),
    cmocka_unit_test (test_uneven_instances_differ),
    cmocka_unit_test (test_unknown_limits_restrict_nothing),
    cmocka_unit_test (test_unknown_need_keeps_the_former_rule),
    cmocka_unit_test (test_claim_delay_is_proportional_to_missing_ability),
    cmocka_unit_test (test_need_rises_at_once_and_falls_slowly),
    cmocka_unit_test (test_ability_is_monotonic),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
