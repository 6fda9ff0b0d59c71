#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* A long-running class with at most this target wait is urgent. */
#define URGENT_WITHIN_MS 10000u
/* Longest run time (90th percentile) of a class that may use idle quota: lent
 * quota comes back only when the tasks end. */
#define BORROW_RUN_MAX_MS 60000u

MuxClass *
mux_class_find (MuxSched *sched, const char *name)
{
  MuxClass *class = NULL;

  HASH_FIND_STR (sched->classes_by_name, name, class);
  return class;
}

static MuxProduct *
product_get (MuxSched *sched, const char *name)
{
  MuxProduct *product = NULL;

  HASH_FIND_STR (sched->products_by_name, name, product);
  if (product != NULL)
    return product;
  product = calloc (1, sizeof *product);
  if (product == NULL)
    return NULL;
  mux_name_copy (product->spec.name, name);
  HASH_ADD_STR (sched->products_by_name, spec.name, product);
  return product;
}

static bool
grow_classes (MuxSched *sched)
{
  uint32_t allocated
      = sched->classes_allocated < 16 ? 16 : sched->classes_allocated * 2;
  MuxClass **at = realloc (sched->class_at, allocated * sizeof (MuxClass *));

  if (at == NULL)
    return false;
  sched->class_at = at;
  sched->classes_allocated = allocated;
  return true;
}

MuxClass *
mux_class_find_or_add (MuxSched *sched, const char *name)
{
  MuxClass *class = mux_class_find (sched, name);

  if (class != NULL)
    return class;
  if (sched->classes == sched->classes_allocated && !grow_classes (sched))
    return NULL;
  class = calloc (1, sizeof *class);
  if (class == NULL)
    return NULL;
  mux_name_copy (class->spec.name, name);
  class->id = sched->classes;
  class->shape = MUX_NONE;
  if (!mux_class_racks_grow (class, 0, sched->racks_allocated))
    {
      free (class);
      return NULL;
    }
  sched->class_at[sched->classes++] = class;
  HASH_ADD_STR (sched->classes_by_name, spec.name, class);
  return class;
}

bool
mux_class_racks_grow (MuxClass *class, uint32_t old, uint32_t racks)
{
  uint32_t *count = realloc (class->rack_count, racks * sizeof *count);

  if (count == NULL)
    return false;
  for (uint32_t i = old; i < racks; i++)
    count[i] = 0;
  class->rack_count = count;
  return true;
}

bool
mux_class_resize (MuxSched *sched, MuxClass *class, MuxSize size)
{
  uint32_t shape = mux_index_shape_ref (sched, size);

  if (shape == MUX_NONE)
    return false;
  if (class->shape != MUX_NONE)
    mux_index_shape_unref (sched, class->shape);
  class->shape = shape;
  class->size = size;
  class->fit_gen = 0;
  mux_reserve_recompute (sched);
  return true;
}

static void
move (uint64_t *from, uint64_t *to, uint64_t n)
{
  if (from != NULL)
    *from -= n;
  *to += n;
}

/* Moves the bookings of the class's tasks to product @to, and between the sums
 * of urgent and deferrable work. */
static void
move_booked (MuxSched *sched, MuxClass *class, MuxProduct *to, bool urgent)
{
  bool urgency_changes = class->urgent != urgent;

  if (urgency_changes)
    sched->urgent_running = urgent ? sched->urgent_running + class->booked
                                   : sched->urgent_running - class->booked;

  for (uint32_t t = 0; t < sched->tasks; t++)
    {
      const MuxTask *task = &sched->task[t];

      if (task->state != MUX_TASK_BOOKED || task->class_id != class->id)
        continue;
      for (uint32_t d = 0; d < MUX_DIMS; d++)
        {
          uint64_t n = mux_size_dim (task->size, d);

          move (class->product != NULL ? &class->product->booked[d] : NULL,
                &to->booked[d], n);
          if (urgency_changes)
            sched->deferrable_booked[d] = urgent
                                              ? sched->deferrable_booked[d] - n
                                              : sched->deferrable_booked[d] + n;
        }
    }
  class->product = to;
  class->urgent = urgent;
}

bool
mux_class_urgent (const MuxClassSpec *spec)
{
  if (spec->kind == MUX_KIND_SERVICE)
    return true;
  return spec->kind == MUX_KIND_LONG_RUNNING
         && spec->start_within_ms <= URGENT_WITHIN_MS;
}

