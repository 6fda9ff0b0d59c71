#include "cell/share.h"

#include "support/random.h"
#include "support/test.h"

#include <stdlib.h>

/* How the processors of a full pool are divided among workspaces. */

#define POOL 1
#define OTHER_POOL 2
#define POOL_MILLI 100000
#define LEVEL 1
#define LOWEST (MUX_SHARE_LEVELS - 1)
#define SEEDS 200
#define WORK_OF_MILLI 2 /* core-milliseconds per thousandth: two seconds */

static MuxShares *
begin (void)
{
  MuxShares *shares = calloc (1, sizeof *shares);

  assert_non_null (shares);
  mux_shares_begin (shares);
  return shares;
}

static void
add (MuxShares *shares,
     uint64_t workspace,
     uint32_t weight,
     int64_t running,
     int64_t waiting)
{
  MuxShare *share = mux_shares_get (shares, POOL, workspace);

  assert_non_null (share);
  share->weight = weight;
  share->running[LEVEL] += running;
  share->waiting[LEVEL] += waiting;
  share->work[LEVEL] += waiting * WORK_OF_MILLI;
}

static void
end (MuxShares *shares, int64_t free_milli)
{
  MuxSharePool *pool = mux_shares_pool (shares, POOL);

  pool->pool_milli = POOL_MILLI;
  pool->free_milli = free_milli;
  pool->rate = POOL_MILLI - free_milli;
  mux_shares_set_limits (shares);
  mux_shares_set_waits (shares);
}

static int64_t
limit (const MuxShares *shares, uint64_t workspace)
{
  return mux_shares_find (shares, POOL, workspace)->limit_milli;
}

static void
test_limits_follow_the_weights (void **state)
{
  MuxShares *shares = begin ();

  (void) state;
  add (shares, 1, 3000, 50000, 90000);
  add (shares, 2, 1000, 50000, 90000);
  end (shares, 0);
  assert_int_equal (limit (shares, 1), 75000);
  assert_int_equal (limit (shares, 2), 25000);
  free (shares);
}

/* Guards against limits in a burst of all workspaces, where they would put the
 * small jobs of each behind its large ones. */
static void
test_burst_of_all_has_no_limits (void **state)
{
  MuxShares *shares = begin ();

  (void) state;
  shares->outlier_factor = 2;
  add (shares, 1, 1000, 30000, 90000);
  add (shares, 2, 1000, 30000, 110000);
  add (shares, 3, 1000, 30000, 80000);
  end (shares, 0);
  assert_int_equal (limit (shares, 1), 0);
  assert_int_equal (mux_shares_wait_ms (shares, POOL, 1, LEVEL), -1);
  add (shares, 2, 1000, 0, 140000);
  end (shares, 0);
  assert_in_range (limit (shares, 2), 33332, 33334);
  free (shares);
}

/* Guards against a share that lies idle as its workspace sends little. */
static void
test_what_one_does_not_demand_goes_to_the_others (void **state)
{
  MuxShares *shares = begin ();

  (void) state;
  add (shares, 1, 1000, 10000, 0);
  add (shares, 2, 1000, 45000, 100000);
  add (shares, 3, 1000, 45000, 100000);
  end (shares, 0);
  assert_int_equal (limit (shares, 2), 45000);
  assert_int_equal (limit (shares, 3), 45000);
  assert_int_equal (mux_shares_wait_ms (shares, POOL, 1, LEVEL), 0);
  free (shares);
}

/* Guards against a workspace without a weight that gets nothing, or all. */
static void
test_workspace_without_weight_counts_as_the_mean (void **state)
{
  MuxShares *shares = begin ();

  (void) state;
  add (shares, 1, 1000, 30000, 90000);
  add (shares, 2, 3000, 30000, 90000);
  add (shares, 0, MUX_SHARE_NO_WEIGHT, 40000, 90000);
  end (shares, 0);
  assert_in_range (limit (shares, 0), 33332, 33334);
  free (shares);
}

