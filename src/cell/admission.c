#include "cell/admission.h"

#include <stddef.h>

#define MS_PER_S 1000
/* Thousandths of a processor per processor. */
#define MILLI 1000
/* Limit of one step in core-milliseconds, so that sums stay within 64 bits. */
#define WORK_MAX INT64_C (10000000000)
/* Time constant of the mean rate; only time while something waits counts. */
#define RATE_TIME_CONSTANT_MS 4000
/* A rate measured for less time than this is not used. */
#define RATE_KNOWN_MS 2000
/* While the rate is not known, the queue is assumed to get 1/UNKNOWN_RATE_PARTS
 * of its pool. */
#define UNKNOWN_RATE_PARTS 2
/* Fewer waiting steps than this are not a backlog. */
#define BACKLOG_STEPS 4
/* Nor is a queue whose steps have waited for less than these thousandths of
 * their slack on average: a short burst that the pool has room for is placed
 * within that time. */
#define BURST_AGE 125
/* From here on the backlog is a standing one. */
#define STANDING_AGE 250
/* A pool is full if less than 1/FULL_PARTS of it is free. */
#define FULL_PARTS 8
/* In a pool that is not full, jobs are accepted until their wait would be
 * ROOM_FACTOR times longer, as they take no room from others. */
#define ROOM_FACTOR 4
/* Thousandths of its slack that a new job may wait.  The rest is for its way to
 * the planner and for jobs that overtake it meanwhile. */
#define WAIT_SLACK_MILLI 500
/* A queue that is in use is counted in each count, which may not have come to
 * it yet. */
#define UNUSED_COUNTS 2
#define RETRY_MIN_MS 500
#define RETRY_MAX_MS 8000

int64_t
mux_admission_work (uint32_t tasks, uint32_t cpu_milli, uint32_t estimate_ms)
{
  uint64_t work = (uint64_t) cpu_milli * estimate_ms / MILLI;

  if (work > WORK_MAX)
    work = WORK_MAX;
  work *= tasks;
  if (work > WORK_MAX)
    return WORK_MAX;
  return work > 0 ? (int64_t) work : 1;
}

void
mux_admission_reset (MuxAdmission *admission, int64_t now_ms)
{
  admission->counted_ms = now_ms;
  for (uint32_t i = 0; i < admission->count; i++)
    {
      MuxAdmissionQueue *queue = &admission->queue[i];

      queue->waiting = 0;
      queue->placed_work = 0;
      queue->rate = 0;
      queue->busy_ms = 0;
    }
}

static const MuxAdmissionQueue *
find (const MuxAdmission *admission, uint64_t queue)
{
  for (uint32_t i = 0; i < admission->count; i++)
    if (admission->queue[i].queue == queue)
      return &admission->queue[i];
  return NULL;
}

/* Queues come and go with the configuration.
 * Return: an entry for a further one; NULL: all are in use. */
static MuxAdmissionQueue *
free_entry (MuxAdmission *admission)
{
  MuxAdmissionQueue *unused = NULL;

  if (admission->count < MUX_ADMISSION_QUEUES_MAX)
    return &admission->queue[admission->count++];
  for (uint32_t i = 0; i < admission->count; i++)
    {
      MuxAdmissionQueue *entry = &admission->queue[i];

      if (entry->unused_counts >= UNUSED_COUNTS && entry->wait_ms == 0
          && (unused == NULL || entry->unused_counts > unused->unused_counts))
        unused = entry;
    }
  return unused;
}

MuxAdmissionQueue *
mux_admission_find (MuxAdmission *admission, uint64_t queue)
{
  MuxAdmissionQueue *entry = NULL;

  for (uint32_t i = 0; i < admission->count && entry == NULL; i++)
    if (admission->queue[i].queue == queue)
      entry = &admission->queue[i];
  if (entry == NULL)
    {
      entry = free_entry (admission);
      if (entry == NULL)
        {
          admission->untracked++;
          return NULL;
        }
      *entry = (MuxAdmissionQueue){ .queue = queue };
    }
  entry->unused_counts = 0;
  return entry;
}

