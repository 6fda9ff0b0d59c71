#include "internal.h"

#include <stdlib.h>

/* A reservation expires after twice its forecast time plus this. */
#define RESERVATION_MIN_MS 10000
/* Least time that an overdue task is forecast to go on running. */
#define OVERDUE_MIN_MS 100
/* Longest run time of backfill while the reserve or a quota blocks the task of
 * the reservation although it fits. */
#define BLOCKED_MS 1000
/* Workers considered for a reservation of n tasks: enough to hold
 * CHOICE_MIN + CHOICE_FACTOR * n tasks when empty. */
#define CHOICE_FACTOR 2u
#define CHOICE_MIN 16u

static int
compare_release (const void *a, const void *b)
{
  const MuxRelease *x = a;
  const MuxRelease *y = b;

  if (x->end_ms != y->end_ms)
    return x->end_ms < y->end_ms ? -1 : 1;
  return x->worker < y->worker ? -1 : x->worker > y->worker;
}

/* Forecast end of a running task: the 90th percentile of the run times of its
 * class; past that, a quarter longer than it has run so far. */
static int64_t
forecast_end (const MuxSched *sched, const MuxTask *task, int64_t now_ms)
{
  uint32_t run
      = mux_learn_run_quantile_ms (sched->class_at[task->class_id], 900000);
  int64_t ran = now_ms - task->booked_ms;

  if (run == UINT32_MAX)
    return INT64_MAX;
  if (ran < run)
    return task->booked_ms + run;
  return now_ms + OVERDUE_MIN_MS + ran / 4;
}

bool
mux_reservation_is_for (const MuxSched *sched, uint32_t t)
{
  return sched->reservation.task != MUX_NONE && sched->reservation.task == t
         && mux_id_equal (sched->reservation.task_id, sched->task[t].id);
}

void
mux_reservation_cancel (MuxSched *sched)
{
  MuxReservation *res = &sched->reservation;

  for (uint32_t i = 0; i < res->count; i++)
    mux_index_set_reserved (sched, res->workers[i], false);
  res->count = 0;
  res->urgent_room_taken = 0;
  res->task = MUX_NONE;
}

/* A worker chosen for the reservation may have left since, or its breaker may
 * have opened. */
static bool
open_worker (const MuxSched *sched, uint32_t w)
{
  return sched->worker[w].level != MUX_NONE;
}

static uint32_t
tasks_on (const MuxSched *sched, const uint32_t *workers, uint32_t count)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < count; i++)
    n += sched->worker[workers[i]].tasks.count;
  return n;
}

static uint32_t
releases_of (const MuxSched *sched,
             const uint32_t *workers,
             uint32_t count,
             int64_t now_ms,
             MuxRelease *out)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < count; i++)
    for (uint32_t t = sched->worker[workers[i]].tasks.head;
         t != MUX_NONE && open_worker (sched, workers[i]);
         t = sched->task[t].link[MUX_LINK_WORKER].next)
      out[n++] = (MuxRelease){ .end_ms
                               = forecast_end (sched, &sched->task[t], now_ms),
                               .worker = i,
                               .size = sched->task[t].size };
  qsort (out, n, sizeof *out, compare_release);
  return n;
}

static bool
alloc_workers (MuxReservation *res, uint32_t count)
{
  uint32_t *workers;
  MuxSize *free_when_ready;

  if (count <= res->workers_allocated)
    return true;
  workers = realloc (res->workers, count * sizeof *workers);
  if (workers == NULL)
    return false;
  res->workers = workers;
  free_when_ready
      = realloc (res->free_when_ready, count * sizeof *free_when_ready);
  if (free_when_ready == NULL)
    return false;
  res->free_when_ready = free_when_ready;
  res->workers_allocated = count;
  return true;
}

static MuxRelease *
alloc_releases (MuxReservation *res, uint32_t count)
{
  MuxRelease *release;
  uint32_t allocated = 2 * (count + 1);

  if (count <= res->releases_allocated && res->releases != NULL)
    return res->releases;
  release = realloc (res->releases, (size_t) allocated * sizeof *release);
  if (release == NULL)
    return NULL;
  res->releases = release;
  res->releases_allocated = allocated;
  return release;
}

