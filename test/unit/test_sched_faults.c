#include "support/sched_cell.h"
#include "support/test.h"

/* Runs @count tasks of @class_name; those on worker @broken fail, or all if
 * @bad.  Returns how many failed on worker @broken. */
static uint32_t
run_tasks (Cell *cell,
           const char *class_name,
           uint32_t count,
           uint32_t broken,
           bool bad)
{
  uint32_t failed = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      MuxPlacement placed;

      placed = cell_start_run (cell, class_name);
      cell->now_ms += 10;
      failed += placed.worker == broken;
      if (placed.worker == broken || bad)
        cell_fail (cell, placed.task);
      else
        cell_end (cell, placed.task, 1000);
    }
  return failed;
}

static void
open_three (Cell *cell, uint32_t workers)
{
  static const char *const names[] = { "urgent-a", "urgent-b", "urgent-c" };

  cell_open (cell, workers);
  for (int i = 0; i < 3; i++)
    {
      MuxClassSpec spec = cell_class (names[i], MUX_KIND_SERVICE, 100);

      cell_set (cell, &spec);
    }
}

/* One worker fails whatever it starts, within 10 ms.  As it is free again
 * at once, it would be given task after task, and most requests would fail.
 * After a few failures it must get no more. */
static void
test_broken_worker (void **state)
{
  Cell *cell = *state;
  uint32_t failed = 0;

  open_three (cell, 4);
  for (int i = 0; i < 30; i++)
    {
      failed += run_tasks (cell, "urgent-a", 2, 0, false);
      failed += run_tasks (cell, "urgent-b", 2, 0, false);
      failed += run_tasks (cell, "urgent-c", 2, 0, false);
    }
  assert_in_range (failed, 1, 8);
}

/* A class has a bug and fails on every worker.  The workers must stay in
 * use for other classes, as the failures are not theirs. */
static void
test_bad_class (void **state)
{
  Cell *cell = *state;
  MuxPlacement placed;

  open_three (cell, 2);
  run_tasks (cell, "urgent-a", 20, MUX_NO_WORKER, false);
  run_tasks (cell, "urgent-b", 200, MUX_NO_WORKER, true);
  for (int i = 0; i < 8; i++)
    {
      placed = cell_start_run (cell, "urgent-a");
      assert_int_equal (placed.worker,
                        mux_sched_booked_on (cell->sched, placed.task));
    }
  sched_cell_submit (cell, "urgent-a");
  cell_idle (cell);
}

/* A broken worker is repaired.  One probe task finds out, only one at a
 * time may be risked, and after its success the worker is used as before. */
static void
test_probe_mends (void **state)
{
  Cell *cell = *state;
  MuxPlacement placed[8];
  uint32_t probes = 0;

  open_three (cell, 2);
  for (int i = 0; i < 8; i++)
    {
      cell->now_ms += 31000;
      run_tasks (cell, "urgent-a", 1, 0, false);
      run_tasks (cell, "urgent-b", 1, 0, false);
      run_tasks (cell, "urgent-c", 1, 0, false);
    }
  cell->now_ms += 120000;
  for (int i = 0; i < 5; i++)
    {
      placed[i] = cell_start_run (cell, "urgent-a");
      probes += placed[i].worker == 0;
    }
  assert_int_equal (probes, 1);
  for (int i = 0; i < 5; i++)
    cell_end (cell, placed[i].task, 1000);
  for (int i = 0; i < 8; i++)
    {
      cell_start_run (cell, "urgent-a");
    }
}

/* A class declares a quarter of the memory that it uses.  Workers filled by
 * the declaration would run out of memory; the reported use must be booked,
 * for running tasks and for later ones. */
static void
test_declared_too_little (void **state)
{
  Cell *cell = *state;
  MuxClassSpec spec = cell_class ("batch", MUX_KIND_BATCH, 10000);
  MuxSize used = { 1000, 4096, 0, 1 };
  MuxPlacement placed;

  cell_open (cell, 1);
  cell_set (cell, &spec);
  for (int i = 0; i < 2; i++)
    {
      placed = cell_start_run (cell, "batch");
      assert_int_equal (placed.size.mem_mib, 1024);
      mux_sched_report_usage (cell->sched, placed.task, used);
    }
  assert_int_equal (mux_sched_worker_free (cell->sched, 0).mem_mib,
                    16384 - 2 * 4096);
  for (int i = 0; i < 64; i++)
    mux_sched_report_usage (cell->sched, placed.task, used);
  cell->now_ms += 200;
  placed = cell_start_run (cell, "batch");
  assert_in_range (placed.size.mem_mib, 4096, 4096 * 9 / 8);
}

/* Wrong reports say that a class needs more than any worker has.  The class
 * must go on running, one task to a worker, and not be refused for ever. */
static void
test_report_beyond_workers (void **state)
{
  Cell *cell = *state;
  MuxClassSpec spec = cell_class ("batch", MUX_KIND_BATCH, 10000);
  MuxSize used = { 90000, 900000, 0, 1 };
  MuxPlacement placed;

  spec.size = (MuxSize){ 4000, 8192, 0, 1 };
  cell_open (cell, 1);
  cell_set (cell, &spec);
  for (int i = 0; i < 200; i++)
    {
      placed = cell_start_run (cell, "batch");
      cell->now_ms += 10;
      assert_true (mux_sched_ended (cell->sched, placed.task, MUX_END_OK, 1000,
                                    used, cell->now_ms));
    }
  assert_int_equal (placed.size.mem_mib, 16384);
}

/* After a change of owner a worker is found to run more than it can hold.
 * What runs is booked, its free room is 0 and does not wrap around, and
 * nothing is added until enough has ended. */
static void
test_adopt_beyond_capacity (void **state)
{
  Cell *cell = *state;
  MuxSize size = { 6000, 12288, 0, 1 };
  MuxSize room;

  open_three (cell, 1);
  for (uint64_t i = 1; i <= 2; i++)
    assert_true (
        mux_sched_adopt (cell->sched, (MuxId){ 5, i }, "gone", 0, size));
  room = mux_sched_worker_free (cell->sched, 0);
  assert_int_equal (room.cpu_milli, 0);
  assert_int_equal (room.mem_mib, 0);
  assert_int_equal (room.slots, 2);
  sched_cell_submit (cell, "urgent-a");
  cell_idle (cell);
  cell_end (cell, (MuxId){ 5, 1 }, 1000);
  assert_int_equal (mux_sched_worker_free (cell->sched, 0).cpu_milli, 2000);
  cell_place (cell);
}

/* A rack loses its power.  Replicas of a service that all fit on one worker
 * must be spread over racks, or the whole service would be lost. */
static void
test_spread_over_racks (void **state)
{
  Cell *cell = *state;
  MuxClassSpec spec = cell_class ("lasting", MUX_KIND_LONG_RUNNING, 10000);
  uint32_t in_rack[4] = { 0 };

  cell_open (cell, 8);
  cell_set (cell, &spec);
  for (int i = 0; i < 4; i++)
    {
      sched_cell_submit (cell, "lasting");
      in_rack[cell_place (cell).worker / 2]++;
    }
  for (int r = 0; r < 4; r++)
    assert_int_equal (in_rack[r], 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CELL_TEST (test_broken_worker),
    CELL_TEST (test_bad_class),
    CELL_TEST (test_probe_mends),
    CELL_TEST (test_declared_too_little),
    CELL_TEST (test_report_beyond_workers),
    CELL_TEST (test_adopt_beyond_capacity),
    CELL_TEST (test_spread_over_racks),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
