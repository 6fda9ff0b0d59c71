#include "config.h"
#include "jobs_private.h"
#include "member.h"

#include <stdlib.h>
#include <string.h>

/* Placement of gangs: all tasks are granted room before any of them starts. */

/* Once one task of a gang is granted, the rest must be granted within this
 * time; less than GRANT_TTL_MS. */
#define HOLD_TIMEOUT_MS 2000
/* Interval at which a gang that waits at its first owner checks whether another
 * one has room at once. */
#define ELSEWHERE_CHECK_MS 2000
/* First pause before a gang requests room again; it doubles up to
 * BACKOFF_DOUBLINGS_MAX times. */
#define BACKOFF_MS 250
#define BACKOFF_DOUBLINGS_MAX 5
/* After an owner answered that it can never hold its part, it is requested to
 * hold this many eighths of it. */
#define REDUCED_EIGHTHS 6

/* An owner that may hold part of a gang. */
typedef struct
{
  const char *name;
  bool local;
  uint32_t tasks_when_idle;
  uint32_t tasks_now;
} Candidate;

/*
 * The home of a gang may die when only some of its tasks are recorded as
 * placed.  If its new home requested room for the rest as a gang, counting the
 * whole size, that gang would never be complete and the job would hang.  The
 * rest of a gang that is placed in part is therefore requested one by one.
 */
bool
job_none_placed (const Job *job)
{
  for (uint32_t i = 0; i < job->header.task_count; i++)
    if (job->slots[i].state != SLOT_NEW)
      return false;
  return true;
}

static uint32_t
quotient (uint32_t total, uint32_t one)
{
  return one == 0 ? UINT32_MAX : total / one;
}