void
mux_admission_clear_waits (MuxAdmission *admission)
{
  for (uint32_t i = 0; i < admission->count; i++)
    {
      admission->queue[i].wait_ms = 0;
      admission->queue[i].unused_counts = UNUSED_COUNTS;
    }
}

void
mux_admission_placed (MuxAdmission *admission,
                      uint64_t queue,
                      int64_t work,
                      int64_t waited_ms)
{
  MuxAdmissionQueue *entry = mux_admission_find (admission, queue);

  if (entry == NULL)
    return;
  entry->placed_work += work;
  entry->placed_tasks++;
  entry->placed_wait_sum_ms += waited_ms;
}

void
mux_admission_count_begin (MuxAdmission *admission)
{
  for (uint32_t i = 0; i < admission->count; i++)
    {
      admission->queue[i].waiting = 0;
      admission->queue[i].work = 0;
      admission->queue[i].running_milli = 0;
      admission->queue[i].aged_work = 0;
    }
}

void
mux_admission_add_waiting (MuxAdmission *admission,
                           uint64_t queue,
                           const MuxAdmissionStep *step)
{
  MuxAdmissionQueue *entry = mux_admission_find (admission, queue);
  int64_t age = MILLI;

  if (entry == NULL)
    return;
  if (step->waited_ms < step->slack_ms)
    age = step->waited_ms * MILLI / step->slack_ms;
  entry->priority = step->priority;
  entry->service = step->service;
  if (step->late)
    return;
  entry->waiting++;
  entry->work += step->work;
  entry->aged_work += step->work * age;
}

void
mux_admission_add_running (MuxAdmission *admission,
                           uint64_t queue,
                           int64_t milli)
{
  MuxAdmissionQueue *entry = mux_admission_find (admission, queue);

  if (entry != NULL)
    entry->running_milli += milli;
}

/* Moves @mean towards @value by the share that @passed_ms has in the time
 * constant. */
static void
add_to_mean (int64_t *mean, int64_t value, int64_t passed_ms, int64_t busy_ms)
{
  int64_t time_constant_ms
      = busy_ms < RATE_TIME_CONSTANT_MS ? busy_ms : RATE_TIME_CONSTANT_MS;

  if (time_constant_ms < passed_ms)
    time_constant_ms = passed_ms;
  *mean += (value - *mean) * passed_ms / time_constant_ms;
}

static void
measure_sojourn (MuxAdmissionQueue *queue, int64_t passed_ms)
{
  if (queue->placed_tasks == 0)
    {
      queue->since_placed_ms += passed_ms;
      return;
    }
  queue->since_placed_ms = 0;
  add_to_mean (&queue->sojourn_ms,
               queue->placed_wait_sum_ms / queue->placed_tasks, passed_ms,
               queue->busy_ms);
  queue->placed_tasks = 0;
  queue->placed_wait_sum_ms = 0;
}

/* Time in which nothing waited does not count: it says nothing about how fast
 * the queue could be served. */
static void
measure (MuxAdmissionQueue *queue, int64_t passed_ms)
{
  int64_t rate = queue->placed_work * MS_PER_S / passed_ms;

  if (queue->waiting == 0 && queue->placed_work == 0)
    return;
  queue->placed_work = 0;
  queue->busy_ms += passed_ms;
  add_to_mean (&queue->rate, rate, passed_ms, queue->busy_ms);
  measure_sojourn (queue, passed_ms);
}

void
mux_admission_count_end (MuxAdmission *admission, int64_t now_ms)
{
  int64_t passed_ms = now_ms - admission->counted_ms;

  if (passed_ms <= 0)
    return;
  admission->counted_ms = now_ms;
  admission->untracked = 0;
  for (uint32_t i = 0; i < admission->count; i++)
    {
      measure (&admission->queue[i], passed_ms);
      admission->queue[i].unused_counts++;
    }
}

