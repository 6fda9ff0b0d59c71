/* Traffic that a daemon spends on itself stays bounded as the cell grows. */
#include "support/core_harness.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* A daemon's share of the workers at the size to design for. */
#define WORKERS 208
#define TASKS_EACH 4
#define MINUTES_MS (5 * 60 * 1000)

static void
test_renewals_are_paced (void **state)
{
  CoreHarnessOptions options = { .workers = WORKERS,
                                 .slots = 64,
                                 .running = WORKERS * TASKS_EACH,
                                 .members = 1 };
  CoreHarness *h = core_harness_new (&options);
  uint64_t before;

  (void) state;
  core_harness_run (h, MINUTES_MS);
  before = h->asked[MUX_WORKER_RENEW];
  core_harness_run (h, MINUTES_MS);
  assert_in_range (h->asked[MUX_WORKER_RENEW] - before, MINUTES_MS / 1000,
                   4 * MINUTES_MS / 1000 + WORKERS);
  assert_int_equal (h->sent[MUX_PEER_TASK_ENDED], 0);
  core_harness_free (h, NULL);
}

/*
 * A peer dies and leaves its workers to this daemon.  Renewals slow down from
 * one moment to the next, while the leases that stand were asked for at the
 * quick pace: the tasks of workers held from before would be stopped, and
 * their callers would see them fail, if the slow pace counted for them.
 */
static void
test_takeover_lets_no_lease_lapse (void **state)
{
  CoreHarnessOptions options = { .workers = WORKERS,
                                 .listed = 16,
                                 .slots = 64,
                                 .running = WORKERS * TASKS_EACH,
                                 .members = 1 };
  CoreHarness *h = core_harness_new (&options);

  (void) state;
  /* At each offset into the quick cadence, as renewals may be on their way. */
  for (uint32_t count = 16; count <= WORKERS; count += 16)
    {
      core_harness_list (h, count);
      core_harness_run (h, 1037);
    }
  core_harness_run (h, MINUTES_MS);
  assert_int_equal (h->sent[MUX_PEER_TASK_ENDED], 0);
  assert_int_equal (mux_counter_value (h->counters, MUX_COUNT_CLAIMS), WORKERS);
  core_harness_free (h, NULL);
}

static void
test_takeover_at_once_lets_no_lease_lapse (void **state)
{
  CoreHarnessOptions options = { .workers = WORKERS,
                                 .listed = 16,
                                 .slots = 64,
                                 .running = WORKERS * TASKS_EACH,
                                 .members = 1 };
  CoreHarness *h = core_harness_new (&options);

  (void) state;
  core_harness_list (h, WORKERS);
  core_harness_run (h, MINUTES_MS);
  assert_int_equal (h->sent[MUX_PEER_TASK_ENDED], 0);
  assert_int_equal (mux_counter_value (h->counters, MUX_COUNT_CLAIMS), WORKERS);
  core_harness_free (h, NULL);
}

/* Members of other data centres at the size to design for.  Each of them
 * counts some more than this core does, and sends that much more rarely. */
static void
test_far_heartbeats_are_bounded (void **state)
{
  CoreHarnessOptions options = { .members = 24, .far_rounds = 16 };
  CoreHarness *h = core_harness_new (&options);
  uint64_t before;

  (void) state;
  before = h->sent[MUX_PEER_HEARTBEAT];
  core_harness_run (h, MINUTES_MS);
  assert_in_range (h->sent[MUX_PEER_HEARTBEAT] - before, MINUTES_MS / 1000,
                   7 * MINUTES_MS / 1000);
  assert_int_equal (h->suspects, 0);
  core_harness_free (h, NULL);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_far_heartbeats_are_bounded),
          cmocka_unit_test (test_renewals_are_paced),
          cmocka_unit_test (test_takeover_lets_no_lease_lapse),
          cmocka_unit_test (test_takeover_at_once_lets_no_lease_lapse) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
