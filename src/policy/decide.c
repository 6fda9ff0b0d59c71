#include "internal.h"

/*
 * Decides which waiting task is placed next, and on which worker.  Two kinds of
 * room are kept free: the reserve, for forecast urgent work (reserve.c), and
 * the reservation, for one gang or large task that waits (reservation.c).
 */

/* Period of mux_sched_tick(). */
#define TICK_MS 100
/* Usage reports after which a class's booking size is recomputed. */
#define REPORTS_PER_RESIZE 64u
/* Most tasks tried after the head of a queue if that has to avoid the only
 * worker that is free. */
#define SKIP_AHEAD_MAX 8u

/* Order of placement: by tier, within a tier by start deadline. */
typedef enum
{
  TIER_URGENT,     /* urgent class, product within its quota */
  TIER_DEFERRABLE, /* deferrable class, product within its quota */
  TIER_BORROW,     /* beyond the quota, on idle quota of other products */
  TIER_NONE,       /* beyond the quota and may not borrow: not placed */
} Tier;

static bool
emit_drop (MuxSched *sched, int64_t now_ms, MuxPlacement *out)
{
  uint32_t t = sched->dropped.head;

  if (t == MUX_NONE)
    return false;
  *out = (MuxPlacement){ .task = sched->task[t].id,
                         .worker = MUX_NO_WORKER,
                         .reason = (MuxReason) sched->task[t].reason };
  if (out->reason == MUX_REASON_DEADLINE)
    out->retry_ms = mux_forecast_retry_ms (
        sched, sched->class_at[sched->task[t].class_id], now_ms);
  mux_list_remove (sched, &sched->dropped, MUX_LINK_MEMBER, t);
  mux_task_free (sched, t);
  return true;
}

static bool
emit_placed (MuxSched *sched, MuxPlacement *out)
{
  uint32_t t = sched->placed.head;

  if (t == MUX_NONE)
    return false;

  MuxTask *task = &sched->task[t];

  *out = (MuxPlacement){ .task = task->id,
                         .worker = task->worker,
                         .size = task->size,
                         .reason = MUX_REASON_NONE };
  mux_list_remove (sched, &sched->placed, MUX_LINK_MEMBER, t);
  task->unreported = false;
  return true;
}

static void
drop_expired (MuxSched *sched, int64_t now_ms)
{
  while (sched->expire.count > 0 && sched->expire.node[0].key <= now_ms)
    mux_queue_drop (sched, sched->expire.node[0].item, MUX_REASON_DEADLINE);
}

/* Books task @t on worker @w; emit_placed() reports it. */
static void
record_placement (MuxSched *sched, uint32_t t, uint32_t w, int64_t now_ms)
{
  MuxTask *task = &sched->task[t];
  MuxClass *class = sched->class_at[task->class_id];
  int64_t wait = now_ms - task->submitted_ms;

  if (mux_reservation_is_for (sched, t))
    mux_reservation_cancel (sched);
  mux_late_count_start (sched, class, task->queue_kind);
  mux_queue_remove (sched, t);
  mux_book (sched, t, w, class->size);
  task->booked_ms = now_ms;
  task->unreported = true;
  mux_list_add (sched, &sched->placed, MUX_LINK_MEMBER, t);
  class->starts.count++;
  class->on_time.count += now_ms <= task->start_by_ms;
  mux_hist_add (&class->wait_hist, wait > 0 ? (uint32_t) wait : 0, 1);
}

static Tier
tier_of (const MuxSched *sched, const MuxClass *class, uint32_t n)
{
  if (mux_product_within_quota (sched, class, n))
    return class->urgent || sched->tuning.no_tiers ? TIER_URGENT
                                                   : TIER_DEFERRABLE;
  return mux_class_may_borrow (class) ? TIER_BORROW : TIER_NONE;
}

/* Urgent tasks within quota may use the reserve.  Others may not, except the
 * holder of the reservation when it is past its start deadline and deferrable
 * tasks hold less than their floor. */
static bool
ignores_reserve (const MuxSched *sched,
                 const MuxClass *class,
                 uint32_t t,
                 uint32_t n,
                 int64_t now_ms)
{
  if (tier_of (sched, class, n) == TIER_URGENT)
    return true;
  return mux_reservation_is_for (sched, t)
         && now_ms >= sched->task[t].start_by_ms
         && mux_reserve_below_floor (sched, class, n);
}

static MuxWorkerQuery
query_for (const MuxSched *sched,
           const MuxClass *class,
           uint32_t t,
           int64_t now_ms)
{
  return (MuxWorkerQuery){ .class = class,
                           .avoid = sched->task[t].avoid,
                           .may_use_reserved = mux_reservation_is_for (sched, t)
                                               || mux_reservation_may_backfill (
                                                   sched, class, now_ms),
                           .now_ms = now_ms };
}

