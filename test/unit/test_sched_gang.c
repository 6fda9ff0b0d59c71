#include "support/sched_cell.h"
#include "support/test.h"

static void
open_gang (Cell *cell, uint32_t workers)
{
  MuxClassSpec gang = cell_class ("gang", MUX_KIND_GANG, 10000);
  MuxClassSpec batch = cell_class ("batch", MUX_KIND_BATCH, 10000);

  gang.size = (MuxSize){ 4000, 4096, 0, 1 };
  cell_open (cell, workers);
  cell_set (cell, &gang);
  cell_set (cell, &batch);
}

/* Places what can be placed; returns how many of these tasks were members
 * of the gang that consists of @count tasks from @first on. */
static uint32_t
place_all (Cell *cell, MuxId first, uint32_t count)
{
  MuxPlacement placed;
  uint32_t members = 0;

  while (mux_sched_next (cell->sched, cell->now_ms, &placed))
    {
      assert_int_not_equal (placed.worker, MUX_NO_WORKER);
      members
          += placed.task.lo >= first.lo && placed.task.lo < first.lo + count;
    }
  return members;
}

/* A gang of four tasks, two of which fit now.  Started one by one, the two
 * would occupy their room for nothing; none may start before all fit. */
static void
test_all_or_nothing (void **state)
{
  Cell *cell = *state;
  MuxId busy[4];
  MuxId gang;

  open_gang (cell, 2);
  for (int i = 0; i < 4; i++)
    {
      busy[i] = cell_start_run (cell, "batch").task;
    }
  gang = cell_gang (cell, "gang", 4);
  for (int i = 0; i < 4; i++)
    {
      cell_idle (cell);
      cell_end (cell, busy[i], 1000);
    }
  assert_int_equal (place_all (cell, gang, 4), 4);
}

/* While one member has not been requested, none starts.  When one is
 * cancelled, the others wait for it to be requested again, and all expire
 * together. */
static void
test_incomplete_gang (void **state)
{
  Cell *cell = *state;
  MuxPlacement dropped;
  MuxId gang;

  open_gang (cell, 2);
  gang = cell_gang (cell, "gang", 3);
  assert_true (mux_sched_cancel (cell->sched, (MuxId){ 1, gang.lo + 1 }));
  cell_idle (cell);
  cell->now_ms += 60000;
  for (int i = 0; i < 2; i++)
    {
      assert_true (mux_sched_next (cell->sched, cell->now_ms, &dropped));
      assert_int_equal (dropped.reason, MUX_REASON_DEADLINE);
    }
  cell_idle (cell);
}

/* A gang that a cell of this size can never hold is refused at once. */
static void
test_never_fits (void **state)
{
  Cell *cell = *state;
  MuxTaskRequest ask = { .task = { 1, 1 },
                         .group = { 2, 1 },
                         .group_count = 5,
                         .class_name = "gang",
                         .expires_ms = 100000,
                         .avoid = MUX_NO_WORKER };

  open_gang (cell, 2);
  assert_int_equal (mux_sched_submit (cell->sched, &ask, 1000).reason,
                    MUX_REASON_NEVER_FITS);
}

/* Small batch tasks arrive without a pause while a gang waits for the whole
 * cell.  Each small task fits at once, so the gang would starve unless room
 * is reserved for it.  Once it is reserved, only tasks that end in time may
 * use that room. */
static void
test_small_ones_do_not_delay (void **state)
{
  Cell *cell = *state;
  MuxId gang;
  MuxId running[64];
  uint32_t head = 0;
  uint32_t tail = 0;
  uint32_t members = 0;

  open_gang (cell, 2);
  for (int i = 0; i < 8; i++)
    {
      running[tail++ % 64] = cell_start_run (cell, "batch").task;
    }
  gang = cell_gang (cell, "gang", 4);
  for (int i = 0; i < 200 && members == 0; i++)
    {
      MuxPlacement placed;

      cell->now_ms += 125;
      if (head < tail)
        cell_end (cell, running[head++ % 64], 1000);
      sched_cell_submit (cell, "batch");
      while (mux_sched_next (cell->sched, cell->now_ms, &placed))
        if (placed.task.lo >= gang.lo && placed.task.lo < gang.lo + 4)
          members++;
        else
          running[tail++ % 64] = placed.task;
    }
  assert_int_equal (members, 4);
  assert_true (cell->now_ms < 1000 + 10000);
}

/* Two gangs wait, each for the whole cell, while small tasks go on.  If
 * each reserved half of it, neither would ever start (deadlock). */
static void
test_two_gangs_no_deadlock (void **state)
{
  Cell *cell = *state;
  MuxId first, second;
  uint32_t placed_first, placed_second;

  open_gang (cell, 2);
  cell_start_run (cell, "batch");
  first = cell_gang (cell, "gang", 4);
  cell->now_ms += 1;
  second = cell_gang (cell, "gang", 4);
  cell_idle (cell);
  cell->now_ms += 1000;
  cell_end (cell, (MuxId){ 1, 1 }, 1000);
  placed_first = place_all (cell, first, 4);
  assert_int_equal (placed_first, 4);
  for (uint32_t i = 0; i < 4; i++)
    {
      cell_idle (cell);
      cell_end (cell, (MuxId){ 1, first.lo + i }, 1000);
    }
  placed_second = place_all (cell, second, 4);
  assert_int_equal (placed_second, 4);
}

/* A gang waits with workers reserved for it, and those workers leave.  The
 * reservation must be released and made elsewhere, and must not keep out
 * others. */
static void
test_held_workers_leave (void **state)
{
  Cell *cell = *state;
  MuxId busy[12];
  MuxId gang;

  open_gang (cell, 3);
  for (int i = 0; i < 12; i++)
    {
      busy[i] = cell_start_run (cell, "batch").task;
    }
  gang = cell_gang (cell, "gang", 2);
  cell->now_ms += 200;
  cell_idle (cell);
  mux_sched_worker_set_usable (cell->sched, 0, false);
  mux_sched_worker_set_usable (cell->sched, 1, false);
  cell->now_ms += 200;
  for (int i = 0; i < 12; i++)
    cell_end (cell, busy[i], 1000);
  assert_int_equal (place_all (cell, gang, 2), 2);
  assert_int_equal (mux_sched_booked_on (cell->sched, gang), 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CELL_TEST (test_all_or_nothing),
    CELL_TEST (test_incomplete_gang),
    CELL_TEST (test_never_fits),
    CELL_TEST (test_small_ones_do_not_delay),
    CELL_TEST (test_two_gangs_no_deadlock),
    CELL_TEST (test_held_workers_leave),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
