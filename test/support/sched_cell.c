#include "sched_cell.h"
#include "support/test.h"

int
cell_set_up (void **state)
{
  static Cell cell;

  cell = (Cell){ 0 };
  *state = &cell;
  return 0;
}

int
cell_tear_down (void **state)
{
  cell_close (*state);
  return 0;
}

void
cell_open (Cell *cell, uint32_t workers)
{
  MuxSchedOptions options = { .seed = 3, .queue_max = 1000 };

  *cell = (Cell){ .now_ms = 1000 };
  cell->sched = mux_sched_new (&options);
  assert_non_null (cell->sched);
  for (uint32_t w = 0; w < workers; w++)
    {
      char rack[MUX_NAME_LEN];

      snprintf (rack, sizeof rack, "rack-%u", w / 2);
      assert_int_equal (mux_sched_worker_add (cell->sched, "worker", rack,
                                              (MuxSize){ 8000, 16384, 0, 4 }),
                        w);
    }
}

void
cell_close (Cell *cell)
{
  mux_sched_free (cell->sched);
}

MuxClassSpec
cell_class (const char *name, MuxKind kind, uint32_t within_ms)
{
  MuxClassSpec spec = { .product = "product",
                        .kind = kind,
                        .idempotent = true,
                        .start_within_ms = within_ms,
                        .start_share_ppm = 990000,
                        .size = { 1000, 1024, 0, 1 },
                        .run_ms = 1000 };

  mux_name_copy (spec.name, name);
  return spec;
}

void
cell_set (Cell *cell, const MuxClassSpec *spec)
{
  assert_true (mux_sched_class_set (cell->sched, spec));
}

static uint32_t
within_of (const char *class_name)
{
  return class_name[0] == 'u' ? 100 : 10000;
}

static MuxAdmitResult
submit (Cell *cell,
        const char *class_name,
        int64_t give_up_ms,
        uint64_t group,
        uint32_t count)
{
  MuxTaskRequest ask = { .task = { 1, ++cell->next_id },
                         .group = { group > 0 ? 2 : 0, group },
                         .group_count = count,
                         .class_name = class_name,
                         .start_by_ms = cell->now_ms + within_of (class_name),
                         .expires_ms = cell->now_ms + give_up_ms,
                         .avoid = MUX_NO_WORKER };

  return mux_sched_submit (cell->sched, &ask, cell->now_ms);
}

MuxId
sched_cell_submit_until (Cell *cell,
                         const char *class_name,
                         int64_t give_up_ms,
                         MuxAdmitResult *verdict)
{
  *verdict = submit (cell, class_name, give_up_ms, 0, 0);
  return (MuxId){ 1, cell->next_id };
}

MuxId
sched_cell_submit (Cell *cell, const char *class_name)
{
  MuxAdmitResult verdict;
  MuxId id = sched_cell_submit_until (cell, class_name, 60000, &verdict);

  assert_int_equal (verdict.reason, MUX_REASON_NONE);
  return id;
}

MuxId
cell_gang (Cell *cell, const char *class_name, uint32_t count)
{
  uint64_t group = cell->next_id + 1;

  for (uint32_t i = 0; i < count; i++)
    assert_int_equal (submit (cell, class_name, 60000, group, count).reason,
                      MUX_REASON_NONE);
  return (MuxId){ 1, group };
}

MuxPlacement
cell_place (Cell *cell)
{
  MuxPlacement placed;

  assert_true (mux_sched_next (cell->sched, cell->now_ms, &placed));
  assert_int_equal (placed.reason, MUX_REASON_NONE);
  assert_int_not_equal (placed.worker, MUX_NO_WORKER);
  return placed;
}

MuxPlacement
cell_start_run (Cell *cell, const char *class_name)
{
  sched_cell_submit (cell, class_name);
  return cell_place (cell);
}

void
cell_idle (Cell *cell)
{
  MuxPlacement placed;

  assert_false (mux_sched_next (cell->sched, cell->now_ms, &placed));
}

void
cell_end (Cell *cell, MuxId task, uint32_t ran_ms)
{
  assert_true (mux_sched_ended (cell->sched, task, MUX_END_OK, ran_ms,
                                (MuxSize){ 0 }, cell->now_ms));
}

void
cell_fail (Cell *cell, MuxId task)
{
  assert_true (mux_sched_ended (cell->sched, task, MUX_END_FAILED, 10,
                                (MuxSize){ 0 }, cell->now_ms));
}
