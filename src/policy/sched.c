#include "internal.h"

#include <stdlib.h>

#define TASKS_MIN 64u
#define RACKS_MIN 16u
#define QUEUE_MAX_DEFAULT 10000u

static bool
init (MuxSched *sched)
{
  uint32_t allocated = sched->options.tasks_hint < TASKS_MIN
                           ? TASKS_MIN
                           : sched->options.tasks_hint;

  sched->task = calloc (allocated, sizeof *sched->task);
  sched->queue_pos = calloc (allocated, sizeof *sched->queue_pos);
  sched->expire_pos = calloc (allocated, sizeof *sched->expire_pos);
  sched->tasks_allocated = allocated;
  return sched->task != NULL && sched->queue_pos != NULL
         && sched->expire_pos != NULL
         && mux_idmap_init (&sched->task_ids, allocated)
         && mux_idmap_init (&sched->gang_ids, 0)
         && mux_heap_reserve (&sched->expire, allocated)
         && mux_index_grow (sched, 1);
}

MuxSched *
mux_sched_new (const MuxSchedOptions *options)
{
  MuxSched *sched = calloc (1, sizeof *sched);

  if (sched == NULL)
    return NULL;
  sched->options = *options;
  if (sched->options.queue_max == 0)
    sched->options.queue_max = QUEUE_MAX_DEFAULT;
  sched->share_ppm = 1000000;
  sched->task_free = MUX_NONE;
  sched->gang_free = MUX_NONE;
  sched->worker_gen = 1;
  sched->room_gen = 1;
  sched->racks_allocated = RACKS_MIN;
  sched->reservation.task = MUX_NONE;
  sched->next_probe_ms = INT64_MAX;
  sched->next_tick_ms = INT64_MIN;
  /* A xorshift generator must not start from 0. */
  sched->rng_state = options->seed * 2 + 1;
  mux_list_init (&sched->waiting_by_age);
  mux_list_init (&sched->dropped);
  mux_list_init (&sched->placed);
  if (!init (sched))
    {
      mux_sched_free (sched);
      return NULL;
    }
  return sched;
}

void
mux_sched_free (MuxSched *sched)
{
  if (sched == NULL)
    return;
  mux_classes_clear (sched);
  mux_racks_clear (sched);
  mux_index_clear (&sched->index);
  free (sched->reservation.workers);
  free (sched->reservation.free_when_ready);
  free (sched->reservation.releases);
  mux_heap_clear (&sched->expire);
  mux_idmap_clear (&sched->task_ids);
  mux_idmap_clear (&sched->gang_ids);
  free (sched->task);
  free (sched->queue_pos);
  free (sched->expire_pos);
  free (sched->gang);
  free (sched->worker);
  free (sched);
}

void
mux_sched_cell_set (MuxSched *sched, const MuxCellSpec *spec)
{
  sched->cell = *spec;
}

void
mux_sched_tune (MuxSched *sched, const MuxTuning *tuning)
{
  sched->tuning = *tuning;
}

void
mux_sched_share_set (MuxSched *sched, uint32_t share_ppm)
{
  sched->share_ppm = share_ppm;
  sched->room_gen++;
}

bool
mux_sched_adopt (MuxSched *sched,
                 MuxId id,
                 const char *class_name,
                 uint32_t w,
                 MuxSize size)
{
  MuxClass *class = mux_class_find_or_add (sched, class_name);
  uint32_t t = mux_idmap_get (&sched->task_ids, id);

  if (class == NULL || w >= sched->workers || !sched->worker[w].present)
    return false;
  if (t == MUX_NONE)
    t = mux_task_new (sched, id);
  else if (sched->task[t].state == MUX_TASK_BOOKED)
    mux_unbook (sched, t);
  else if (sched->task[t].state == MUX_TASK_DROPPING)
    mux_list_remove (sched, &sched->dropped, MUX_LINK_MEMBER, t);
  else
    mux_queue_remove (sched, t);
  if (t == MUX_NONE)
    return false;
  size.slots = size.slots == 0 ? 1 : size.slots;
  sched->task[t].class_id = class->id;
  mux_book (sched, t, w, size);
  sched->task[t].started = true;
  /* Its start is not reported; the current time is close enough for forecasts.
   */
  sched->task[t].booked_ms
      = sched->next_tick_ms == INT64_MIN ? 0 : sched->next_tick_ms;
  return true;
}

