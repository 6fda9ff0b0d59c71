#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* Usable workers count in MuxSched.total and .free.  Each change of a worker is
 * made between subtract_totals() and add_totals(). */
static void
subtract_totals (MuxSched *sched, const MuxWorker *worker)
{
  if (!worker->usable)
    return;
  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      uint64_t n = mux_size_dim (worker->free, d);

      sched->total[d] -= mux_size_dim (worker->capacity, d);
      sched->free[d] -= n;
    }
}

static uint32_t
remaining (uint32_t capacity, uint64_t booked)
{
  return booked < capacity ? (uint32_t) (capacity - booked) : 0;
}

static void
add_totals (MuxSched *sched, MuxWorker *worker)
{
  const MuxSize *cap = &worker->capacity;

  worker->free = (MuxSize){
    .cpu_milli = remaining (cap->cpu_milli, worker->booked[MUX_DIM_CPU]),
    .mem_mib = remaining (cap->mem_mib, worker->booked[MUX_DIM_MEM]),
    .accels = remaining (cap->accels, worker->booked[MUX_DIM_ACCELS]),
    .slots = remaining (cap->slots, worker->booked[MUX_DIM_SLOTS]),
  };
  if (!worker->usable)
    return;
  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      uint64_t n = mux_size_dim (worker->free, d);

      sched->total[d] += mux_size_dim (worker->capacity, d);
      sched->free[d] += n;
    }
}

static void
change_booked (MuxSched *sched, const MuxTask *task, int sign)
{
  MuxWorker *worker = &sched->worker[task->worker];
  MuxClass *class = sched->class_at[task->class_id];

  subtract_totals (sched, worker);
  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      uint64_t n = mux_size_dim (task->size, d);

      if (!class->urgent)
        sched->deferrable_booked[d] = sign > 0
                                          ? sched->deferrable_booked[d] + n
                                          : sched->deferrable_booked[d] - n;
      worker->booked[d]
          = sign > 0 ? worker->booked[d] + n : worker->booked[d] - n;
      if (class->product != NULL)
        class->product->booked[d] = sign > 0 ? class->product->booked[d] + n
                                             : class->product->booked[d] - n;
    }
  if (class->urgent)
    sched->urgent_running += sign > 0 ? 1u : -1u;
  class->rack_count[worker->rack->id]
      = class->rack_count[worker->rack->id] + (sign > 0 ? 1u : -1u);
  add_totals (sched, worker);
  mux_index_update (sched, task->worker);
}

void
mux_book (MuxSched *sched, uint32_t t, uint32_t w, MuxSize size)
{
  MuxTask *task = &sched->task[t];

  task->state = MUX_TASK_BOOKED;
  task->worker = w;
  task->size = size;
  mux_list_add (sched, &sched->worker[w].tasks, MUX_LINK_WORKER, t);
  sched->class_at[task->class_id]->booked++;
  sched->booked++;
  change_booked (sched, task, 1);
}

void
mux_unbook (MuxSched *sched, uint32_t t)
{
  MuxTask *task = &sched->task[t];

  mux_breaker_cancel_probe (sched, task);
  change_booked (sched, task, -1);
  mux_list_remove (sched, &sched->worker[task->worker].tasks, MUX_LINK_WORKER,
                   t);
  sched->class_at[task->class_id]->booked--;
  sched->booked--;
  sched->room_gen++;
  task->worker = MUX_NONE;
  if (task->unreported)
    mux_list_remove (sched, &sched->placed, MUX_LINK_MEMBER, t);
  task->unreported = false;
}

void
mux_rebook (MuxSched *sched, uint32_t t, MuxSize size)
{
  change_booked (sched, &sched->task[t], -1);
  sched->task[t].size = size;
  change_booked (sched, &sched->task[t], 1);
}

static bool
grow_racks (MuxSched *sched)
{
  uint32_t allocated = sched->racks_allocated * 2;

  for (uint32_t i = 0; i < sched->classes; i++)
    if (!mux_class_racks_grow (sched->class_at[i], sched->racks_allocated,
                               allocated))
      return false;
  sched->racks_allocated = allocated;
  return true;
}

/* Rack ids are never reused: they index the classes' rack_count. */
static MuxRack *
rack_get (MuxSched *sched, const char *name)
{
  MuxRack *rack = NULL;

  HASH_FIND_STR (sched->racks_by_name, name, rack);
  if (rack != NULL)
    return rack;
  if (sched->rack_ids == sched->racks_allocated && !grow_racks (sched))
    return NULL;
  rack = calloc (1, sizeof *rack);
  if (rack == NULL)
    return NULL;
  mux_name_copy (rack->name, name);
  rack->id = sched->rack_ids++;
  HASH_ADD_STR (sched->racks_by_name, name, rack);
  return rack;
}

