#include "internal.h"

/* Load shedding begins when the forecast wait has exceeded the target for this
 * long: the queue does not drain by itself. */
#define SHED_AFTER_MS 1000
/* Load shedding ends when nothing was refused for this long. */
#define SHED_END_AFTER_MS 1000

/* Half of the queue is divided evenly among the configured classes, the other
 * half is shared, so that a class that floods the queue leaves room for the
 * others. */
static bool
queue_has_space (const MuxSched *sched, const MuxClass *class, uint32_t more)
{
  uint32_t max = sched->options.queue_max;
  uint32_t configured = 0;
  uint32_t own;
  uint64_t common = 0;

  for (uint32_t i = 0; i < sched->classes; i++)
    configured += sched->class_at[i]->configured;
  own = max / 2 / (configured > 0 ? configured : 1);
  if (class->waiting + more <= own)
    return true;
  for (uint32_t i = 0; i < sched->classes; i++)
    {
      const MuxClass *other = sched->class_at[i];
      uint32_t waits = other->waiting + (other == class ? more : 0);

      common += waits > own ? waits - own : 0;
    }
  return common + (uint64_t) own * configured <= max;
}

static uint32_t
members_missing (const MuxSched *sched,
                 const MuxTaskRequest *request,
                 uint32_t count)
{
  uint32_t g = mux_idmap_get (&sched->gang_ids, request->group);

  if (g == MUX_NONE)
    return count;
  return count > sched->gang[g].members.count
             ? count - sched->gang[g].members.count
             : 1;
}

/*
 * Load shedding of urgent classes.  If more urgent work arrived than the cell
 * can run and all of it were queued until it expires, every task would wait
 * that long and none would start within its target.  When the forecast wait
 * has exceeded the target for SHED_AFTER_MS, tasks are refused at once while it
 * exceeds half of the target.  A shorter excess after a burst is left to drain.
 */
static bool
must_shed (MuxSched *sched, MuxClass *class, int64_t now_ms)
{
  int64_t wait = mux_forecast_wait_ms (sched, class, now_ms);
  int64_t within = class->spec.start_within_ms;

  if (!class->urgent || class->spec.kind == MUX_KIND_LONG_RUNNING)
    return false;
  if (wait <= (class->shedding ? within / 2 : within))
    {
      if (!class->shedding || now_ms - class->last_shed_ms > SHED_END_AFTER_MS)
        {
          class->shedding = false;
          class->last_on_target_ms = now_ms;
        }
      return false;
    }
  class->shedding
      = class->shedding || now_ms - class->last_on_target_ms > SHED_AFTER_MS;
  if (class->shedding)
    class->last_shed_ms = now_ms;
  return class->shedding;
}

static MuxReason
overload_reason (const MuxSched *sched, const MuxClass *class)
{
  if (!mux_product_within_quota (sched, class, 1))
    return MUX_REASON_QUOTA;
  return class->urgent ? MUX_REASON_DEADLINE : MUX_REASON_OVERLOAD;
}

static MuxReason
refusal_reason (MuxSched *sched, const MuxTaskRequest *request, int64_t now_ms)
{
  MuxClass *class = mux_class_find (sched, request->class_name);
  bool gang = !mux_id_is_none (request->group);
  uint32_t count = gang && request->group_count > 0 ? request->group_count : 1;

  if (class == NULL || !class->configured)
    return MUX_REASON_UNKNOWN_CLASS;
  if (mux_idmap_get (&sched->task_ids, request->task) != MUX_NONE)
    return MUX_REASON_KEY_IN_USE;
  if (sched->present == 0)
    return MUX_REASON_NO_WORKERS;
  if (mux_class_fit_count (sched, class) < count)
    return MUX_REASON_NEVER_FITS;
  if (sched->usable == 0)
    return MUX_REASON_NO_WORKERS;
  if (request->expires_ms <= now_ms)
    return MUX_REASON_DEADLINE;
  if (!queue_has_space (sched, class,
                        gang ? members_missing (sched, request, count) : 1))
    return mux_product_within_quota (sched, class, 1) ? MUX_REASON_QUEUE_FULL
                                                      : MUX_REASON_QUOTA;
  if (!sched->tuning.no_forecast
      && (request->expires_ms - now_ms
              < mux_forecast_wait_ms (sched, class, now_ms)
          || must_shed (sched, class, now_ms)))
    return overload_reason (sched, class);
  return MUX_REASON_NONE;
}

