#include "internal.h"

#include <stdlib.h>

static bool
grow_tasks (MuxSched *sched)
{
  uint32_t allocated = sched->tasks_allocated * 2;
  MuxTask *task = realloc (sched->task, allocated * sizeof *task);

  if (task == NULL)
    return false;
  sched->task = task;

  uint32_t *pos = realloc (sched->queue_pos, allocated * sizeof *pos);

  if (pos == NULL)
    return false;
  sched->queue_pos = pos;
  pos = realloc (sched->expire_pos, allocated * sizeof *pos);
  if (pos == NULL)
    return false;
  sched->expire_pos = pos;
  sched->tasks_allocated = allocated;
  return true;
}

uint32_t
mux_task_new (MuxSched *sched, MuxId id)
{
  uint32_t t = sched->task_free;

  if (t == MUX_NONE && sched->tasks == sched->tasks_allocated
      && !grow_tasks (sched))
    return MUX_NONE;
  if (t == MUX_NONE)
    t = sched->tasks;
  if (!mux_idmap_put (&sched->task_ids, id, t))
    return MUX_NONE;
  if (t == sched->tasks)
    sched->tasks++;
  else
    sched->task_free = sched->task[t].link[MUX_LINK_AGE].next;
  sched->task[t] = (MuxTask){ .id = id,
                              .gang = MUX_NONE,
                              .worker = MUX_NONE,
                              .avoid = MUX_NONE,
                              .seq = sched->seq++ };
  sched->queue_pos[t] = MUX_NONE;
  sched->expire_pos[t] = MUX_NONE;
  return t;
}

void
mux_task_free (MuxSched *sched, uint32_t t)
{
  MuxTask *task = &sched->task[t];

  mux_idmap_remove (&sched->task_ids, task->id);
  task->state = MUX_TASK_FREE;
  task->link[MUX_LINK_AGE].next = sched->task_free;
  sched->task_free = t;
}

void
mux_list_init (MuxList *list)
{
  *list = (MuxList){ MUX_NONE, MUX_NONE, 0 };
}

void
mux_list_add (MuxSched *sched, MuxList *list, MuxLinkKind kind, uint32_t t)
{
  sched->task[t].link[kind] = (MuxLink){ list->tail, MUX_NONE };
  if (list->tail == MUX_NONE)
    list->head = t;
  else
    sched->task[list->tail].link[kind].next = t;
  list->tail = t;
  list->count++;
}

void
mux_list_remove (MuxSched *sched, MuxList *list, MuxLinkKind kind, uint32_t t)
{
  MuxLink link = sched->task[t].link[kind];

  if (link.prev == MUX_NONE)
    list->head = link.next;
  else
    sched->task[link.prev].link[kind].next = link.next;
  if (link.next == MUX_NONE)
    list->tail = link.prev;
  else
    sched->task[link.next].link[kind].prev = link.prev;
  list->count--;
}

static bool
grow_gangs (MuxSched *sched)
{
  uint32_t allocated
      = sched->gangs_allocated < 16 ? 16 : sched->gangs_allocated * 2;
  MuxGang *gang = realloc (sched->gang, allocated * sizeof *gang);

  if (gang == NULL)
    return false;
  sched->gang = gang;
  sched->gangs_allocated = allocated;
  return true;
}

uint32_t
mux_gang_new (MuxSched *sched,
              MuxId group,
              uint32_t task_count,
              uint32_t class_id)
{
  uint32_t g = sched->gang_free;

  if (g == MUX_NONE && sched->gangs == sched->gangs_allocated
      && !grow_gangs (sched))
    return MUX_NONE;
  if (g == MUX_NONE)
    g = sched->gangs;
  if (!mux_idmap_put (&sched->gang_ids, group, g))
    return MUX_NONE;
  if (g == sched->gangs)
    sched->gangs++;
  else
    sched->gang_free = sched->gang[g].task_count;
  sched->gang[g] = (MuxGang){ .group = group,
                              .task_count = task_count,
                              .class_id = class_id,
                              .in_use = true };
  mux_list_init (&sched->gang[g].members);
  return g;
}

void
mux_gang_free (MuxSched *sched, uint32_t g)
{
  mux_idmap_remove (&sched->gang_ids, sched->gang[g].group);
  sched->gang[g].in_use = false;
  sched->gang[g].task_count = sched->gang_free;
  sched->gang_free = g;
}
