#include "cell_private.h"

#include <stdio.h>

/* Log lines of workers that crashed, and of the runs lost with them. */

/* Tasks named in the log line of a crash. */
#define NAMED_MAX 8
#define NAME_LEN 80

static void
task_name (const CellTask *task, char name[NAME_LEN])
{
  snprintf (name, NAME_LEN, "%s.%u.%u.%u", task->stage->job->id,
            task->stage->occurrence, task->stage->step, task->index);
}

void
cell_log_crashed_under (MuxCell *cell, const CellTask *task)
{
  const CellJob *job = task->stage->job;

  for (uint32_t i = 0; i < task->loss_count; i++)
    {
      const CellLoss *loss = &task->loss[i];

      cell_log (cell, "worker_crashed_under",
                "{s:s, s:i, s:i, s:i, s:s, s:s, s:I, s:b, s:I}", "job", job->id,
                "step", (int) task->stage->step, "task", (int) task->index,
                "run", (int) loss->run, "worker", loss->worker, "addr",
                loss->addr, "lost_wall_ms", (json_int_t) loss->at_wall_ms,
                "in_outage", (int) loss->in_outage, "lived_ms",
                (json_int_t) loss->ran_ms);
    }
}

void
cell_log_loss (MuxCell *cell, const CellTask *task, const CellLoss *loss)
{
  CellLosses losses = cell_task_losses (cell, task);

  cell_log (cell, "run_lost",
            "{s:s, s:i, s:i, s:i, s:s, s:b, s:b, s:b, s:I, s:i, s:i, s:i}",
            "job", task->stage->job->id, "step", (int) task->stage->step,
            "task", (int) task->index, "run", (int) loss->run, "worker",
            loss->worker, "worker_ended", (int) loss->worker_ended, "began",
            (int) loss->began, "in_outage", (int) loss->in_outage, "lived_ms",
            (json_int_t) loss->ran_ms, "crashed", (int) losses.crashed,
            "untold", (int) losses.unconfirmed, "unreachable",
            (int) losses.unreachable);
}

void
cell_log_crash (MuxCell *cell, const CellWorker *worker)
{
  json_t *names = json_array ();
  const CellBooking *booking;
  uint32_t runs = 0;

  DL_FOREACH (worker->bookings, booking)
  {
    char name[NAME_LEN];

    task_name (booking->task, name);
    if (runs++ < NAMED_MAX)
      (void) json_array_append_new (names, json_string (name));
  }
  mux_count (cell->options.counters, MUX_COUNT_WORKERS_CRASHED, 1);
  cell_log (cell, "worker_crashed", "{s:s, s:s, s:i, s:o}", "worker",
            worker->info.id, "addr", worker->info.addr, "runs", (int) runs,
            "tasks", names);
}
