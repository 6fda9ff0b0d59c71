#include "internal.h"

#include <math.h>

/*
 * Under sustained overload the queue of deferrable work grows.  With earliest
 * deadline first alone, every task would then start a little late, and no
 * target would be met although most could be.  Tasks past their start deadline
 * therefore go behind those that can still meet theirs, but get
 * MUX_LATE_SHARE of the starts.
 */

/* Bound of MuxSched.late_credit, in starts, either way: what late tasks that
 * fit nowhere save up, and what they owe after only they could start. */
#define CREDIT_MAX 32.0
/* Tasks moved per tick: a large job that becomes late at once must not delay
 * decisions. */
#define MOVES_MAX 1000u

static bool
late_waiting (const MuxSched *sched)
{
  for (uint32_t i = 0; i < sched->classes; i++)
    if (sched->class_at[i]->queue[MUX_QUEUE_LATE].count > 0)
      return true;
  return false;
}

bool
mux_late_applies (const MuxSched *sched, const MuxClass *class)
{
  return !class->urgent && !sched->tuning.no_late_queue
         && !sched->tuning.no_tiers;
}

void
mux_late_move (MuxSched *sched, MuxClass *class, int64_t now_ms)
{
  MuxHeap *timely = &class->queue[MUX_QUEUE_ON_TIME];
  MuxHeap *late = &class->queue[MUX_QUEUE_LATE];

  if (!mux_late_applies (sched, class))
    return;
  for (uint32_t i = 0;
       i < MOVES_MAX && timely->count > 0 && timely->node->key < now_ms; i++)
    {
      MuxHeapNode node = *timely->node;

      /* Out of memory: the task stays in the on-time queue. */
      if (!mux_heap_reserve (late, late->count + 1))
        return;
      mux_heap_remove (timely, sched->queue_pos, 0);
      sched->task[node.item].queue_kind = MUX_QUEUE_LATE;
      mux_heap_push (late, sched->queue_pos, node);
    }
}

bool
mux_late_share_due (const MuxSched *sched)
{
  return sched->late_credit >= 1;
}

void
mux_late_count_start (MuxSched *sched, const MuxClass *class, MuxQueueKind kind)
{
  if (class->urgent)
    return;
  if (kind == MUX_QUEUE_LATE)
    sched->late_credit
        = fmax (-CREDIT_MAX, sched->late_credit - 1 + MUX_LATE_SHARE);
  else if (late_waiting (sched))
    sched->late_credit = fmin (CREDIT_MAX, sched->late_credit + MUX_LATE_SHARE);
  else
    sched->late_credit = 0;
}
