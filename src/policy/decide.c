#include "internal.h"

static bool
emit_drop (MuxSched *sched, MuxPlacement *out)
{
  uint32_t t = sched->drops.head;

  if (t == MUX_NONE)
    return false;
  *out = (MuxPlacement){ .task = sched->task[t].id,
                         .worker = MUX_NO_WORKER,
                         .reason = (MuxReason) sched->task[t].reason };
  mux_list_drop (sched, &sched->drops, MUX_LINK_MEMBER, t);
  mux_task_free (sched, t);
  return true;
}

static bool
emit_placed (MuxSched *sched, MuxPlacement *out)
{
  uint32_t t = sched->emission.head;

  if (t == MUX_NONE)
    return false;

  MuxTask *task = &sched->task[t];

  *out = (MuxPlacement){ .task = task->id,
                         .worker = task->worker,
                         .size = task->size,
                         .reason = MUX_REASON_NONE };
  mux_list_drop (sched, &sched->emission, MUX_LINK_MEMBER, t);
  task->emitting = false;
  return true;
}

static void
drop_expired (MuxSched *sched, int64_t now_ms)
{
  while (sched->expire.count > 0 && sched->expire.node[0].key <= now_ms)
    mux_queue_drop (sched, sched->expire.node[0].item, MUX_REASON_DEADLINE);
}

static void
emit_later (MuxSched *sched, uint32_t t, uint32_t w, int64_t now_ms)
{
  MuxTask *task = &sched->task[t];

  mux_queue_leave (sched, t);
  mux_book (sched, t, w, sched->class_at[task->class_id]->size);
  task->booked_ms = now_ms;
  task->emitting = true;
  mux_list_add (sched, &sched->emission, MUX_LINK_MEMBER, t);
}

static bool
place_one (MuxSched *sched, MuxClass *class, uint32_t t, int64_t now_ms)
{
  uint32_t avoid = sched->task[t].avoid;
  uint32_t w;

  if (!mux_product_allows (sched, class, 1))
    return false;
  w = mux_index_find (sched, class->shape, avoid);
  /* With one worker in all there is nowhere else to go. */
  if (w == MUX_NONE && sched->usable == 1)
    w = mux_index_find (sched, class->shape, MUX_NONE);
  if (w == MUX_NONE)
    return false;
  emit_later (sched, t, w, now_ms);
  return true;
}

static bool
place_gang (MuxSched *sched, MuxClass *class, uint32_t g, int64_t now_ms)
{
  MuxGang *gang = &sched->gang[g];

  if (gang->tried == sched->room_gen)
    return false;
  gang->tried = sched->room_gen;
  if (!mux_product_allows (sched, class, gang->wanted)
      || !mux_index_holds (sched, class->shape, gang->wanted, MUX_NONE))
    return false;
  for (uint32_t n = gang->wanted; n > 0; n--)
    {
      uint32_t w = mux_index_find (sched, class->shape, MUX_NONE);

      emit_later (sched, sched->gang[g].members.head, w, now_ms);
    }
  return true;
}

static bool
place (MuxSched *sched, MuxClass *class, uint32_t t, int64_t now_ms)
{
  if (sched->task[t].gang != MUX_NONE)
    return place_gang (sched, class, sched->task[t].gang, now_ms);
  return place_one (sched, class, t, now_ms);
}

/* The earliest deadline that can start now. */
static bool
place_earliest (MuxSched *sched, int64_t now_ms)
{
  int64_t after = INT64_MIN;
  uint32_t after_id = 0;

  for (;;)
    {
      MuxClass *best = NULL;

      for (uint32_t i = 0; i < sched->classes; i++)
        {
          MuxClass *class = sched->class_at[i];
          const MuxHeapNode *head = class->queue.node;

          if (class->queue.count == 0 || head->key < after
              || (head->key == after && i < after_id))
            continue;
          if (best == NULL || head->key < best->queue.node->key)
            best = class;
        }
      if (best == NULL)
        return false;
      after = best->queue.node->key;
      after_id = best->id + 1;
      if (place (sched, best, best->queue.node->item, now_ms))
        return true;
    }
}

bool
mux_sched_next (MuxSched *sched, int64_t now_ms, MuxPlacement *out)
{
  if (emit_placed (sched, out))
    return true;
  drop_expired (sched, now_ms);
  if (emit_drop (sched, out))
    return true;
  return place_earliest (sched, now_ms) && emit_placed (sched, out);
}

int64_t
mux_sched_wake_ms (const MuxSched *sched)
{
  if (sched->emission.count > 0 || sched->drops.count > 0)
    return 0;
  return sched->expire.count > 0 ? sched->expire.node[0].key : INT64_MAX;
}
