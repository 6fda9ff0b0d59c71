#include "bench/support/load.h"

#include <stdlib.h>
#include <string.h>

/* The baselines: one queue per class in order of arrival, all workers looked
 * at for each task, booked with the declared size, nothing learned. */

typedef struct
{
  uint32_t *task;
  uint32_t head;
  uint32_t count;
  uint32_t room;
  double served;
  uint64_t held[3];
} Queue;

typedef struct
{
  LoadPolicy base;
  LoadOrder order;
  LoadPick pick;
  uint64_t random;
  MuxSize *free;
  Queue queue[LOAD_CLASSES];
  uint32_t *out;
  uint32_t out_count;
  uint32_t out_told;
} Naive;

static uint32_t
draw (Naive *p, uint32_t below)
{
  p->random ^= p->random << 13;
  p->random ^= p->random >> 7;
  p->random ^= p->random << 17;
  return (uint32_t) ((p->random >> 11) % below);
}

static const LoadTask *
task_at (const Naive *p, uint32_t t)
{
  return &(*p->base.tasks)[t];
}

static MuxSize
size_of (const Naive *p, uint32_t c)
{
  return p->base.mix->class[c].spec.size;
}

static bool
submit (LoadPolicy *policy, uint32_t t, int64_t now_ms)
{
  Naive *p = (Naive *) policy;
  Queue *q = &p->queue[task_at (p, t)->class_id];

  (void) now_ms;
  if (q->head + q->count == q->room)
    {
      memmove (q->task, q->task + q->head, q->count * sizeof *q->task);
      q->head = 0;
      q->room = q->room / 2 <= q->count ? (q->room + 64) * 2 : q->room;
      q->task = realloc (q->task, q->room * sizeof *q->task);
    }
  q->task[q->head + q->count++] = t;
  return true;
}

static uint32_t
room_left (MuxSize size)
{
  return size.cpu_milli / 1000 + size.mem_mib / 4096 + size.slots * 4;
}

static uint32_t
pick_worker (Naive *p, MuxSize need, uint32_t avoid)
{
  uint32_t n = p->base.mix->workers;
  uint32_t best = MUX_NO_WORKER;

  if (p->pick == LOAD_PICK_TWO)
    for (uint32_t i = 0; i < 2; i++)
      {
        uint32_t w = draw (p, n);

        if (w != avoid && mux_size_fits (need, p->free[w])
            && (best == MUX_NO_WORKER
                || room_left (p->free[w]) > room_left (p->free[best])))
          best = w;
      }
  if (best != MUX_NO_WORKER)
    return best;
  for (uint32_t w = 0; w < n; w++)
    {
      if (w == avoid || !mux_size_fits (need, p->free[w]))
        continue;
      if (p->pick != LOAD_PICK_BEST)
        return w;
      if (best == MUX_NO_WORKER
          || room_left (p->free[w]) < room_left (p->free[best]))
        best = w;
    }
  return best;
}

static uint32_t
head_count (const Naive *p, uint32_t c)
{
  const LoadTask *task = task_at (p, p->queue[c].task[p->queue[c].head]);

  return task->group > 0 ? task->group_count : 1;
}

/* Book @n heads of class @c, all or none. */
static bool
place_heads (Naive *p, uint32_t c, uint32_t n)
{
  Queue *q = &p->queue[c];
  MuxSize need = size_of (p, c);

  if (q->count < n)
    return false;
  for (uint32_t i = 0; i < n; i++)
    {
      uint32_t t = q->task[q->head + i];
      uint32_t w = pick_worker (p, need, task_at (p, t)->avoid);

      if (w == MUX_NO_WORKER)
        {
          while (i-- > 0)
            p->free[p->out[2 * i + 1]]
                = mux_size_add (p->free[p->out[2 * i + 1]], need);
          return false;
        }
      p->free[w] = mux_size_sub (p->free[w], need);
      p->out[2 * i] = t;
      p->out[2 * i + 1] = w;
    }
  p->out_count = n;
  p->out_told = 0;
  q->head += n;
  q->count -= n;
  q->served += (double) n * need.cpu_milli * p->base.mix->class[c].spec.run_ms;
  q->held[0] += (uint64_t) n * need.cpu_milli;
  q->held[1] += (uint64_t) n * need.mem_mib;
  q->held[2] += (uint64_t) n * need.slots;
  return true;
}