static bool
probe_with (MuxSched *sched, const MuxWorkerQuery *query, uint32_t t)
{
  uint32_t w = mux_breaker_find_probe (sched, query);
  MuxBreaker *breaker;

  if (w == MUX_NONE)
    return false;
  breaker = &sched->worker[w].breaker;
  breaker->state = MUX_BREAKER_HALF_OPEN;
  breaker->probe = sched->task[t].id;
  record_placement (sched, t, w, query->now_ms);
  return true;
}

static bool
place_task (MuxSched *sched, MuxClass *class, uint32_t t, int64_t now_ms)
{
  MuxWorkerQuery query = query_for (sched, class, t, now_ms);
  uint32_t w;

  if (probe_with (sched, &query, t))
    return true;
  w = mux_index_find (sched, &query);
  /* With a single usable worker there is no other to prefer. */
  if (w == MUX_NONE && sched->usable == 1)
    {
      query.avoid = MUX_NONE;
      w = mux_index_find (sched, &query);
    }
  if (w == MUX_NONE
      || (!ignores_reserve (sched, class, t, 1, now_ms)
          && !mux_reserve_allows (sched, class, w,
                                  mux_reservation_is_for (sched, t))))
    return false;
  record_placement (sched, t, w, now_ms);
  return true;
}

/* A task that must avoid the only worker that is free does not block those
 * behind it. */
static bool
place_alone (MuxSched *sched, MuxClass *class, uint32_t t, int64_t now_ms)
{
  uint32_t avoid = sched->task[t].avoid;
  const MuxHeap *queue = &class->queue[sched->task[t].queue_kind];

  if (place_task (sched, class, t, now_ms))
    return true;
  if (avoid == MUX_NONE || sched->index.shape[class->shape].fits.count == 0)
    return false;
  for (uint32_t i = 1; i < queue->count && i <= SKIP_AHEAD_MAX; i++)
    {
      uint32_t behind = queue->node[i].item;

      if (sched->task[behind].avoid != avoid
          && sched->task[behind].gang == MUX_NONE
          && place_task (sched, class, behind, now_ms))
        return true;
    }
  return false;
}

static bool
place_gang (MuxSched *sched, MuxClass *class, uint32_t t, int64_t now_ms)
{
  MuxGang *gang = &sched->gang[sched->task[t].gang];
  uint32_t n = gang->task_count;
  MuxWorkerQuery query = query_for (sched, class, t, now_ms);
  uint64_t loss;

  if (gang->tried_gen == sched->room_gen)
    return false;
  gang->tried_gen = sched->room_gen;
  query.avoid = MUX_NONE;
  if (!mux_index_fits_together (sched, &query, n, &loss)
      || (!ignores_reserve (sched, class, t, n, now_ms)
          && !mux_reserve_allows_loss (sched, loss,
                                       mux_reservation_is_for (sched, t))))
    return false;
  /* All fit together and have the same size, so no search fails. */
  while (n-- > 0)
    record_placement (sched, gang->members.head, mux_index_find (sched, &query),
                      now_ms);
  return true;
}

static bool
place (MuxSched *sched, MuxClass *class, uint32_t t, int64_t now_ms)
{
  if (sched->task[t].gang != MUX_NONE)
    return place_gang (sched, class, t, now_ms);
  return place_alone (sched, class, t, now_ms);
}

/* Tries to place the holder of the reservation, which goes first, once for each
 * change of free room. */
static bool
place_reserved (MuxSched *sched, int64_t now_ms)
{
  MuxReservation *res = &sched->reservation;
  uint32_t t = res->task;

  if (t == MUX_NONE || res->tried_gen == sched->room_gen)
    return false;
  res->tried_gen = sched->room_gen;
  if (!mux_reservation_is_for (sched, t) || sched->queue_pos[t] == MUX_NONE)
    {
      mux_reservation_cancel (sched);
      return false;
    }
  return place (sched, sched->class_at[sched->task[t].class_id], t, now_ms);
}

/* Number of tasks that are placed together with task @t, itself included. */
static uint32_t
placed_together (const MuxSched *sched, uint32_t t)
{
  uint32_t g = sched->task[t].gang;

  return g == MUX_NONE ? 1 : sched->gang[g].task_count;
}

/* Returns whether the head of the queue needs a search: its size fits
 * somewhere, or a probe may be due. */
static bool
needs_search (const MuxSched *sched,
              const MuxClass *class,
              MuxQueueKind kind,
              int64_t now_ms)
{
  return class->queue[kind].count > 0
         && class->blocked_decision[kind] != sched->decisions
         && (sched->index.shape[class->shape].fits.count > 0
             || now_ms >= sched->next_probe_ms);
}

/**
 * struct Candidate - head of a class's queue
 * @yields: within a tier it goes behind queues of the other kind
 * @start_by_ms: its start deadline
 *
 * Ordered by tier, then by @yields, then by @start_by_ms.
 */
typedef struct
{
  MuxClass *class;
  MuxQueueKind kind;
  Tier tier;
  bool yields;
  int64_t start_by_ms;
} Candidate;