/*
 * Time at which @n tasks of @class are forecast to fit together on the first
 * @count of reservation.workers if nothing else starts there; INT64_MAX: not
 * known.  Sets reservation.free_when_ready to the room on each worker then.
 */
static int64_t
ready_at (MuxSched *sched,
          const MuxClass *class,
          uint32_t n,
          uint32_t count,
          int64_t now_ms)
{
  MuxReservation *res = &sched->reservation;
  const uint32_t *workers = res->workers;
  MuxRelease *release = alloc_releases (res, tasks_on (sched, workers, count));
  MuxSize *room = res->free_when_ready;
  int64_t ready = now_ms;
  uint64_t fit = 0;
  uint32_t releases;

  if (release == NULL)
    return INT64_MAX;
  releases = releases_of (sched, workers, count, now_ms, release);
  for (uint32_t i = 0; i < count; i++)
    {
      room[i] = open_worker (sched, workers[i]) ? sched->worker[workers[i]].free
                                                : (MuxSize){ 0 };
      fit += mux_size_fit_count (class->size, room[i]);
    }
  for (uint32_t i = 0; i < releases && fit < n; i++)
    {
      uint32_t k = release[i].worker;

      fit -= mux_size_fit_count (class->size, room[k]);
      room[k] = mux_size_add (room[k], release[i].size);
      fit += mux_size_fit_count (class->size, room[k]);
      ready = release[i].end_ms;
    }
  return fit >= n ? ready : INT64_MAX;
}

/* Number of tasks that are placed together with task @t, itself included. */
static uint32_t
placed_together (const MuxSched *sched, uint32_t t)
{
  uint32_t g = sched->task[t].gang;

  return g == MUX_NONE ? 1 : sched->gang[g].task_count;
}

/* How many fewer urgent tasks fit into @room with @n tasks of @class. */
static uint32_t
urgent_loss (const MuxSched *sched,
             const MuxClass *class,
             uint32_t n,
             MuxSize room)
{
  MuxSize left = room;

  if (sched->urgent_size.slots == 0)
    return 0;
  for (uint32_t i = 0; i < n; i++)
    left = mux_size_sub (left, class->size);
  return mux_size_fit_count (sched->urgent_size, room)
         - mux_size_fit_count (sched->urgent_size, left);
}

/* Keeps the first of the @count workers that together hold @n tasks of @class
 * when ready; those with most room come first. */
static void
trim (MuxSched *sched, const MuxClass *class, uint32_t n, uint32_t count)
{
  MuxReservation *res = &sched->reservation;

  res->urgent_room_taken = 0;
  for (uint32_t i = 0; i < count && n > 0; i++)
    {
      uint32_t times
          = mux_size_fit_count (class->size, res->free_when_ready[i]);

      if (times == 0)
        continue;
      times = times < n ? times : n;
      n -= times;
      res->urgent_room_taken
          += urgent_loss (sched, class, times, res->free_when_ready[i]);
      res->workers[res->count++] = res->workers[i];
    }
}

static void
begin (MuxSched *sched, uint32_t t, int64_t now_ms)
{
  MuxReservation *res = &sched->reservation;
  const MuxClass *class = sched->class_at[sched->task[t].class_id];
  uint32_t n = placed_together (sched, t);
  uint32_t cap = sched->workers < CHOICE_MIN + CHOICE_FACTOR * n
                     ? sched->workers
                     : CHOICE_MIN + CHOICE_FACTOR * n;
  uint32_t count;

  if (!alloc_workers (res, cap))
    return;
  count = mux_index_emptiest (sched, class,
                              (uint64_t) n * CHOICE_FACTOR + CHOICE_MIN,
                              res->workers, cap);
  res->ready_ms = ready_at (sched, class, n, count, now_ms);
  if (res->ready_ms == INT64_MAX)
    return;
  trim (sched, class, n, count);
  res->task = t;
  res->task_id = sched->task[t].id;
  res->tried_gen = 0;
  res->expires_ms = now_ms + 2 * (res->ready_ms - now_ms) + RESERVATION_MIN_MS;
  for (uint32_t i = 0; i < res->count; i++)
    mux_index_set_reserved (sched, res->workers[i], true);
}

/* Updates the forecast, so that backfill stays possible when tasks run longer
 * than forecast. */
