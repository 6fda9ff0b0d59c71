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

/** mux_size_fit_count() - returns how many tasks of @size fit into @room
 * together */
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
mux_list_remove (MuxSched *sched, MuxList *list, MuxLinkKind kind, uint32_t t);
uint32_t mux_gang_new (MuxSched *sched,
                       MuxId group,
                       uint32_t task_count,
                       uint32_t class_id);
void mux_gang_free (MuxSched *sched, uint32_t g);

/* classes.c: classes and products */
MuxClass *mux_class_find (MuxSched *sched, const char *name);
/** mux_class_find_or_add() - finds a class, or adds one that is not configured
 * Return: NULL: out of memory. */
MuxClass *mux_class_find_or_add (MuxSched *sched, const char *name);
void mux_classes_clear (MuxSched *sched);
/** mux_class_urgent() - returns whether the class promises a short wait, so
 * that deferrable classes (all others) yield to it */
bool mux_class_urgent (const MuxClassSpec *spec);
/** mux_class_fit_count() - returns how many of its tasks all workers hold
 * together when empty */
uint64_t mux_class_fit_count (MuxSched *sched, MuxClass *class);
/** mux_class_resize() - sets the booking size of its new tasks; false: out of
 * memory */
bool mux_class_resize (MuxSched *sched, MuxClass *class, MuxSize size);
/** mux_class_racks_grow() - grows @rack_count from @old to @racks entries;
 * false: out of memory */
bool mux_class_racks_grow (MuxClass *class, uint32_t old, uint32_t racks);
/** mux_class_may_borrow() - returns whether its tasks end soon enough to use
 * the idle quota of other products */
bool mux_class_may_borrow (const MuxClass *class);
/** mux_product_within_quota() - returns whether @n more tasks of @class stay
 * within the quota of its product */
bool mux_product_within_quota (const MuxSched *sched,
                               const MuxClass *class,
                               uint32_t n);

/* booking.c: workers and the bookings on them */
void mux_book (MuxSched *sched, uint32_t t, uint32_t w, MuxSize size);
/** mux_rebook() - changes the size of a booking */
void mux_rebook (MuxSched *sched, uint32_t t, MuxSize size);
void mux_unbook (MuxSched *sched, uint32_t t);
void mux_racks_clear (MuxSched *sched);

/* index.c: search for workers by free room */
bool mux_bits_test (const MuxBits *bits, uint32_t i);
bool mux_index_grow (MuxSched *sched, uint32_t workers);
void mux_index_clear (MuxIndex *index);
/** mux_index_update() - to be called after any change of worker @w */
void mux_index_update (MuxSched *sched, uint32_t w);
/** mux_index_shape_ref() - returns the shape of @size with one reference more;
 * MUX_NONE: out of memory */
uint32_t mux_index_shape_ref (MuxSched *sched, MuxSize size);
void mux_index_shape_unref (MuxSched *sched, uint32_t shape);
/** mux_index_find() - returns the worker that fits best, or MUX_NONE */
uint32_t mux_index_find (const MuxSched *sched, const MuxWorkerQuery *query);
/** mux_index_fits_together() - returns whether @n tasks fit at the same time
 * @loss: receives an estimate of how many fewer urgent tasks fit then */
bool mux_index_fits_together (const MuxSched *sched,
                              const MuxWorkerQuery *query,
                              uint32_t n,
                              uint64_t *loss);
/** mux_index_set_reserved() - adds @w to the workers of the reservation, or
 * removes it */
void mux_index_set_reserved (MuxSched *sched, uint32_t w, bool held);
/** mux_index_emptiest() - lists up to @cap workers that can hold tasks of
 * @class when empty, those with most free room first; stops when together they
 * can hold @n
 * Return: number of workers listed. */
uint32_t mux_index_emptiest (const MuxSched *sched,
                             const MuxClass *class,
                             uint64_t n,
                             uint32_t *out,
                             uint32_t cap);

/* learn.c: rates, run times and sizes learned from reports */
/** mux_rate_update() - updates the means with the events of the last @dt_ms */
void mux_rate_update (MuxRate *rate, double dt_ms);
/** mux_rate_estimate() - returns the larger mean, in events per ms: it rises
 * fast and falls slowly */
double mux_rate_estimate (const MuxRate *rate);
/** mux_learn_reset() - discards what was learned and starts from the declared
 * run time */
void mux_learn_reset (MuxClass *class);
/** mux_learn_usage() - records that a task of @class uses @used */
void mux_learn_usage (MuxClass *class, MuxSize used);
/** mux_learn_end() - records that a task of @class ran for @ran_ms and used
 * @used */
void mux_learn_end (MuxClass *class, uint32_t ran_ms, MuxSize used);
/** mux_learn_size() - returns the booking size of a task: the declared size, or
 * more if reports show more, but not more than the largest worker has */
MuxSize mux_learn_size (const MuxSched *sched, const MuxClass *class);
/** mux_learn_run_quantile_ms() - returns the @ppm quantile of the run times;
 * UINT32_MAX: not known, or its tasks run until stopped */
uint32_t mux_learn_run_quantile_ms (const MuxClass *class, uint32_t ppm);

/* reserve.c: room kept for the urgent work that is forecast */
/** mux_reserve_update() - sets the target from the current forecast */
void mux_reserve_update (MuxSched *sched);
/** mux_wait_probability() - returns the probability that a task waits at all
 * when capacity exceeds the mean load by @beta standard deviations (Halfin and
 * Whitt) */
double mux_wait_probability (double beta);
/** mux_reserve_below_floor() - returns whether deferrable tasks with @n more of
 * @class stay within the part of the cell that the reserve never takes from
 * them */
