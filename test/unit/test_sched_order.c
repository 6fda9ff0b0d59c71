#include "support/sched_cell.h"
#include "support/test.h"

static void
open_two (Cell *cell, uint32_t workers)
{
  MuxClassSpec urgent = cell_class ("urgent", MUX_KIND_SERVICE, 100);
  MuxClassSpec batch = cell_class ("batch", MUX_KIND_BATCH, 10000);

  cell_open (cell, workers);
  cell_set (cell, &urgent);
  cell_set (cell, &batch);
}

/* An interactive task (a hotel's booking) arrives while the nightly
 * settlement, a batch, fills the cell and its queue.  The next free slot
 * must go to the booking, although the settlement was queued long before. */
static void
test_urgent_before_batch (void **state)
{
  Cell *cell = *state;
  MuxId first, late, urgent;

  open_two (cell, 1);
  first = sched_cell_submit (cell, "batch");
  for (int i = 0; i < 3; i++)
    sched_cell_submit (cell, "batch");
  for (int i = 0; i < 4; i++)
    cell_place (cell);
  late = sched_cell_submit (cell, "batch");
  cell->now_ms += 10;
  urgent = sched_cell_submit (cell, "urgent");
  cell_idle (cell);
  cell_end (cell, first, 100);
  assert_true (mux_id_equal (cell_place (cell).task, urgent));
  cell_end (cell, urgent, 100);
  assert_true (mux_id_equal (cell_place (cell).task, late));
}

/* More bookings arrive than the cell can run, without a pause.  The
 * settlement has the lower priority but must not starve: once it is
 * overdue, a worker is drained for it. */
static void
test_batch_does_not_starve (void **state)
{
  Cell *cell = *state;
  MuxId batch;
  MuxId running[8];
  uint32_t first = 0;
  uint32_t count = 0;
  bool started = false;

  open_two (cell, 2);
  for (; count < 8; count++)
    {
      running[count] = cell_start_run (cell, "urgent").task;
    }
  batch = sched_cell_submit (cell, "batch");
  for (int i = 0; i < 4000 && !started; i++)
    {
      MuxPlacement placed;
      MuxAdmitResult verdict;

      cell->now_ms += 50;
      cell_end (cell, running[first++ % 8], 400);
      count--;
      sched_cell_submit_until (cell, "urgent", 500, &verdict);
      sched_cell_submit_until (cell, "urgent", 500, &verdict);
      while (mux_sched_next (cell->sched, cell->now_ms, &placed))
        {
          if (placed.worker == MUX_NO_WORKER)
            continue;
          started = started || mux_id_equal (placed.task, batch);
          running[(first + count++) % 8] = placed.task;
        }
    }
  assert_true (started);
  assert_int_not_equal (mux_sched_booked_on (cell->sched, batch),
                        MUX_NO_WORKER);
}

/* A settlement has missed its start target when a new one arrives, and the
 * cell is full.  If the late one kept its place, every later settlement
 * would be late too.  Those still in time go first, but one in ten starts
 * goes to the late ones, so that they do not starve. */
static void
test_late_behind_timely (void **state)
{
  Cell *cell = *state;
  MuxId late[2];
  MuxId running;
  uint32_t starts[2] = { 0 };

  open_two (cell, 1);
  for (int i = 0; i < 4; i++)
    {
      running = sched_cell_submit (cell, "batch");
      cell_place (cell);
    }
  late[0] = sched_cell_submit (cell, "batch");
  late[1] = sched_cell_submit (cell, "batch");
  cell->now_ms += 9000;
  sched_cell_submit (cell, "batch");
  cell->now_ms += 1001;
  cell_idle (cell);
  for (int i = 0; i < 40; i++)
    {
      bool is_late;

      sched_cell_submit (cell, "batch");
      cell_end (cell, running, 100);
      running = cell_place (cell).task;
      is_late = mux_id_equal (running, late[starts[1] > 0]);
      starts[is_late]++;
      assert_true (!is_late || (uint32_t) i >= 9 * starts[1]);
      cell->now_ms += 10;
    }
  assert_int_equal (starts[1], 2);
}

/* A hundred settlements are late and more are due than can start in time.
 * A new one would become late itself, queue behind the hundred and expire.
 * It must be refused at once; one with enough time is admitted. */