static void
refresh (MuxSched *sched, int64_t now_ms)
{
  MuxReservation *res = &sched->reservation;
  const MuxClass *class = sched->class_at[sched->task[res->task].class_id];

  res->ready_ms = ready_at (sched, class, placed_together (sched, res->task),
                            res->count, now_ms);
  /* All tasks fit, but the reserve or a quota blocks them: short tasks may use
   * the room in the meantime. */
  if (res->ready_ms <= now_ms)
    res->ready_ms = now_ms + BLOCKED_MS;
  /* Some workers have left, and the others can't hold it. */
  if (res->ready_ms == INT64_MAX)
    mux_reservation_cancel (sched);
}

static bool
still_valid (const MuxSched *sched, int64_t now_ms)
{
  const MuxReservation *res = &sched->reservation;

  return res->task != MUX_NONE && mux_reservation_is_for (sched, res->task)
         && sched->task[res->task].state == MUX_TASK_WAITING
         && sched->queue_pos[res->task] != MUX_NONE && now_ms < res->expires_ms;
}

/* A reservation is due to gangs, to tasks that fit nowhere, and to tasks that
 * have used up half of their promised wait: smaller or more urgent tasks would
 * otherwise take all room as it becomes free. */
static bool
qualifies (const MuxSched *sched,
           const MuxClass *class,
           const MuxHeapNode *head,
           int64_t now_ms)
{
  int64_t half = class->spec.start_within_ms / 2;

  if (head == NULL || class->shape == MUX_NONE
      || !mux_product_within_quota (sched, class,
                                    placed_together (sched, head->item)))
    return false;
  return sched->task[head->item].gang != MUX_NONE
         || sched->index.shape[class->shape].fits.count == 0
         || now_ms >= head->key - half;
}

/* There is one reservation at a time, so that reservations can't deadlock; the
 * earliest deadline goes first, but a task whose reservation has expired goes
 * behind the others. */
static uint32_t
choose_in (const MuxSched *sched,
           MuxQueueKind kind,
           MuxId expired,
           int64_t now_ms)
{
  const MuxHeapNode *best = NULL;
  uint32_t expired_task = MUX_NONE;

  for (uint32_t i = 0; i < sched->classes; i++)
    {
      const MuxClass *class = sched->class_at[i];
      const MuxHeapNode *head = mux_queue_head (class, kind);

      if (!qualifies (sched, class, head, now_ms))
        continue;
      if (mux_id_equal (sched->task[head->item].id, expired))
        expired_task = head->item;
      else if (best == NULL || head->key < best->key)
        best = head;
    }
  return best != NULL ? best->item : expired_task;
}

static bool
on_time_waiting (const MuxSched *sched)
{
  for (uint32_t i = 0; i < sched->classes; i++)
    if (!sched->class_at[i]->urgent
        && mux_queue_head (sched->class_at[i], MUX_QUEUE_ON_TIME) != NULL)
      return true;
  return false;
}

/* A late task gets a reservation only if a start is due to late tasks or no
 * deferrable task is waiting on time, as in the order of placement. */
static uint32_t
choose (const MuxSched *sched, MuxId expired, int64_t now_ms)
{
  uint32_t t = MUX_NONE;

  if (mux_late_share_due (sched) || !on_time_waiting (sched))
    t = choose_in (sched, MUX_QUEUE_LATE, expired, now_ms);
  return t != MUX_NONE ? t
                       : choose_in (sched, MUX_QUEUE_ON_TIME, expired, now_ms);
}

void
mux_reservation_tick (MuxSched *sched, int64_t now_ms)
{
  MuxId expired = sched->reservation.task_id;
  uint32_t t;

  if (still_valid (sched, now_ms))
    refresh (sched, now_ms);
  else
    mux_reservation_cancel (sched);
  if (sched->reservation.task != MUX_NONE)
    return;
  if (sched->waiting == 0 || sched->tuning.no_reservation)
    return;
  t = choose (sched, expired, now_ms);
  if (t != MUX_NONE)
    begin (sched, t, now_ms);
}

bool
mux_reservation_may_backfill (const MuxSched *sched,
                              const MuxClass *class,
                              int64_t now_ms)
{
  uint32_t run = mux_learn_run_quantile_ms (class, 900000);

  return run != UINT32_MAX && now_ms + run <= sched->reservation.ready_ms;
}