bool
mux_class_may_borrow (const MuxClass *class)
{
  uint32_t run = mux_learn_run_quantile_ms (class, 900000);

  return run <= BORROW_RUN_MAX_MS;
}

static bool
declaration_changed (const MuxClass *class, const MuxClassSpec *spec)
{
  return !class->configured || class->spec.run_ms != spec->run_ms
         || memcmp (&class->spec.size, &spec->size, sizeof spec->size) != 0;
}

bool
mux_sched_class_set (MuxSched *sched, const MuxClassSpec *spec)
{
  MuxProduct *product = product_get (sched, spec->product);
  MuxClass *class = mux_class_find_or_add (sched, spec->name);
  MuxSize size = spec->size;

  if (product == NULL || class == NULL)
    return false;
  bool changed = declaration_changed (class, spec);

  size.slots = size.slots == 0 ? 1 : size.slots;
  if (changed && !mux_class_resize (sched, class, size))
    return false;
  if (class->product != product || class->urgent != mux_class_urgent (spec))
    move_booked (sched, class, product, mux_class_urgent (spec));
  class->spec = *spec;
  if (changed)
    mux_learn_reset (class);
  class->configured = true;
  mux_reserve_recompute (sched);
  sched->room_gen++;
  return true;
}

void
mux_sched_class_remove (MuxSched *sched, const char *name)
{
  MuxClass *class = mux_class_find (sched, name);

  if (class == NULL || !class->configured)
    return;
  class->configured = false;
  for (uint32_t t = 0; t<sched->tasks &&class->waiting> 0; t++)
    if (sched->task[t].class_id == class->id
        && (sched->task[t].state == MUX_TASK_WAITING
            || sched->task[t].state == MUX_TASK_GATHERING))
      mux_queue_drop (sched, t, MUX_REASON_UNKNOWN_CLASS);
  mux_index_shape_unref (sched, class->shape);
  class->shape = MUX_NONE;
}

bool
mux_sched_product_set (MuxSched *sched, const MuxProductSpec *spec)
{
  MuxProduct *product = product_get (sched, spec->name);

  if (product == NULL)
    return false;
  product->spec = *spec;
  product->configured = true;
  sched->room_gen++;
  return true;
}

void
mux_sched_product_remove (MuxSched *sched, const char *name)
{
  MuxProduct *product = NULL;

  HASH_FIND_STR (sched->products_by_name, name, product);
  if (product == NULL)
    return;
  product->configured = false;
  product->spec.quota = (MuxSize){ 0 };
  sched->room_gen++;
}

void
mux_classes_clear (MuxSched *sched)
{
  MuxProduct *product, *next;

  HASH_CLEAR (hh, sched->classes_by_name);
  for (uint32_t i = 0; i < sched->classes; i++)
    {
      for (uint32_t kind = 0; kind < MUX_QUEUES; kind++)
        mux_heap_clear (&sched->class_at[i]->queue[kind]);
      free (sched->class_at[i]->rack_count);
      free (sched->class_at[i]);
    }
  free (sched->class_at);
  HASH_ITER (hh, sched->products_by_name, product, next)
  {
    HASH_DEL (sched->products_by_name, product);
    free (product);
  }
}

uint64_t
mux_class_fit_count (MuxSched *sched, MuxClass *class)
{
  if (class->fit_gen == sched->worker_gen)
    return class->fit_count;
  class->fit_gen = sched->worker_gen;
  class->fit_count = 0;
  for (uint32_t w = 0; w < sched->workers; w++)
    if (sched->worker[w].present)
      class->fit_count
          += mux_size_fit_count (class->size, sched->worker[w].capacity);
  return class->fit_count;
}

bool
mux_product_within_quota (const MuxSched *sched,
                          const MuxClass *class,
                          uint32_t n)
{
  const MuxProduct *product = class->product;

  /* A quota smaller than one task still allows one, or none would ever run. */
  if (n == 1 && product->booked[MUX_DIM_SLOTS] == 0)
    return true;
  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      uint64_t quota = mux_size_dim (product->spec.quota, d);
      uint64_t part = (quota * sched->share_ppm + 999999) / 1000000;
      uint64_t more = (uint64_t) n * mux_size_dim (class->size, d);

      if (quota > 0 && product->booked[d] + more > part)
        return false;
    }
  return true;
}