static bool
join_gang (MuxSched *sched, uint32_t t, const MuxTaskRequest *request)
{
  MuxTask *task = &sched->task[t];
  uint32_t task_count = request->group_count > 0 ? request->group_count : 1;
  uint32_t g = mux_idmap_get (&sched->gang_ids, request->group);

  if (g == MUX_NONE)
    g = mux_gang_new (sched, request->group, task_count, task->class_id);
  if (g == MUX_NONE)
    return false;

  MuxGang *gang = &sched->gang[g];

  if (gang->class_id != task->class_id || gang->task_count != task_count
      || gang->members.count >= gang->task_count)
    return false;
  task->gang = g;
  task->state = MUX_TASK_GATHERING;
  mux_list_add (sched, &gang->members, MUX_LINK_MEMBER, t);
  return true;
}

/* Once all members have been submitted, queues the gang by its first member. */
static bool
complete_gang (MuxSched *sched, uint32_t g)
{
  MuxGang *gang = &sched->gang[g];

  if (gang->members.count < gang->task_count)
    return true;
  for (uint32_t m = gang->members.head; m != MUX_NONE;
       m = sched->task[m].link[MUX_LINK_MEMBER].next)
    sched->task[m].state = MUX_TASK_WAITING;
  gang->queued = true;
  gang->tried_gen = 0;
  return mux_queue_add (sched, gang->members.head);
}

static bool
enqueue (MuxSched *sched, const MuxTaskRequest *request, int64_t now_ms)
{
  uint32_t t = mux_task_new (sched, request->task);

  if (t == MUX_NONE)
    return false;

  MuxTask *task = &sched->task[t];
  MuxClass *class = mux_class_find (sched, request->class_name);

  task->class_id = class->id;
  task->state = MUX_TASK_WAITING;
  task->start_by_ms = request->start_by_ms;
  task->expires_ms = request->expires_ms;
  task->submitted_ms = now_ms;
  task->avoid = request->avoid;
  if (!mux_id_is_none (request->group) && !join_gang (sched, t, request))
    {
      mux_task_free (sched, t);
      return false;
    }
  mux_list_add (sched, &sched->waiting_by_age, MUX_LINK_AGE, t);
  class->waiting++;
  sched->waiting++;

  MuxHeapNode node = { task->expires_ms, task->seq, t };
  bool queued = task->gang == MUX_NONE ? mux_queue_add (sched, t)
                                       : complete_gang (sched, task->gang);

  if (queued && mux_heap_push (&sched->expire, sched->expire_pos, node))
    return true;
  mux_queue_remove (sched, t);
  mux_task_free (sched, t);
  return false;
}

/* Refusals that count as starts outside the target.  Otherwise a class whose
 * tasks are all refused, with none waiting and none started late, would appear
 * to meet its target. */
static bool
refused_for_load (MuxReason reason)
{
  return reason == MUX_REASON_DEADLINE || reason == MUX_REASON_OVERLOAD
         || reason == MUX_REASON_QUOTA || reason == MUX_REASON_QUEUE_FULL;
}

MuxAdmitResult
mux_sched_submit (MuxSched *sched,
                  const MuxTaskRequest *request,
                  int64_t now_ms)
{
  MuxReason reason = refusal_reason (sched, request, now_ms);
  MuxClass *class = mux_class_find (sched, request->class_name);

  if (reason == MUX_REASON_NONE && !enqueue (sched, request, now_ms))
    reason = MUX_REASON_INTERNAL;
  /* Refused tasks are demand too, for the reserve and the forecasts. */
  if (class != NULL && reason != MUX_REASON_KEY_IN_USE)
    class->arrivals.count++;
  if (class != NULL && refused_for_load (reason))
    class->starts.count++;
  if (reason == MUX_REASON_NONE || reason == MUX_REASON_UNKNOWN_CLASS
      || reason == MUX_REASON_NEVER_FITS)
    return (MuxAdmitResult){ .reason = reason };
  return (MuxAdmitResult){ .reason = reason,
                           .retry_ms
                           = mux_forecast_retry_ms (sched, class, now_ms) };
}
