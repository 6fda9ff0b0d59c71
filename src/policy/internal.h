#ifndef POLICY_INTERNAL_H
#define POLICY_INTERNAL_H

#include "types.h"

static inline uint32_t
mux_size_dim (MuxSize size, uint32_t dim)
{
  switch (dim)
    {
    case MUX_DIM_CPU:
      return size.cpu_milli;
    case MUX_DIM_MEM:
      return size.mem_mib;
    case MUX_DIM_ACCELS:
      return size.accels;
    default:
      return size.slots;
    }
}

static inline bool
mux_fits (MuxSize need, MuxSize room)
{
  return (need.cpu_milli <= room.cpu_milli) & (need.mem_mib <= room.mem_mib)
         & (need.accels <= room.accels) & (need.slots <= room.slots);
}

/** mux_size_times() - how many of @size fit into @room together */
static inline uint32_t
mux_size_fit_count (MuxSize size, MuxSize room)
{
  uint32_t n = UINT32_MAX;

  for (uint32_t d = 0; d < MUX_DIMS; d++)
    {
      uint32_t need = mux_size_dim (size, d);

      if (need > 0 && mux_size_dim (room, d) / need < n)
        n = mux_size_dim (room, d) / need;
    }
  return n;
}

/* tasks.c: the pool of tasks and gangs, and their lists */
uint32_t mux_task_new (MuxSched *sched, MuxId id);
void mux_task_free (MuxSched *sched, uint32_t t);
void mux_list_init (MuxList *list);
void
mux_list_add (MuxSched *sched, MuxList *list, MuxLinkKind kind, uint32_t t);
void
mux_list_drop (MuxSched *sched, MuxList *list, MuxLinkKind kind, uint32_t t);
uint32_t
mux_gang_new (MuxSched *sched, MuxId group, uint32_t wanted, uint32_t class_id);
void mux_gang_free (MuxSched *sched, uint32_t g);

/* classes.c: classes and products */
MuxClass *mux_class_find (MuxSched *sched, const char *name);
/** mux_class_ghost() - the class, or one not configured to book under */
MuxClass *mux_class_find_or_add (MuxSched *sched, const char *name);
void mux_classes_clear (MuxSched *sched);
/** mux_class_urgent() - others yield to work of @spec */
bool mux_class_urgent (const MuxClassSpec *spec);
/** mux_class_fit_count() - its tasks that all empty workers hold together */
uint64_t mux_class_fit_count (MuxSched *sched, MuxClass *class);
/** mux_class_resize() - book its tasks with @size from now on */
bool mux_class_resize (MuxSched *sched, MuxClass *class, MuxSize size);
/** mux_class_racks_grow() - count in @racks racks; false: no memory */
bool mux_class_racks_grow (MuxClass *class, uint32_t old, uint32_t racks);
/** mux_class_borrows() - its tasks end soon enough to use idle quota */
bool mux_class_may_borrow (const MuxClass *class);
/** mux_product_allows() - @n more tasks of @class are within the quota */
bool mux_product_within_quota (const MuxSched *sched,
                               const MuxClass *class,
                               uint32_t n);

/* books.c: workers and what is booked on them */
void mux_book (MuxSched *sched, uint32_t t, uint32_t w, MuxSize size);
/** mux_rebook() - a booked task is found to need another size */
void mux_rebook (MuxSched *sched, uint32_t t, MuxSize size);
void mux_unbook (MuxSched *sched, uint32_t t);
void mux_racks_clear (MuxSched *sched);

/* index.c: which worker to take */
bool mux_bits_test (const MuxBits *bits, uint32_t i);
bool mux_index_grow (MuxSched *sched, uint32_t workers);
void mux_index_clear (MuxIndex *index);
/** mux_index_update() - after any change of a worker */
void mux_index_update (MuxSched *sched, uint32_t w);
/** mux_index_shape_ref() - MUX_NONE: no memory */
uint32_t mux_index_shape_ref (MuxSched *sched, MuxSize size);
void mux_index_shape_unref (MuxSched *sched, uint32_t shape);
/** mux_index_find() - best fit, or MUX_NONE */
uint32_t mux_index_find (const MuxSched *sched, const MuxWorkerQuery *seek);
/** mux_index_holds() - @n tasks fit together now
 * @loss: room for urgent tasks that they would take, about */
bool mux_index_fits_together (const MuxSched *sched,
                              const MuxWorkerQuery *seek,
                              uint32_t n,
                              uint64_t *loss);
/** mux_index_reserve() - @w joins or leaves the workers of the reservation */
void mux_index_set_reserved (MuxSched *sched, uint32_t w, bool held);
/** mux_index_emptiest() - up to @cap workers that can hold tasks of @class
 * when empty, those with most room first; stops when they hold @n together
 * Return: how many. */
uint32_t mux_index_emptiest (const MuxSched *sched,
                             const MuxClass *class,
                             uint64_t n,
                             uint32_t *out,
                             uint32_t cap);

/* learn.c: what is known of a class from its reports */
void mux_rate_update (MuxRate *flow, double dt_ms);
double mux_rate_estimate (const MuxRate *flow);
void mux_learn_reset (MuxClass *class);
/** mux_learn_usage() - a task of it uses @used */
void mux_learn_usage (MuxClass *class, MuxSize used);
/** mux_learn_end() - a task of it ran @ran_ms and used @used */
void mux_learn_end (MuxClass *class, uint32_t ran_ms, MuxSize used);
/** mux_learn_size() - what to book for a task: the declared size, or more
 * when reports show more; never more than the largest worker has */