static int64_t
time_for_work_ms (int64_t work, int64_t rate)
{
  int64_t ms;

  if (rate <= 0)
    return work > 0 ? MUX_ADMISSION_WAIT_MAX_MS : 0;
  ms = work * MS_PER_S / rate;
  return ms < MUX_ADMISSION_WAIT_MAX_MS ? ms : MUX_ADMISSION_WAIT_MAX_MS;
}

/* Returns the work that waits, without what was placed since it was counted. */
static int64_t
work_ahead (const MuxAdmissionQueue *queue)
{
  return queue->work > queue->placed_work ? queue->work - queue->placed_work
                                          : 0;
}

/* Used until a rate is measured; assumes a part of the pool.  A planner that
 * does not know the pool yet uses the value received from its predecessor. */
static int64_t
unmeasured_wait_ms (const MuxAdmissionQueue *queue)
{
  if (queue->pool_milli == 0)
    return queue->wait_ms;
  return time_for_work_ms (work_ahead (queue),
                           queue->pool_milli / UNKNOWN_RATE_PARTS);
}

/* Room used by queues of lower priority counts as free, as this queue is served
 * first. */
bool
mux_admission_has_room (const MuxAdmissionQueue *queue)
{
  return (queue->free_milli + queue->lower_priority_milli) * FULL_PARTS
         >= queue->pool_milli;
}

static int64_t
age_of (const MuxAdmissionQueue *queue)
{
  return queue->work > 0 ? queue->aged_work / queue->work : 0;
}

static bool
has_standing_backlog (const MuxAdmissionQueue *queue)
{
  return queue->waiting >= BACKLOG_STEPS && age_of (queue) >= STANDING_AGE;
}

/*
 * If the pool has room, steps do not wait for processors: a gang waits for many
 * workers at once, and a step that no worker can hold waits forever.  Only if
 * the tasks that are placed have waited, too, in all queues, is the planner
 * itself the bottleneck.
 */
static int64_t
wait_with_room_ms (const MuxAdmissionQueue *queue)
{
  if (has_standing_backlog (queue))
    return queue->min_sojourn_ms / ROOM_FACTOR;
  return time_for_work_ms (work_ahead (queue), queue->pool_milli);
}

static int64_t
measured_wait_ms (const MuxAdmissionQueue *queue)
{
  /* Core-milliseconds per second equal thousandths of a processor. */
  int64_t spare = queue->free_milli + queue->lower_priority_rate;

  if (has_standing_backlog (queue) || queue->higher_priority_work > 0)
    return time_for_work_ms (work_ahead (queue) + queue->higher_priority_work,
                             queue->rate + queue->higher_priority_rate);
  /* The rate can't exceed the whole pool. */
  if (age_of (queue) < BURST_AGE || queue->rate + spare > queue->pool_milli)
    return queue->pool_milli > 0
               ? time_for_work_ms (work_ahead (queue), queue->pool_milli)
               : 0;
  return time_for_work_ms (work_ahead (queue), queue->rate + spare);
}

static void
update_wait (MuxAdmissionQueue *queue)
{
  if (queue->waiting < BACKLOG_STEPS)
    queue->wait_ms = 0;
  else if (queue->pool_milli > 0 && mux_admission_has_room (queue))
    queue->wait_ms = wait_with_room_ms (queue);
  else if (queue->busy_ms < RATE_KNOWN_MS)
    queue->wait_ms = unmeasured_wait_ms (queue);
  else
    queue->wait_ms = measured_wait_ms (queue);
}

/* Lets the backlog of a queue of higher priority count against this one.
 * Otherwise tasks of this queue take all room that becomes free, and gangs of
 * the other, which need much room at once, get nothing. */
static void
add_higher_priority (MuxAdmissionQueue *queue, const MuxAdmissionQueue *first)
{
  if (!has_standing_backlog (first))
    return;
  queue->higher_priority_work += first->work;
  queue->higher_priority_rate += first->rate;
}