/* Guards against limits in a pool with room, or with nobody to compete. */
static void
test_no_limits_without_contention (void **state)
{
  MuxShares *shares = begin ();

  (void) state;
  add (shares, 1, 1000, 40000, 0);
  add (shares, 2, 1000, 30000, 90000);
  end (shares, 30000);
  assert_int_equal (limit (shares, 1), 0);
  assert_int_equal (mux_shares_wait_ms (shares, POOL, 2, LEVEL), -1);
  assert_int_equal (
      mux_share_class (mux_shares_find (shares, POOL, 2), 1 << 30), 0);
  mux_shares_begin (shares);
  add (shares, 2, 1000, 100000, 900000);
  end (shares, 0);
  assert_int_equal (limit (shares, 2), 0);
  assert_int_equal (mux_shares_wait_ms (shares, POOL, 2, LEVEL), -1);
  assert_int_equal (mux_shares_wait_ms (shares, OTHER_POOL, 2, LEVEL), -1);
  free (shares);
}

/* Guards against limits that come and go with each job. */
static void
test_contention_has_hysteresis (void **state)
{
  MuxShares *shares = begin ();

  (void) state;
  for (uint32_t i = 0; i < 2; i++)
    {
      int64_t waiting = i == 0 ? 20000 : 10000;

      mux_shares_begin (shares);
      add (shares, 1, 1000, 40000, waiting / 2);
      add (shares, 2, 1000, 40000, waiting / 2);
      end (shares, 20000);
      assert_true (mux_shares_wait_ms (shares, POOL, 1, LEVEL) >= 0);
    }
  mux_shares_begin (shares);
  add (shares, 1, 1000, 40000, 0);
  add (shares, 2, 1000, 40000, 0);
  end (shares, 20000);
  assert_int_equal (mux_shares_wait_ms (shares, POOL, 1, LEVEL), -1);
  free (shares);
}

/* Guards against demand that a workspace's quota keeps it from using. */
static void
test_demand_ends_at_the_quota (void **state)
{
  MuxShares *shares = begin ();

  (void) state;
  add (shares, 1, 1000, 20000, 500000);
  mux_shares_get (shares, POOL, 1)->quota_milli = 20000;
  add (shares, 2, 1000, 80000, 100000);
  end (shares, 0);
  assert_int_equal (limit (shares, 2), 80000);
  free (shares);
}

/* Guards against tracked workspaces that are limited beside others that are
 * not. */
static void
test_too_many_workspaces_mean_no_limits (void **state)
{
  MuxShares *shares = begin ();

  (void) state;
  for (uint64_t i = 1; i <= MUX_SHARES_MAX; i++)
    add (shares, i, 1000, 1000, 10000);
  assert_null (mux_shares_get (shares, POOL, MUX_SHARES_MAX + 1));
  end (shares, 0);
  assert_int_equal (mux_shares_wait_ms (shares, POOL, 1, LEVEL), -1);
  free (shares);
}

static void
test_classes_grow_with_the_excess (void **state)
{
  MuxShares *shares = begin ();
  const MuxShare *share;

  (void) state;
  add (shares, 1, 1000, 50000, 50000);
  add (shares, 2, 1000, 50000, 50000);
  end (shares, 0);
  share = mux_shares_find (shares, POOL, 1);
  assert_int_equal (mux_share_class (share, 62499), 0);
  assert_int_equal (mux_share_class (share, 62500), 1);
  assert_int_equal (mux_share_class (share, 75000), 2);
  assert_int_equal (mux_share_class (share, 100000), 3);
  assert_int_equal (mux_share_class (NULL, 100000), 0);
  free (shares);
}

/* Guards against less urgent work of a workspace that makes its urgent work
 * count as beyond its share. */
static void
test_urgent_work_has_the_share_first (void **state)
{
  MuxShares *shares = begin ();
  MuxShare *share;

  (void) state;
  add (shares, 1, 1000, 50000, 500000);
  add (shares, 2, 1000, 40000, 10000);
  share = mux_shares_get (shares, POOL, 1);
  share->running[0] = 10000;
  end (shares, 0);
  assert_int_equal (mux_shares_wait_ms (shares, POOL, 1, 0), 0);
  assert_true (mux_shares_wait_ms (shares, POOL, 1, LEVEL) > 10000);
  free (shares);
}

/* Guards against seconds of work of one workspace that are accepted between two
 * counts. */