MuxSize mux_learn_size (const MuxSched *sched, const MuxClass *class);
/** mux_learn_run_ms() - run time that @ppm of its tasks don't exceed;
 * UINT32_MAX: they run until stopped */
uint32_t mux_learn_run_quantile_ms (const MuxClass *class, uint32_t ppm);

/* reserve.c: room kept for the urgent work that is forecast */
void mux_reserve_update (MuxSched *sched);
/** mux_wait_chance() - chance that a task waits at all with @beta standard
 * deviations of room above the mean (Halfin and Whitt) */
double mux_wait_probability (double beta);
/** mux_reserve_floor() - others than urgent hold so little that the reserve
 * must not keep @n tasks of @class out */
bool mux_reserve_below_floor (const MuxSched *sched,
                              const MuxClass *class,
                              uint32_t n);
/** mux_reserve_count() - count anew what worker @w has for urgent tasks */
void mux_reserve_update_worker (MuxSched *sched, uint32_t w);
/** mux_reserve_resize() - after a change of urgent classes or of workers */
void mux_reserve_recompute (MuxSched *sched);
/** mux_reserve_spares() - a task of @class may go to worker @w without eating
 * into the reserve */
bool mux_reserve_allows (const MuxSched *sched,
                         const MuxClass *class,
                         uint32_t w,
                         bool holder);
/** mux_reserve_leaves() - the reserve allows to lose @loss of the room for
 * urgent tasks */
bool
mux_reserve_allows_loss (const MuxSched *sched, uint64_t loss, bool holder);

/* reservation.c: the reservation of a blocked gang or large task */
void mux_reservation_tick (MuxSched *sched, int64_t now_ms);
void mux_reservation_drop (MuxSched *sched);
/** mux_reservation_owned() - @t is who the reservation is for */
bool mux_reservation_is_for (const MuxSched *sched, uint32_t t);
/** mux_reservation_backfills() - a task of @class started now is forecast to
 * end before the reservation needs its workers */
bool mux_reservation_may_backfill (const MuxSched *sched,
                                   const MuxClass *class,
                                   int64_t now_ms);

/* breaker.c: workers that fail what they start */
void mux_breaker_task_ended (MuxSched *sched,
                             const MuxTask *task,
                             MuxTaskEnd end,
                             uint32_t ran_ms,
                             int64_t now_ms);
/** mux_breaker_forget_probe() - @task is unbooked and tells nothing */
void mux_breaker_cancel_probe (MuxSched *sched, const MuxTask *task);
/** mux_breaker_probe() - tripped worker that a task of @class may probe now,
 * or MUX_NONE */
uint32_t mux_breaker_find_probe (MuxSched *sched, const MuxWorkerQuery *seek);
/** mux_breaker_tick() - close what could not be probed for long */
void mux_breaker_tick (MuxSched *sched, int64_t now_ms);
/** mux_breaker_avoids() - @class failed lately on worker @w: others are tried
 * first, which also tells whether it fails there alone */
bool mux_breaker_avoids (const MuxSched *sched,
                         const MuxClass *class,
                         uint32_t w,
                         int64_t now_ms);
/** mux_breaker_reset() - nothing is known of worker @w any more */
void mux_breaker_reset (MuxSched *sched, uint32_t w);

/* forecast.c: waits to come */
/** mux_forecast_wait_ms() - wait of a task of @class that asks now */
uint32_t mux_forecast_wait_ms (const MuxSched *sched,
                               const MuxClass *class,
                               int64_t now_ms);
/** mux_forecast_retry_ms() - when to come back after a refusal, with jitter */
uint32_t
mux_forecast_retry_ms (MuxSched *sched, const MuxClass *class, int64_t now_ms);
uint32_t mux_jitter (MuxSched *sched, uint32_t ms);

/* decide.c */
/** mux_sched_tick() - what is looked at now and then, not at each decision */
void mux_sched_tick (MuxSched *sched, int64_t now_ms);

/* late.c: what can't start in time any more */
/* Part of the deferrable starts that late tasks get while any wait, so that
 * they don't starve. */
#define MUX_LATE_SHARE 0.1
/** mux_late_yields() - tasks of @class past their deadline go behind those
 * that can start in time */
bool mux_late_applies (const MuxSched *sched, const MuxClass *class);
/** mux_late_move() - to the late lane with whom is past the deadline */
void mux_late_move (MuxSched *sched, MuxClass *class, int64_t now_ms);
/** mux_late_first() - the share of the starts that is kept for late tasks is
 * due: they go before the timely ones */
bool mux_late_share_due (const MuxSched *sched);
/** mux_late_count() - a task of lane @lane starts */
void mux_late_count_start (MuxSched *sched,
                           const MuxClass *class,
                           MuxQueueKind lane);

/* queue.c: what waits */
/** mux_queue_head() - the earliest deadline of a lane; NULL: it is empty */
static inline const MuxHeapNode *
mux_queue_head (const MuxClass *class, MuxQueueKind lane)
{
  return class->queue[lane].count > 0 ? class->queue[lane].node : NULL;
}
/** mux_queue_earliest() - the earliest deadline of all lanes, or NULL */
const MuxHeapNode *mux_queue_earliest (const MuxClass *class);
bool mux_queue_add (MuxSched *sched, uint32_t t);
/** mux_queue_leave() - take a waiting task out of all queues; its gang, if
 * it was complete, gathers again */
void mux_queue_remove (MuxSched *sched, uint32_t t);
/** mux_queue_drop() - put a waiting task, and its gang, among the drops */
void mux_queue_drop (MuxSched *sched, uint32_t t, MuxReason reason);

#endif