static uint32_t
min (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

static uint32_t
count_fitting (MuxSize one, MuxSize total)
{
  uint32_t count = min (quotient (total.cpu_milli, one.cpu_milli),
                        quotient (total.mem_mib, one.mem_mib));

  return min (count, min (quotient (total.accels, one.accels), total.slots));
}

/* An owner's refusal limits what its totals promise: room spread over its
 * workers may hold fewer tasks than the sum. */
static uint32_t
apply_bound (const Job *job, const char *owner, uint32_t tasks)
{
  for (uint32_t i = 0; i < job->gang_bound_count; i++)
    if (strcmp (job->gang_bound[i].owner, owner) == 0)
      return min (tasks, job->gang_bound[i].tasks);
  return tasks;
}

static void
set_bound (Job *job, const char *owner, uint32_t tasks)
{
  GangBound *bound = NULL;

  for (uint32_t i = 0; i < job->gang_bound_count; i++)
    if (strcmp (job->gang_bound[i].owner, owner) == 0)
      bound = &job->gang_bound[i];
  if (bound == NULL)
    {
      if (job->gang_bound_count == GANG_PARTS_MAX)
        return;
      bound = &job->gang_bound[job->gang_bound_count++];
      mux_name_copy (bound->owner, owner);
    }
  bound->tasks = tasks * REDUCED_EIGHTHS / 8;
}

static uint32_t
collect_candidates (MuxCore *core, const Job *job, MuxSize one, Candidate *out)
{
  MuxSchedStats stats = mux_sched_stats (core->sched, core->now_ms);
  uint32_t count = 0;

  out[count++] = (Candidate){
    .name = core->name,
    .local = true,
    .tasks_when_idle
    = apply_bound (job, core->name, count_fitting (one, stats.total)),
    .tasks_now = count_fitting (one, stats.available),
  };
  for (const Member *m = core->members; m != NULL && count < GANG_PARTS_MAX;
       m = m->hh.next)
    if (member_usable (m))
      out[count++] = (Candidate){
        .name = m->name,
        .local = m->local,
        .tasks_when_idle
        = apply_bound (job, m->name, count_fitting (one, m->total)),
        .tasks_now = count_fitting (one, m->free),
      };
  return count;
}

/* Order: most room now, then most room when idle, then local before remote. */
static int
by_room (const void *a, const void *b)
{
  const Candidate *x = a;
  const Candidate *y = b;

  if (x->tasks_now != y->tasks_now)
    return x->tasks_now > y->tasks_now ? -1 : 1;
  if (x->tasks_when_idle != y->tasks_when_idle)
    return x->tasks_when_idle > y->tasks_when_idle ? -1 : 1;
  if (x->local != y->local)
    return x->local ? -1 : 1;
  return strcmp (x->name, y->name);
}

static int
by_owner (const void *a, const void *b)
{
  return strcmp (((const GangPart *) a)->owner, ((const GangPart *) b)->owner);
}

static void
add_part (Job *job, const Candidate *from, uint32_t tasks)
{
  GangPart *part = &job->gang_part[job->gang_part_count++];

  *part = (GangPart){ .tasks = tasks };
  mux_name_copy (part->owner, from->name);
}

/* Splits the gang: one owner that can hold all of it if there is one, else as
 * few owners as possible.  Return: false: they can't hold it all. */
static bool
split (MuxCore *core, Job *job, MuxSize one, uint32_t tasks)
{
  Candidate candidate[GANG_PARTS_MAX];
  uint32_t count = collect_candidates (core, job, one, candidate);
  uint32_t left = tasks;

  job->gang_part_count = 0;
  qsort (candidate, count, sizeof candidate[0], by_room);
  for (uint32_t i = 0; i < count; i++)
    if (candidate[i].tasks_when_idle >= tasks)
      {
        add_part (job, &candidate[i], tasks);
        return true;
      }
  for (uint32_t i = 0; i < count && left > 0; i++)
    {
      uint32_t n = min (left, candidate[i].tasks_when_idle);

      if (n > 0)
        add_part (job, &candidate[i], n);
      left -= n;
    }
  if (left > 0)
    job->gang_part_count = 0;
  return left == 0;
}

static bool
none_granted (const Job *job)
{
  return job->gang_current_part == 0 && job->gang_granted == 0;
}

/* The gang's task at @index if it waits to be placed, else NULL. */
static Task *
gang_task (MuxCore *core, const Job *job, uint32_t index)
{
  Task *task;

  if (job->slots[index].state != SLOT_NEW || !job->slots[index].has_task)
    return NULL;
  task = task_find (core, mux_id_derive (job->id, index));
  return task != NULL && task->in_gang ? task : NULL;
}

static void
request_part (MuxCore *core, Job *job)
{
  uint32_t now = job->gang_current_part;
  GangPart *part = &job->gang_part[now];
  MuxId group = mux_id_derive (
      job->id, MUX_JOB_TASKS_MAX + job->gang_rounds * GANG_PARTS_MAX + now + 1);

  for (uint32_t i = part->first_task; i < job->header.task_count; i++)
    {
      Task *task = gang_task (core, job, i);

      if (task == NULL)
        continue;
      /* Room still booked from before is granted at once, and the last grant of
       * a part requests the next one, beginning with that one's first task. */
      if (++part->requested == part->tasks && now + 1 < job->gang_part_count)
        job->gang_part[now + 1].first_task = i + 1;
      task_request_owner (core, task, part->owner, group, part->tasks);
      if (job->gang_state != GANG_REQUESTING || part->requested == part->tasks)
        return;
    }
}

static void
begin_round (MuxCore *core, Job *job, const MuxClassSpec *spec)
{
  MuxSize one = spec->size;
  uint32_t tasks = 0;

  one.slots = 1;
  for (uint32_t i = 0; i < job->header.task_count; i++)
    tasks += gang_task (core, job, i) != NULL;
  if (tasks == 0)
    {
      job->gang_state = GANG_NONE;
      return;
    }
  job->gang_rounds++;
  if (!split (core, job, one, tasks))
    {
      job->gang_timer_ms = core->now_ms + core_jitter (core, HOLD_TIMEOUT_MS);
      job->gang_bound_count = 0;
      return;
    }
  /* Always in the order of the owners' names, so that two gangs that each hold
   * a part can't wait for one another in a cycle. */
  qsort (job->gang_part, job->gang_part_count, sizeof job->gang_part[0],
         by_owner);
  job->gang_state = GANG_REQUESTING;
  job->gang_current_part = 0;
  job->gang_granted = 0;
  job->gang_timer_ms = core->now_ms + ELSEWHERE_CHECK_MS;
  request_part (core, job);
}

void
job_gang_begin (MuxCore *core, Job *job)
{
  if (job->gang_state != GANG_NONE)
    return;
  job->gang_state = GANG_BACKOFF;
  job->gang_timer_ms = core->now_ms;
}

/*
 * Releases what is granted and starts again after a pause.  A gang could hold
 * part of its room while it waits for the rest and another gang does the same,
 * or its owners could change meanwhile, so that part of it runs and part never
 * does.  So no task of a gang starts before all are granted; when an owner
 * refuses or is lost, or the rest takes longer than grants are valid,
 * everything is released.
 */
static void
back_off (MuxCore *core, Job *job)
{
  uint32_t doublings = min (job->gang_rounds, BACKOFF_DOUBLINGS_MAX);

  job->gang_state = GANG_BACKOFF;
  job->gang_timer_ms
      = core->now_ms + core_jitter (core, (int64_t) BACKOFF_MS << doublings);
  for (uint32_t i = 0; i < job->header.task_count; i++)
    {
      Task *task = gang_task (core, job, i);

      if (task != NULL)
        task_gang_release (core, task);
    }
}

void
jobs_gang_task_refused (MuxCore *core, Task *task, MuxReason reason)
{
  Job *job = job_find (core, task->job);

  if (job == NULL || job->gang_state != GANG_REQUESTING)
    return;
  mux_count_retry (core->counters, reason);
  if (reason == MUX_REASON_NEVER_FITS)
    set_bound (job, task->owner, job->gang_part[job->gang_current_part].tasks);
  back_off (core, job);
}

static void
record_all (MuxCore *core, Job *job)
{
  for (uint32_t i = 0; i < job->header.task_count; i++)
    {
      Task *task = gang_task (core, job, i);

      if (task != NULL)
        task_record_placement (core, task);
    }
  job->gang_state = GANG_NONE;
}

void
jobs_gang_task_granted (MuxCore *core, Task *task)
{
  Job *job = job_find (core, task->job);

  if (job == NULL || job->gang_state != GANG_REQUESTING)
    return;
  /* The time limit begins with the first grant: grants expire soon, and
   * the others must not wait beside one that is lost. */
  if (none_granted (job))
    job->gang_timer_ms = core->now_ms + HOLD_TIMEOUT_MS;
  job->gang_granted++;
  if (job->gang_granted < job->gang_part[job->gang_current_part].tasks)
    return;
  if (job->gang_current_part + 1 == job->gang_part_count)
    {
      record_all (core, job);
      return;
    }
  job->gang_current_part++;
  job->gang_granted = 0;
  request_part (core, job);
}

/*
 * Whether another owner has room for the whole gang at once.  The owner in
 * whose queue it waits may have given most of its workers to daemons that
 * joined since, or keep its room for more urgent work, while others are idle;
 * the gang would start long after its target.  Nothing of it is held yet, so it
 * can still move.
 */
static bool
room_elsewhere (MuxCore *core, const Job *job, const MuxClassSpec *spec)
{
  Candidate candidate[GANG_PARTS_MAX];
  MuxSize one = spec->size;
  uint32_t tasks = 0;
  uint32_t count;

  one.slots = 1;
  for (uint32_t i = 0; i < job->gang_part_count; i++)
    tasks += job->gang_part[i].tasks;
  count = collect_candidates (core, job, one, candidate);
  for (uint32_t i = 0; i < count; i++)
    if (min (candidate[i].tasks_now, candidate[i].tasks_when_idle) >= tasks
        && strcmp (candidate[i].name, job->gang_part[0].owner) != 0)
      return true;
  return false;
}

void
job_gang_tick (MuxCore *core, Job *job)
{
  const MuxClassSpec *spec = config_class (core, job->header.class_name);

  if (job->gang_state == GANG_NONE || core->now_ms < job->gang_timer_ms)
    return;
  if (job->gang_state == GANG_REQUESTING && none_granted (job)
      && (spec == NULL || !room_elsewhere (core, job, spec)))
    {
      job->gang_timer_ms
          = core->now_ms + core_jitter (core, ELSEWHERE_CHECK_MS);
      return;
    }
  if (job->gang_state == GANG_REQUESTING)
    {
      back_off (core, job);
      return;
    }
  job->gang_timer_ms = core->now_ms + HOLD_TIMEOUT_MS;
  if (spec != NULL && !core->stopping)
    begin_round (core, job, spec);
}