bool mux_reserve_below_floor (const MuxSched *sched,
                              const MuxClass *class,
                              uint32_t n);
/** mux_reserve_update_worker() - recomputes the urgent room of worker @w */
void mux_reserve_update_worker (MuxSched *sched, uint32_t w);
/** mux_reserve_recompute() - to be called after a change of urgent classes or
 * when a worker was added */
void mux_reserve_recompute (MuxSched *sched);
/** mux_reserve_allows() - returns whether a task of @class can be placed on
 * worker @w without using the reserve
 * @holder: it is the task of the reservation */
bool mux_reserve_allows (const MuxSched *sched,
                         const MuxClass *class,
                         uint32_t w,
                         bool holder);
/** mux_reserve_allows_loss() - returns whether the reserve stays intact if
 * @loss fewer urgent tasks fit
 * @holder: the loss is by the task or gang of the reservation */
bool
mux_reserve_allows_loss (const MuxSched *sched, uint64_t loss, bool holder);

/* reservation.c: the reservation of a blocked gang or large task */
/** mux_reservation_tick() - refreshes the reservation, or begins one for the
 * task or gang that needs it most */
void mux_reservation_tick (MuxSched *sched, int64_t now_ms);
void mux_reservation_cancel (MuxSched *sched);
/** mux_reservation_is_for() - returns whether task @t holds the reservation */
bool mux_reservation_is_for (const MuxSched *sched, uint32_t t);
/** mux_reservation_may_backfill() - returns whether a task of @class that
 * starts now is forecast to end before the reservation needs its workers */
bool mux_reservation_may_backfill (const MuxSched *sched,
                                   const MuxClass *class,
                                   int64_t now_ms);

/* breaker.c: circuit breakers of workers */
/** mux_breaker_task_ended() - counts the end of @task, before it is unbooked */
void mux_breaker_task_ended (MuxSched *sched,
                             const MuxTask *task,
                             MuxTaskEnd end,
                             uint32_t ran_ms,
                             int64_t now_ms);
/** mux_breaker_cancel_probe() - @task is unbooked; if it is the probe of its
 * worker, the probe had no result */
void mux_breaker_cancel_probe (MuxSched *sched, const MuxTask *task);
/** mux_breaker_find_probe() - returns a worker with open breaker that a task of
 * the class may probe now, or MUX_NONE */
uint32_t mux_breaker_find_probe (MuxSched *sched, const MuxWorkerQuery *query);
/** mux_breaker_tick() - closes breakers that nothing could probe for long */
void mux_breaker_tick (MuxSched *sched, int64_t now_ms);
/** mux_breaker_avoids() - returns whether @class failed recently on worker @w.
 * Other workers are preferred then, which also shows whether it fails on that
 * worker only. */
bool mux_breaker_avoids (const MuxSched *sched,
                         const MuxClass *class,
                         uint32_t w,
                         int64_t now_ms);
/** mux_breaker_reset() - closes the breaker and clears its history */
void mux_breaker_reset (MuxSched *sched, uint32_t w);

/* forecast.c: forecast of waits */
/** mux_forecast_wait_ms() - returns the wait forecast for a task of @class
 * submitted now */
uint32_t mux_forecast_wait_ms (const MuxSched *sched,
                               const MuxClass *class,
                               int64_t now_ms);
/** mux_forecast_retry_ms() - returns the delay, with jitter, after which to
 * retry a refused task */
uint32_t
mux_forecast_retry_ms (MuxSched *sched, const MuxClass *class, int64_t now_ms);
/** mux_jitter() - returns @ms changed at random by up to a quarter */
uint32_t mux_jitter (MuxSched *sched, uint32_t ms);

/* decide.c: decisions */
/** mux_sched_tick() - periodic work: rates, sizes, breakers, reserve and
 * reservation */
void mux_sched_tick (MuxSched *sched, int64_t now_ms);

/* late.c: deferrable tasks past their start deadline */
/* Share of the deferrable starts that late tasks get while any wait, so that
 * they don't starve. */
#define MUX_LATE_SHARE 0.1
/** mux_late_applies() - returns whether late tasks of @class go behind those
 * that can still start on time */
bool mux_late_applies (const MuxSched *sched, const MuxClass *class);
/** mux_late_move() - moves tasks of @class that are past their start deadline
 * to its late queue */
void mux_late_move (MuxSched *sched, MuxClass *class, int64_t now_ms);
/** mux_late_share_due() - returns whether a start is due to late tasks, which
 * then go before those that are on time */
bool mux_late_share_due (const MuxSched *sched);
/** mux_late_count_start() - counts the start of a task from queue @kind */
void mux_late_count_start (MuxSched *sched,
                           const MuxClass *class,
                           MuxQueueKind kind);

/* queue.c: waiting tasks */
/** mux_queue_head() - returns the node with the earliest deadline of one queue;
 * NULL: it is empty */
static inline const MuxHeapNode *
mux_queue_head (const MuxClass *class, MuxQueueKind kind)
{
  return class->queue[kind].count > 0 ? class->queue[kind].node : NULL;
}
/** mux_queue_earliest() - returns the head of the late queue, or of the on-time
 * queue if that is empty; NULL: both are empty */
const MuxHeapNode *mux_queue_earliest (const MuxClass *class);
/** mux_queue_add() - false: out of memory */
bool mux_queue_add (MuxSched *sched, uint32_t t);
/** mux_queue_remove() - removes a waiting task from all queues; its gang is
 * then incomplete and leaves its class's queue */
void mux_queue_remove (MuxSched *sched, uint32_t t);
/** mux_queue_drop() - drops a waiting task, and all of its gang, for @reason */
void mux_queue_drop (MuxSched *sched, uint32_t t, MuxReason reason);

#endif