static void
test_refused_behind_late (void **state)
{
  Cell *cell = *state;
  MuxAdmitResult verdict;

  open_two (cell, 1);
  for (int i = 0; i < 4; i++)
    cell_start_run (cell, "batch");
  for (int i = 0; i < 100; i++)
    {
      sched_cell_submit_until (cell, "batch", 400000, &verdict);
      assert_int_equal (verdict.reason, MUX_REASON_NONE);
    }
  cell->now_ms += 10001;
  cell_idle (cell);
  for (int i = 0; i < 40; i++)
    {
      sched_cell_submit_until (cell, "batch", 400000, &verdict);
      assert_int_equal (verdict.reason, MUX_REASON_NONE);
    }
  sched_cell_submit_until (cell, "batch", 60000, &verdict);
  assert_int_equal (verdict.reason, MUX_REASON_OVERLOAD);
  assert_true (verdict.retry_ms > 0);
  sched_cell_submit_until (cell, "batch", 400000, &verdict);
  assert_int_equal (verdict.reason, MUX_REASON_NONE);
}

/* A request that can't be served by its expiry is answered at that moment,
 * with a time to retry, and does not wait for a free slot. */
static void
test_gives_up_at_once (void **state)
{
  Cell *cell = *state;
  MuxAdmitResult verdict;
  MuxPlacement dropped;
  MuxId late;

  open_two (cell, 1);
  for (int i = 0; i < 4; i++)
    {
      cell_start_run (cell, "urgent");
    }
  late = sched_cell_submit_until (cell, "urgent", 300, &verdict);
  assert_int_equal (verdict.reason, MUX_REASON_NONE);
  cell_idle (cell);
  assert_in_range (mux_sched_wake_ms (cell->sched), 0, cell->now_ms + 300);
  cell->now_ms += 300;
  assert_true (mux_sched_next (cell->sched, cell->now_ms, &dropped));
  assert_true (mux_id_equal (dropped.task, late));
  assert_int_equal (dropped.worker, MUX_NO_WORKER);
  assert_int_equal (dropped.reason, MUX_REASON_DEADLINE);
  assert_true (dropped.retry_ms > 0);
}

/* A class floods the queue.  Requests of another class must still be
 * queued, and those of the first are answered that their queue is full. */
static void
test_places_for_each_class (void **state)
{
  Cell *cell = *state;
  MuxAdmitResult verdict = { 0 };
  uint32_t batch = 0;

  open_two (cell, 1);
  while (verdict.reason == MUX_REASON_NONE && batch < 2000)
    {
      sched_cell_submit_until (cell, "batch", 100000000, &verdict);
      batch++;
    }
  assert_int_equal (verdict.reason, MUX_REASON_QUEUE_FULL);
  assert_true (verdict.retry_ms > 0);
  assert_in_range (batch, 700, 800);
  for (int i = 0; i < 250; i++)
    {
      sched_cell_submit_until (cell, "urgent", 100000000, &verdict);
      assert_int_equal (verdict.reason, MUX_REASON_NONE);
    }
}

/* One product leaves its quota idle and another borrows it.  When the first
 * has work again, the next free slots go to it until its quota is reached;
 * tasks that can't end soon must not borrow at all. */
static void
test_quota_lent_and_returned (void **state)
{
  Cell *cell = *state;
  MuxProductSpec lender = { .name = "lender", .quota = { .slots = 2 } };
  MuxProductSpec borrower = { .name = "borrower", .quota = { .slots = 2 } };
  MuxClassSpec a = cell_class ("urgent-a", MUX_KIND_SERVICE, 100);
  MuxClassSpec b = cell_class ("urgent-b", MUX_KIND_SERVICE, 100);
  MuxClassSpec c = cell_class ("lasting", MUX_KIND_LONG_RUNNING, 10000);
  MuxId lent[4];
  MuxId back;

  mux_name_copy (a.product, "lender");
  mux_name_copy (b.product, "borrower");
  mux_name_copy (c.product, "borrower");
  c.run_ms = 0;
  cell_open (cell, 1);
  assert_true (mux_sched_product_set (cell->sched, &lender));
  assert_true (mux_sched_product_set (cell->sched, &borrower));
  cell_set (cell, &a);
  cell_set (cell, &b);
  cell_set (cell, &c);
  for (int i = 0; i < 4; i++)
    {
      lent[i] = cell_start_run (cell, "urgent-b").task;
    }
  sched_cell_submit (cell, "urgent-b");
  back = sched_cell_submit (cell, "urgent-a");
  cell_end (cell, lent[0], 100);
  assert_true (mux_id_equal (cell_place (cell).task, back));
  cell_end (cell, lent[1], 100);
  cell_place (cell);
  cell_end (cell, lent[2], 100);
  sched_cell_submit (cell, "lasting");
  cell_idle (cell);
}