void
mux_sched_started (MuxSched *sched, MuxId id, int64_t now_ms)
{
  uint32_t t = mux_idmap_get (&sched->task_ids, id);

  (void) now_ms;
  if (t != MUX_NONE && sched->task[t].state == MUX_TASK_BOOKED)
    sched->task[t].started = true;
}

static uint32_t
larger (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

/* The booking of a running task grows to its reported usage; otherwise a class
 * that declares too little would overload workers until its first tasks end. */
void
mux_sched_report_usage (MuxSched *sched, MuxId id, MuxSize used)
{
  uint32_t t = mux_idmap_get (&sched->task_ids, id);
  MuxTask *task;

  if (t == MUX_NONE || sched->task[t].state != MUX_TASK_BOOKED)
    return;
  task = &sched->task[t];
  mux_learn_usage (sched->class_at[task->class_id], used);
  if (used.cpu_milli <= task->size.cpu_milli
      && used.mem_mib <= task->size.mem_mib)
    return;
  mux_rebook (sched, t,
              (MuxSize){ larger (used.cpu_milli, task->size.cpu_milli),
                         larger (used.mem_mib, task->size.mem_mib),
                         task->size.accels, task->size.slots });
}

bool
mux_sched_ended (MuxSched *sched,
                 MuxId id,
                 MuxTaskEnd end,
                 uint32_t ran_ms,
                 MuxSize used,
                 int64_t now_ms)
{
  uint32_t t = mux_idmap_get (&sched->task_ids, id);

  if (t == MUX_NONE || sched->task[t].state != MUX_TASK_BOOKED)
    return false;
  if (end == MUX_END_OK)
    mux_learn_end (sched->class_at[sched->task[t].class_id], ran_ms, used);
  mux_breaker_task_ended (sched, &sched->task[t], end, ran_ms, now_ms);
  sched->ends.count++;
  mux_unbook (sched, t);
  mux_task_free (sched, t);
  return true;
}

uint32_t
mux_sched_booked_on (const MuxSched *sched, MuxId id)
{
  uint32_t t = mux_idmap_get (&sched->task_ids, id);

  if (t == MUX_NONE || sched->task[t].state != MUX_TASK_BOOKED)
    return MUX_NO_WORKER;
  return sched->task[t].worker;
}

static uint32_t
clamp (uint64_t n)
{
  return n < UINT32_MAX ? (uint32_t) n : UINT32_MAX;
}

static MuxSize
size_of (const uint64_t dims[MUX_DIMS])
{
  return (MuxSize){ .cpu_milli = clamp (dims[MUX_DIM_CPU]),
                    .mem_mib = clamp (dims[MUX_DIM_MEM]),
                    .accels = clamp (dims[MUX_DIM_ACCELS]),
                    .slots = clamp (dims[MUX_DIM_SLOTS]) };
}

/*
 * Free room on workers whose breaker is closed.  A worker that fails everything
 * is always free; if it were counted, tasks would be sent to its owner and wait
 * there for a probe while other owners have healthy workers.
 */
static MuxSize
available (const MuxSched *sched)
{
  MuxSize free = size_of (sched->free);

  for (uint32_t w = 0; w < sched->workers && sched->tripped > 0; w++)
    {
      const MuxWorker *worker = &sched->worker[w];

      if (worker->present && worker->usable
          && worker->breaker.state != MUX_BREAKER_CLOSED)
        free = mux_size_sub (free, worker->free);
    }
  return free;
}

MuxSchedStats
mux_sched_stats (const MuxSched *sched, int64_t now_ms)
{
  MuxSchedStats stats = { .total = size_of (sched->total),
                          .free = size_of (sched->free),
                          .available = available (sched),
                          .queued = sched->waiting,
                          .booked = sched->booked };

  if (sched->waiting_by_age.head != MUX_NONE)
    {
      int64_t wait
          = now_ms - sched->task[sched->waiting_by_age.head].submitted_ms;

      stats.oldest_wait_ms = wait > 0 ? clamp ((uint64_t) wait) : 0;
    }
  return stats;
}