void
mux_racks_clear (MuxSched *sched)
{
  MuxRack *rack, *next;

  HASH_ITER (hh, sched->racks_by_name, rack, next)
  {
    HASH_DEL (sched->racks_by_name, rack);
    free (rack);
  }
}

static uint32_t
worker_slot (MuxSched *sched)
{
  for (uint32_t w = 0; sched->present < sched->workers && w < sched->workers;
       w++)
    if (!sched->worker[w].present)
      return w;
  if (sched->workers == sched->workers_allocated)
    {
      uint32_t allocated
          = sched->workers_allocated < 64 ? 64 : sched->workers_allocated * 2;
      MuxWorker *worker = realloc (sched->worker, allocated * sizeof *worker);

      if (worker == NULL)
        return MUX_NO_WORKER;
      sched->worker = worker;
      sched->workers_allocated = allocated;
      if (!mux_index_grow (sched, allocated))
        return MUX_NO_WORKER;
    }
  return sched->workers++;
}

uint32_t
mux_sched_worker_add (MuxSched *sched,
                      const char *name,
                      const char *rack,
                      MuxSize capacity)
{
  MuxRack *at = rack_get (sched, rack);
  uint32_t w = at != NULL ? worker_slot (sched) : MUX_NO_WORKER;

  if (w == MUX_NO_WORKER)
    return w;

  MuxWorker *worker = &sched->worker[w];

  *worker = (MuxWorker){
    .capacity = capacity, .present = true, .usable = true, .level = MUX_NONE
  };
  mux_name_copy (worker->name, name);
  worker->rack = at;
  sched->racks += at->workers++ == 0;
  mux_list_init (&worker->tasks);
  sched->present++;
  sched->usable++;
  sched->worker_gen++;
  sched->room_gen++;
  add_totals (sched, worker);
  mux_index_update (sched, w);
  mux_reserve_recompute (sched);
  return w;
}

static MuxWorker *
worker_at (const MuxSched *sched, uint32_t w)
{
  if (w >= sched->workers || !sched->worker[w].present)
    return NULL;
  return &sched->worker[w];
}

void
mux_sched_worker_resize (MuxSched *sched, uint32_t w, MuxSize capacity)
{
  MuxWorker *worker = worker_at (sched, w);

  if (worker == NULL)
    return;
  subtract_totals (sched, worker);
  worker->capacity = capacity;
  add_totals (sched, worker);
  sched->worker_gen++;
  sched->room_gen++;
  mux_index_update (sched, w);
}

void
mux_sched_worker_set_usable (MuxSched *sched, uint32_t w, bool usable)
{
  MuxWorker *worker = worker_at (sched, w);

  if (worker == NULL || worker->usable == usable)
    return;
  subtract_totals (sched, worker);
  worker->usable = usable;
  add_totals (sched, worker);
  sched->usable = usable ? sched->usable + 1 : sched->usable - 1;
  sched->room_gen++;
  mux_index_update (sched, w);
}

void
mux_sched_worker_remove (MuxSched *sched, uint32_t w)
{
  MuxWorker *worker = worker_at (sched, w);

  if (worker == NULL)
    return;
  while (worker->tasks.head != MUX_NONE)
    {
      uint32_t t = worker->tasks.head;

      mux_unbook (sched, t);
      mux_task_free (sched, t);
    }
  mux_sched_worker_set_usable (sched, w, false);
  mux_breaker_reset (sched, w);
  /* The index may be reused for another worker, which must not be part of the
   * reservation. */
  if (worker->reserved)
    mux_reservation_cancel (sched);
  worker->present = false;
  sched->racks -= --worker->rack->workers == 0;
  sched->present--;
  sched->worker_gen++;
  /* Likewise, the worker that waiting tasks avoid was the removed one. */
  for (uint32_t t = sched->waiting_by_age.head; t != MUX_NONE;
       t = sched->task[t].link[MUX_LINK_AGE].next)
    if (sched->task[t].avoid == w)
      sched->task[t].avoid = MUX_NONE;
}

MuxSize
mux_sched_worker_free (const MuxSched *sched, uint32_t w)
{
  const MuxWorker *worker = worker_at (sched, w);

  return worker != NULL ? worker->free : (MuxSize){ 0 };
}