static void
test_accepted_jobs_count_at_once (void **state)
{
  MuxShares *shares = begin ();
  int64_t wait_ms = 0;

  (void) state;
  add (shares, 1, 1000, 50000, 10000);
  add (shares, 2, 1000, 40000, 10000);
  end (shares, 10000);
  for (uint32_t i = 0; i < 20; i++)
    {
      int64_t before_ms = wait_ms;

      mux_shares_accepted (shares, POOL, 1, LEVEL, 5000, 10000);
      wait_ms = mux_shares_wait_ms (shares, POOL, 1, LEVEL);
      assert_true (wait_ms >= before_ms);
    }
  /* 110 processors wait for two seconds each, and half of the pool is its. */
  assert_in_range (wait_ms, 4000, 6000);
  assert_true (mux_shares_wait_ms (shares, POOL, 2, LEVEL) < 1000);
  free (shares);
}

/* Guards against accepting work beyond the share that waits for runs of its own
 * workspace to end first. */
static void
test_runs_beyond_the_limit_end_first (void **state)
{
  MuxShares *shares = begin ();

  (void) state;
  add (shares, 1, 1000, 80000, 1000);
  mux_shares_get (shares, POOL, 1)->remaining[LEVEL] = 160000;
  add (shares, 2, 1000, 20000, 80000);
  end (shares, 0);
  /* 30 of 80 processors, each in use for two seconds more on average. */
  assert_in_range (mux_shares_wait_ms (shares, POOL, 1, LEVEL), 1500, 1600);
  free (shares);
}

static void
test_retry_time_is_when_the_wait_is_acceptable (void **state)
{
  (void) state;
  assert_int_equal (mux_shares_retry_ms (900, 900, 3), 0);
  assert_in_range (mux_shares_retry_ms (901, 900, 3), 500, 999);
  assert_in_range (mux_shares_retry_ms (2900, 900, 777), 2000, 2499);
  assert_in_range (mux_shares_retry_ms (60000, 900, 499), 7500, 8000);
}

/* Whatever the demands: together the workspaces may use what is in use, none
 * that gets less than it demands has a smaller limit by weight than another,
 * and none has a limit below its demand while another has more. */
static void
test_division_over_random_demands (void **state)
{
  (void) state;
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      MuxRandom random = { .state = seed };
      MuxShares *shares = begin ();
      uint64_t count = 2 + mux_random_below (&random, 20);
      int64_t granted = 0;
      int64_t demand = 0;
      const MuxShare *first = NULL;

      for (uint64_t i = 1; i <= count; i++)
        add (shares, i, 1 + mux_random_below (&random, 5000),
             1 + mux_random_below (&random, 20000),
             mux_random_below (&random, 200000));
      end (shares, 5000);
      for (uint64_t i = 1; i <= count; i++)
        {
          const MuxShare *share = mux_shares_find (shares, POOL, i);
          int64_t wanted = mux_share_used (share, LOWEST);

          demand += wanted;
          if (share->limit_milli == 0)
            continue;
          granted += wanted < share->limit_milli ? wanted : share->limit_milli;
          if (wanted <= share->limit_milli)
            continue;
          /* Limits are rounded down. */
          if (first != NULL)
            assert_true (llabs (share->limit_milli * first->weight
                                - first->limit_milli * share->weight)
                         <= (int64_t) share->weight + first->weight);
          first = share;
        }
      if (demand >= POOL_MILLI)
        assert_in_range (granted, 95000 - (int64_t) count, 95000);
      free (shares);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limits_follow_the_weights),
    cmocka_unit_test (test_burst_of_all_has_no_limits),
    cmocka_unit_test (test_what_one_does_not_demand_goes_to_the_others),
    cmocka_unit_test (test_workspace_without_weight_counts_as_the_mean),
    cmocka_unit_test (test_no_limits_without_contention),
    cmocka_unit_test (test_contention_has_hysteresis),
    cmocka_unit_test (test_demand_ends_at_the_quota),
    cmocka_unit_test (test_too_many_workspaces_mean_no_limits),
    cmocka_unit_test (test_classes_grow_with_the_excess),
    cmocka_unit_test (test_urgent_work_has_the_share_first),
    cmocka_unit_test (test_accepted_jobs_count_at_once),
    cmocka_unit_test (test_runs_beyond_the_limit_end_first),
    cmocka_unit_test (test_retry_time_is_when_the_wait_is_acceptable),
    cmocka_unit_test (test_division_over_random_demands),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
