#include "support/sched_cell.h"
#include "support/test.h"

static MuxRisk
risk_of (Cell *cell, const char *class_name)
{
  MuxRisk risk[8];
  uint32_t n = mux_sched_risk (cell->sched, cell->now_ms, risk, 8);

  for (uint32_t i = 0; i < n; i++)
    if (strcmp (risk[i].class_name, class_name) == 0)
      return risk[i];
  fail_msg ("%s is not listed", class_name);
  return risk[0];
}

/* @per_tick tasks arrive every 100 ms, for @ticks; each runs for a second. */
static void
run_load (Cell *cell, uint32_t per_tick, uint32_t ticks)
{
  static MuxId running[4096];
  static int64_t end_ms[4096];
  static uint32_t count;

  if (ticks == 0)
    count = 0;
  for (uint32_t i = 0; i < ticks; i++)
    {
      MuxPlacement placed;
      MuxAdmitResult verdict;

      cell->now_ms += 100;
      for (uint32_t k = 0; k < count; k++)
        if (end_ms[k] <= cell->now_ms)
          {
            cell_end (cell, running[k], 1000);
            count--;
            running[k] = running[count];
            end_ms[k] = end_ms[count];
            k--;
          }
      for (uint32_t k = 0; k < per_tick; k++)
        sched_cell_submit_until (cell, "urgent", 5000, &verdict);
      while (mux_sched_next (cell->sched, cell->now_ms, &placed))
        if (placed.worker != MUX_NO_WORKER)
          {
            running[count] = placed.task;
            end_ms[count++] = cell->now_ms + 1000;
          }
    }
}

/* Outage reports arrive at a growing rate.  The operators must be warned
 * while starts are still in time, with the binding resource and how much
 * more would help, and must not be warned at half the load. */
static void
test_flagged_before_missed (void **state)
{
  Cell *cell = *state;
  MuxClassSpec spec = cell_class ("urgent", MUX_KIND_SERVICE, 100);
  MuxRisk risk;
  bool flagged = false;

  cell_open (cell, 25);
  cell_set (cell, &spec);
  run_load (cell, 0, 0);
  run_load (cell, 5, 600);
  risk = risk_of (cell, "urgent");
  assert_false (risk.at_risk);
  assert_int_equal (risk.cause, MUX_RISK_NONE);
  for (uint32_t rate = 6; rate < 14 && !flagged; rate++)
    {
      run_load (cell, rate, 50);
      risk = risk_of (cell, "urgent");
      flagged = risk.at_risk;
      if (!flagged)
        assert_int_equal (mux_sched_stats (cell->sched, cell->now_ms).queued,
                          0);
    }
  assert_true (flagged);
  assert_true (risk.forecast_ppm < risk.target_ppm);
  assert_int_equal (risk.cause, MUX_RISK_SLOTS);
  assert_true (risk.shortfall.slots > 0);
  assert_true (risk.p99_wait_ms <= spec.start_within_ms);
}

/* A long-running class has used up its product's quota while the cell is
 * empty: the warning must name the quota as what binds. */
static void
test_quota_binds (void **state)
{
  Cell *cell = *state;
  MuxProductSpec product = { .name = "product", .quota = { .slots = 1 } };
  MuxClassSpec spec = cell_class ("lasting", MUX_KIND_LONG_RUNNING, 10000);
  MuxRisk risk;

  spec.run_ms = 0;
  cell_open (cell, 2);
  assert_true (mux_sched_product_set (cell->sched, &product));
  cell_set (cell, &spec);
  cell_start_run (cell, "lasting");
  sched_cell_submit (cell, "lasting");
  cell->now_ms += 11000;
  cell_idle (cell);
  risk = risk_of (cell, "lasting");
  assert_true (risk.at_risk);
  assert_int_equal (risk.cause, MUX_RISK_QUOTA);
  assert_int_equal (risk.queued, 1);
}

/* A flood takes the whole cell, and every settlement is refused at once.
 * None waits and none starts, so by the queue alone its target looks met;
 * the operators must be told that it is not. */
static void
test_refused_is_at_risk (void **state)
{
  Cell *cell = *state;
  MuxClassSpec spec = cell_class ("batch", MUX_KIND_BATCH, 10000);
  MuxAdmitResult verdict;
  MuxPlacement placed;

  cell_open (cell, 1);
  cell_set (cell, &spec);
  for (int i = 0; i < 4; i++)
    cell_start_run (cell, "batch");
  assert_false (risk_of (cell, "batch").at_risk);
  while (cell->now_ms < 5000)
    {
      cell->now_ms += 100;
      while (mux_sched_next (cell->sched, cell->now_ms, &placed))
        assert_int_equal (placed.worker, MUX_NO_WORKER);
      do
        sched_cell_submit_until (cell, "batch", 100, &verdict);
      while (verdict.reason == MUX_REASON_NONE);
      assert_int_equal (verdict.reason, MUX_REASON_OVERLOAD);
    }
  assert_true (risk_of (cell, "batch").at_risk);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CELL_TEST (test_flagged_before_missed),
    CELL_TEST (test_quota_binds),
    CELL_TEST (test_refused_is_at_risk),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