/* A settlement requests all its tasks at once, and the cell is empty.
 * Before the first is placed nothing runs and nothing has ended; it must not be
 * refused for that, as four rounds of the cell end well before its expiry. */
static void
test_job_on_empty_cell (void **state)
{
  Cell *cell = *state;
  MuxAdmitResult verdict;

  open_two (cell, 25);
  for (int i = 0; i < 400; i++)
    {
      sched_cell_submit_until (cell, "batch", 10000, &verdict);
      assert_int_equal (verdict.reason, MUX_REASON_NONE);
    }
  for (int i = 0; i < 100; i++)
    cell_place (cell);
  cell_idle (cell);
  /* What really comes too late is refused. */
  for (int i = 0; i < 200; i++)
    sched_cell_submit_until (cell, "batch", 1000, &verdict);
  assert_int_equal (verdict.reason, MUX_REASON_OVERLOAD);
  assert_true (verdict.retry_ms > 0);
}

/* A class is removed while its tasks wait and run: those waiting are
 * answered, those running stay booked. */
static void
test_class_removed (void **state)
{
  Cell *cell = *state;
  MuxPlacement dropped;
  MuxAdmitResult verdict;
  MuxId runs, waits;

  open_two (cell, 1);
  runs = sched_cell_submit (cell, "batch");
  cell_place (cell);
  waits = sched_cell_submit (cell, "batch");
  mux_sched_class_remove (cell->sched, "batch");
  assert_true (mux_sched_next (cell->sched, cell->now_ms, &dropped));
  assert_true (mux_id_equal (dropped.task, waits));
  assert_int_equal (dropped.reason, MUX_REASON_UNKNOWN_CLASS);
  assert_int_equal (mux_sched_booked_on (cell->sched, runs), 0);
  sched_cell_submit_until (cell, "batch", 1000, &verdict);
  assert_int_equal (verdict.reason, MUX_REASON_UNKNOWN_CLASS);
  cell_end (cell, runs, 100);
}

/* Ten thousand waiting tasks are cancelled: each is found exactly once, and
 * none is left in any queue. */
static void
test_wave_of_cancellations (void **state)
{
  MuxSchedOptions options = { .queue_max = 40000 };
  Cell cell = { .now_ms = 1000 };
  MuxClassSpec batch = cell_class ("batch", MUX_KIND_BATCH, 10000);
  MuxSchedStats stats;

  (void) state;
  cell.sched = mux_sched_new (&options);
  mux_sched_worker_add (cell.sched, "w", "r", (MuxSize){ 1000, 1024, 0, 1 });
  cell_set (&cell, &batch);
  sched_cell_submit (&cell, "batch");
  cell_place (&cell);
  for (int i = 0; i < 10000; i++)
    {
      MuxAdmitResult verdict;

      sched_cell_submit_until (&cell, "batch", INT32_MAX, &verdict);
      assert_int_equal (verdict.reason, MUX_REASON_NONE);
    }
  for (uint64_t id = 10001; id > 1; id--)
    {
      assert_true (mux_sched_cancel (cell.sched, (MuxId){ 1, id }));
      assert_false (mux_sched_cancel (cell.sched, (MuxId){ 1, id }));
    }
  stats = mux_sched_stats (cell.sched, cell.now_ms);
  assert_int_equal (stats.queued, 0);
  assert_int_equal (stats.booked, 1);
  cell_idle (&cell);
  cell_close (&cell);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CELL_TEST (test_urgent_before_batch),
    CELL_TEST (test_batch_does_not_starve),
    CELL_TEST (test_late_behind_timely),
    CELL_TEST (test_gives_up_at_once),
    CELL_TEST (test_places_for_each_class),
    CELL_TEST (test_quota_lent_and_returned),
    CELL_TEST (test_job_on_empty_cell),
    CELL_TEST (test_class_removed),
    CELL_TEST (test_refused_behind_late),
    cmocka_unit_test (test_wave_of_cancellations),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