static bool
has_placements (const MuxAdmissionQueue *queue)
{
  return queue->busy_ms > 0 && queue->since_placed_ms < RATE_TIME_CONSTANT_MS;
}

static void
sum_other_queues (const MuxAdmission *admission, MuxAdmissionQueue *queue)
{
  int64_t least_ms = MUX_ADMISSION_WAIT_MAX_MS;

  queue->higher_priority_work = 0;
  queue->higher_priority_rate = 0;
  queue->lower_priority_rate = 0;
  queue->lower_priority_milli = 0;
  for (uint32_t i = 0; i < admission->count; i++)
    {
      const MuxAdmissionQueue *other = &admission->queue[i];

      if (other->service != queue->service)
        continue;
      if (has_placements (other) && other->sojourn_ms < least_ms)
        least_ms = other->sojourn_ms;
      if (other->priority < queue->priority)
        add_higher_priority (queue, other);
      else if (other->priority > queue->priority)
        {
          queue->lower_priority_rate += other->rate;
          queue->lower_priority_milli += other->running_milli;
        }
    }
  /* With no placements at all, the sojourn time is not known. */
  queue->min_sojourn_ms = least_ms < MUX_ADMISSION_WAIT_MAX_MS ? least_ms : 0;
}

void
mux_admission_update_pool (MuxAdmission *admission,
                           uint64_t service,
                           int64_t pool_milli,
                           int64_t free_milli)
{
  for (uint32_t i = 0; i < admission->count; i++)
    {
      MuxAdmissionQueue *queue = &admission->queue[i];

      if (queue->service != service)
        continue;
      queue->pool_milli = pool_milli;
      queue->free_milli = free_milli;
      sum_other_queues (admission, queue);
      update_wait (queue);
    }
}

/*
 * Adjusts the expected wait for jobs accepted between two counts.  At ten times
 * the load that a cell can serve, each count comes too late for seconds of
 * work.
 */
void
mux_admission_accepted (MuxAdmission *admission, uint64_t queue, int64_t work)
{
  MuxAdmissionQueue *entry = mux_admission_find (admission, queue);

  if (entry == NULL)
    return;
  entry->waiting++;
  entry->work += work;
  update_wait (entry);
}

int64_t
mux_admission_wait_ms (const MuxAdmission *admission, uint64_t queue)
{
  const MuxAdmissionQueue *entry = find (admission, queue);

  return entry != NULL ? entry->wait_ms : 0;
}

int64_t
mux_admission_pool_rate (const MuxAdmission *admission, uint64_t service)
{
  int64_t rate = -1;

  for (uint32_t i = 0; i < admission->count; i++)
    {
      const MuxAdmissionQueue *queue = &admission->queue[i];

      if (queue->service != service || queue->busy_ms < RATE_KNOWN_MS)
        continue;
      rate = (rate > 0 ? rate : 0) + queue->rate;
    }
  return rate;
}

int64_t
mux_admission_acceptable_ms (const MuxAdmissionJob *job)
{
  return job->slack_ms * WAIT_SLACK_MILLI / MILLI / job->chain_length;
}

uint32_t
mux_admission_retry_ms (const MuxAdmission *admission,
                        const MuxAdmissionJob *job)
{
  int64_t wait_ms = mux_admission_wait_ms (admission, job->queue);
  uint64_t retry_ms = (uint64_t) wait_ms;

  if (wait_ms * job->chain_length <= job->slack_ms * WAIT_SLACK_MILLI / MILLI)
    return 0;
  if (retry_ms < RETRY_MIN_MS)
    retry_ms = RETRY_MIN_MS;
  if (retry_ms > RETRY_MAX_MS / 2)
    retry_ms = RETRY_MAX_MS / 2;
  /* Callers refused at the same time get different retry delays. */
  return (uint32_t) (retry_ms + job->jitter_seed % retry_ms);
}