static bool
goes_before (const Candidate *a, const Candidate *b)
{
  if (a->tier != b->tier)
    return a->tier < b->tier;
  if (a->yields != b->yields)
    return b->yields;
  return b->class != NULL && a->start_by_ms < b->start_by_ms;
}

static Candidate
first_candidate (const MuxSched *sched, int64_t now_ms)
{
  MuxQueueKind yielding
      = mux_late_share_due (sched) ? MUX_QUEUE_ON_TIME : MUX_QUEUE_LATE;
  Candidate best = { .tier = TIER_NONE };

  for (uint32_t i = 0; i < sched->classes * MUX_QUEUES; i++)
    {
      MuxClass *class = sched->class_at[i / MUX_QUEUES];
      MuxQueueKind kind = i % MUX_QUEUES;
      Candidate candidate
          = { .class = class, .kind = kind, .yields = kind == yielding };

      if (!needs_search (sched, class, kind, now_ms))
        continue;
      candidate.start_by_ms = class->queue[kind].node->key;
      candidate.tier = tier_of (
          sched, class, placed_together (sched, class->queue[kind].node->item));
      if (goes_before (&candidate, &best))
        best = candidate;
    }
  return best;
}

static bool
place_first (MuxSched *sched, int64_t now_ms)
{
  Candidate candidate;

  sched->decisions++;
  while ((candidate = first_candidate (sched, now_ms)).class != NULL)
    {
      if (place (sched, candidate.class,
                 candidate.class->queue[candidate.kind].node->item, now_ms))
        return true;
      candidate.class->blocked_decision[candidate.kind] = sched->decisions;
    }
  return false;
}

static void
learn_sizes (MuxSched *sched)
{
  for (uint32_t i = 0; i < sched->classes; i++)
    {
      MuxClass *class = sched->class_at[i];
      MuxSize size;

      if (!class->configured || class->reports < REPORTS_PER_RESIZE)
        continue;
      class->reports = 0;
      size = mux_learn_size (sched, class);
      /* When out of memory, mux_class_resize() keeps the old size. */
      if (memcmp (&size, &class->size, sizeof size) != 0
          && mux_class_resize (sched, class, size))
        sched->room_gen++;
    }
}

/*
 * Drops tasks and gangs that no longer fit even into empty workers: since they
 * were submitted, the booking size of the class has grown, or workers that
 * could hold them have left.  They would block the head of their queue for
 * ever.
 */
static void
drop_never_fitting (MuxSched *sched, MuxClass *class)
{
  for (uint32_t kind = 0; kind < MUX_QUEUES; kind++)
    while (class->queue[kind].count > 0
           && mux_class_fit_count (sched, class)
                  < placed_together (sched, class->queue[kind].node->item))
      mux_queue_drop (sched, class->queue[kind].node->item,
                      MUX_REASON_NEVER_FITS);
}

void
mux_sched_tick (MuxSched *sched, int64_t now_ms)
{
  double dt = sched->next_tick_ms == INT64_MIN
                  ? TICK_MS
                  : (double) (now_ms - sched->next_tick_ms + TICK_MS);

  for (uint32_t i = 0; i < sched->classes; i++)
    {
      mux_rate_update (&sched->class_at[i]->arrivals, dt);
      mux_rate_update (&sched->class_at[i]->starts, dt);
      mux_rate_update (&sched->class_at[i]->on_time, dt);
    }
  for (uint32_t i = 0; i < sched->classes; i++)
    mux_late_move (sched, sched->class_at[i], now_ms);
  mux_rate_update (&sched->ends, dt);
  learn_sizes (sched);
  for (uint32_t i = 0; i < sched->classes && sched->present > 0; i++)
    if (sched->class_at[i]->configured)
      drop_never_fitting (sched, sched->class_at[i]);
  mux_breaker_tick (sched, now_ms);
  mux_reserve_update (sched);
  mux_reservation_tick (sched, now_ms);
  sched->next_tick_ms = now_ms + TICK_MS;
  /* The reserve may have shrunk, which frees room for others. */
  sched->room_gen++;
}

bool
mux_sched_next (MuxSched *sched, int64_t now_ms, MuxPlacement *out)
{
  if (emit_placed (sched, out))
    return true;
  if (now_ms >= sched->next_tick_ms)
    mux_sched_tick (sched, now_ms);
  drop_expired (sched, now_ms);
  if (emit_drop (sched, now_ms, out))
    return true;
  return (place_reserved (sched, now_ms) || place_first (sched, now_ms))
         && emit_placed (sched, out);
}

int64_t
mux_sched_wake_ms (const MuxSched *sched)
{
  int64_t wake = INT64_MAX;

  if (sched->placed.count > 0 || sched->dropped.count > 0
      || (sched->waiting > 0 && sched->next_tick_ms == INT64_MIN))
    return 0;
  if (sched->expire.count > 0)
    wake = sched->expire.node[0].key;
  if (sched->waiting > 0 && sched->next_tick_ms < wake)
    wake = sched->next_tick_ms;
  return wake;
}
