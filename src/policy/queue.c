#include "internal.h"

bool
mux_queue_add (MuxSched *sched, uint32_t t)
{
  MuxTask *task = &sched->task[t];
  MuxHeapNode node = { task->start_by_ms, task->seq, t };

  return mux_heap_push (
      &sched->class_at[task->class_id]->queue[task->queue_kind],
      sched->queue_pos, node);
}

const MuxHeapNode *
mux_queue_earliest (const MuxClass *class)
{
  const MuxHeapNode *late = mux_queue_head (class, MUX_QUEUE_LATE);

  return late != NULL ? late : mux_queue_head (class, MUX_QUEUE_ON_TIME);
}

static void
unqueue (MuxSched *sched, uint32_t t)
{
  const MuxTask *task = &sched->task[t];
  MuxClass *class = sched->class_at[task->class_id];

  if (sched->queue_pos[t] != MUX_NONE)
    mux_heap_remove (&class->queue[task->queue_kind], sched->queue_pos,
                     sched->queue_pos[t]);
}

static void
gather_again (MuxSched *sched, MuxGang *gang)
{
  unqueue (sched, gang->members.head);
  gang->queued = false;
  for (uint32_t m = gang->members.head; m != MUX_NONE;
       m = sched->task[m].link[MUX_LINK_MEMBER].next)
    sched->task[m].state = MUX_TASK_GATHERING;
}

/* Removes a member from its gang, which is then incomplete: it leaves the
 * class's queue and can't start. */
static void
leave_gang (MuxSched *sched, uint32_t t)
{
  uint32_t g = sched->task[t].gang;
  MuxGang *gang = &sched->gang[g];

  if (gang->queued)
    gather_again (sched, gang);
  mux_list_remove (sched, &gang->members, MUX_LINK_MEMBER, t);
  sched->task[t].gang = MUX_NONE;
  if (gang->members.count == 0)
    mux_gang_free (sched, g);
}

void
mux_queue_remove (MuxSched *sched, uint32_t t)
{
  MuxTask *task = &sched->task[t];

  if (task->gang != MUX_NONE)
    leave_gang (sched, t);
  unqueue (sched, t);
  if (sched->expire_pos[t] != MUX_NONE)
    mux_heap_remove (&sched->expire, sched->expire_pos, sched->expire_pos[t]);
  mux_list_remove (sched, &sched->waiting_by_age, MUX_LINK_AGE, t);
  sched->class_at[task->class_id]->waiting--;
  sched->waiting--;
}

static void
drop_one (MuxSched *sched, uint32_t t, MuxReason reason)
{
  mux_queue_remove (sched, t);
  sched->task[t].state = MUX_TASK_DROPPING;
  sched->task[t].reason = (uint8_t) reason;
  mux_list_add (sched, &sched->dropped, MUX_LINK_MEMBER, t);
}

void
mux_queue_drop (MuxSched *sched, uint32_t t, MuxReason reason)
{
  uint32_t g = sched->task[t].gang;

  if (g == MUX_NONE)
    {
      drop_one (sched, t, reason);
      return;
    }
  /* A gang with a member missing can never start. */
  while (sched->gang[g].in_use && sched->gang[g].members.head != MUX_NONE)
    drop_one (sched, sched->gang[g].members.head, reason);
}

bool
mux_sched_cancel (MuxSched *sched, MuxId id)
{
  uint32_t t = mux_idmap_get (&sched->task_ids, id);

  if (t == MUX_NONE || sched->task[t].state == MUX_TASK_BOOKED)
    return false;
  if (sched->task[t].state == MUX_TASK_DROPPING)
    mux_list_remove (sched, &sched->dropped, MUX_LINK_MEMBER, t);
  else
    mux_queue_remove (sched, t);
  mux_task_free (sched, t);
  return true;
}