static double
key_of (const Naive *p, uint32_t c, int64_t now_ms)
{
  const Queue *q = &p->queue[c];
  const LoadTask *task = task_at (p, q->task[q->head]);
  const MuxSize *cap = &p->base.mix->capacity;
  uint32_t within = p->base.mix->class[c].spec.start_within_ms;
  double share;

  switch (p->order)
    {
    case LOAD_ORDER_STRICT:
      return within;
    case LOAD_ORDER_EDF:
      return (double) task->start_by_ms;
    case LOAD_ORDER_SLACK:
      return (double) (task->start_by_ms - now_ms) / within;
    case LOAD_ORDER_FAIR:
      return q->served;
    case LOAD_ORDER_DRF:
      share = (double) q->held[0] / cap->cpu_milli;
      if ((double) q->held[1] / cap->mem_mib > share)
        share = (double) q->held[1] / cap->mem_mib;
      return (double) q->held[2] / cap->slots > share
                 ? (double) q->held[2] / cap->slots
                 : share;
    default:
      return (double) task->asked_ms;
    }
}

static bool
expired (Naive *p, int64_t now_ms, uint32_t *out)
{
  for (uint32_t c = 0; c < p->base.mix->classes; c++)
    {
      Queue *q = &p->queue[c];

      if (q->count == 0 || task_at (p, q->task[q->head])->give_up_ms > now_ms)
        continue;
      *out = q->task[q->head++];
      q->count--;
      return true;
    }
  return false;
}

/* A class that was idle starts level with the least served that waits. */
static void
level_served (Naive *p)
{
  double least = -1;

  for (uint32_t c = 0; c < p->base.mix->classes; c++)
    if (p->queue[c].count > 0 && (least < 0 || p->queue[c].served < least))
      least = p->queue[c].served;
  for (uint32_t c = 0; c < p->base.mix->classes; c++)
    if (p->queue[c].count == 0 && p->queue[c].served < least)
      p->queue[c].served = least;
}

static bool
next (LoadPolicy *policy, int64_t now_ms, uint32_t *task, uint32_t *worker)
{
  Naive *p = (Naive *) policy;
  bool tried[LOAD_CLASSES] = { false };

  *worker = MUX_NO_WORKER;
  if (p->out_told == p->out_count && expired (p, now_ms, task))
    return true;
  level_served (p);
  while (p->out_told == p->out_count)
    {
      uint32_t best = LOAD_CLASSES;

      for (uint32_t c = 0; c < policy->mix->classes; c++)
        if (p->queue[c].count > 0 && !tried[c]
            && (best == LOAD_CLASSES
                || key_of (p, c, now_ms) < key_of (p, best, now_ms)))
          best = c;
      if (best == LOAD_CLASSES)
        return false;
      tried[best] = true;
      place_heads (p, best, head_count (p, best));
    }
  *task = p->out[2 * p->out_told];
  *worker = p->out[2 * p->out_told + 1];
  p->out_told++;
  return true;
}

static void
ended (LoadPolicy *policy, uint32_t t, bool ok, int64_t now_ms)
{
  Naive *p = (Naive *) policy;
  const LoadTask *task = task_at (p, t);
  Queue *q = &p->queue[task->class_id];
  MuxSize size = size_of (p, task->class_id);

  (void) ok;
  (void) now_ms;
  p->free[task->worker] = mux_size_add (p->free[task->worker], size);
  q->held[0] -= size.cpu_milli;
  q->held[1] -= size.mem_mib;
  q->held[2] -= size.slots;
}

static uint32_t
at_risk (LoadPolicy *policy, int64_t now_ms, bool *flags)
{
  (void) policy;
  (void) now_ms;
  (void) flags;
  return 0;
}

static void
free_naive (LoadPolicy *policy)
{
  Naive *p = (Naive *) policy;

  for (uint32_t c = 0; c < LOAD_CLASSES; c++)
    free (p->queue[c].task);
  free (p->free);
  free (p->out);
  free (p);
}

LoadPolicy *
load_policy_naive (const LoadMix *mix, LoadOrder order, LoadPick pick)
{
  Naive *p = calloc (1, sizeof *p);

  p->base.ops
      = (LoadPolicyOps){ submit, next, ended, NULL, at_risk, free_naive };
  p->base.mix = mix;
  p->order = order;
  p->pick = pick;
  p->random = 99;
  p->free = calloc (mix->workers, sizeof *p->free);
  p->out = calloc (4096, sizeof *p->out);
  for (uint32_t w = 0; w < mix->workers; w++)
    p->free[w] = mix->capacity;
  return &p->base;
}
