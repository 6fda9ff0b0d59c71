#include "config.h"
#include "jobs_private.h"
#include "member.h"

#include <stdlib.h>
#include <string.h>

/* With one place of a gang held, the rest must be granted within this time;
 * it is less than the life of a grant. */
#define HOLD_MS 2000
/* Between looks of a gang that waits at its first owner for another that has
 * room at once. */
#define ELSEWHERE_MS 2000
/* First pause before a gang asks anew; it doubles. */
#define AGAIN_MS 250
#define DOUBLINGS_MAX 5
/* After an owner said that it can never hold its part, it is asked for this
 * many eighths of it. */
#define LESS_EIGHTHS 6

/* An owner that may take part of a gang. */
typedef struct
{
  const char *name;
  bool near;
  uint32_t could; /* tasks that it could hold when idle */
  uint32_t now;   /* tasks that it could hold now */
} Candidate;

/*
 * Failure: a gang's home dies when only some of its tasks are recorded as
 * placed.  Its new home would ask for the rest as a gang of the whole size,
 * which never gets complete, and the job hangs.  The rest of a gang that is
 * placed in part asks one by one.
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
ratio (uint32_t total, uint32_t one)
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
  uint32_t count = min (ratio (total.cpu_milli, one.cpu_milli),
                        ratio (total.mem_mib, one.mem_mib));

  return min (count, min (ratio (total.accels, one.accels), total.slots));
}

/* What an owner said of itself bounds what the totals promise: room that is
 * spread over its workers may hold less than their sum. */
static uint32_t
bounded (const Job *job, const char *owner, uint32_t could)
{
  for (uint32_t i = 0; i < job->gang_bound_count; i++)
    if (strcmp (job->gang_bound[i].owner, owner) == 0)
      return min (could, job->gang_bound[i].tasks);
  return could;
}

static void
bound_owner (Job *job, const char *owner, uint32_t tasks)
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
  bound->tasks = tasks * LESS_EIGHTHS / 8;
}

static uint32_t
gather (MuxCore *core, const Job *job, MuxSize one, Candidate *out)
{
  MuxSchedStats stats = mux_sched_stats (core->sched, core->now_ms);
  uint32_t count = 0;

  out[count++] = (Candidate){
    .name = core->name,
    .near = true,
    .could = bounded (job, core->name, count_fitting (one, stats.total)),
    .now = count_fitting (one, stats.available),
  };
  for (const Member *m = core->members; m != NULL && count < GANG_PARTS_MAX;
       m = m->hh.next)
    if (member_usable (m))
      out[count++] = (Candidate){
        .name = m->name,
        .near = m->local,
        .could = bounded (job, m->name, count_fitting (one, m->total)),
        .now = count_fitting (one, m->free),
      };
  return count;
}

/* Most room now first, then most room at all, near ones before far ones. */
static int
by_room (const void *a, const void *b)
{
  const Candidate *x = a;
  const Candidate *y = b;

  if (x->now != y->now)
    return x->now > y->now ? -1 : 1;
  if (x->could != y->could)
    return x->could > y->could ? -1 : 1;
  if (x->near != y->near)
    return x->near ? -1 : 1;
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

/* One owner that can hold all if there is one; else as few as it takes. */
static bool
split (MuxCore *core, Job *job, MuxSize one, uint32_t tasks)
{
  Candidate candidate[GANG_PARTS_MAX];
  uint32_t count = gather (core, job, one, candidate);
  uint32_t left = tasks;

  job->gang_part_count = 0;
  qsort (candidate, count, sizeof candidate[0], by_room);
  for (uint32_t i = 0; i < count; i++)
    if (candidate[i].could >= tasks)
      {
        add_part (job, &candidate[i], tasks);
        return true;
      }
  for (uint32_t i = 0; i < count && left > 0; i++)
    {
      uint32_t n = min (left, candidate[i].could);

      if (n > 0)
        add_part (job, &candidate[i], n);
      left -= n;
    }
  if (left > 0)
    job->gang_part_count = 0;
  return left == 0;
}

static bool
none_held (const Job *job)
{
  return job->gang_current_part == 0 && job->gang_granted == 0;
}

/* The gang's tasks that wait to be placed, in the order of their numbers. */
static Task *
gang_task (MuxCore *core, const Job *job, uint32_t index)
{
  Task *task;

  if (job->slots[index].state != SLOT_NEW || !job->slots[index].has_task)
    return NULL;
  task = task_find (core, mux_id_of_part (job->id, index));
  return task != NULL && task->in_gang ? task : NULL;
}

static void
ask_part (MuxCore *core, Job *job)
{
  uint32_t now = job->gang_current_part;
  GangPart *part = &job->gang_part[now];
  MuxId group = mux_id_of_part (
      job->id, MUX_JOB_TASKS_MAX + job->gang_rounds * GANG_PARTS_MAX + now + 1);

  for (uint32_t i = part->first_task; i < job->header.task_count; i++)
    {
      Task *task = gang_task (core, job, i);

      if (task == NULL)
        continue;
      /* Room that is still booked from before is granted at once, and the last
       * grant of a part has the next one asked, from its first task on. */
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
      job->gang_timer_ms = core->now_ms + core_jitter (core, HOLD_MS);
      job->gang_bound_count = 0;
      return;
    }
  /* Always in the order of the owners' names, so that two gangs that each
   * hold a part never wait for the other's in a ring. */
  qsort (job->gang_part, job->gang_part_count, sizeof job->gang_part[0],
         by_owner);
  job->gang_state = GANG_REQUESTING;
  job->gang_current_part = 0;
  job->gang_granted = 0;
  job->gang_timer_ms = core->now_ms + ELSEWHERE_MS;
  ask_part (core, job);
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
 * Failure: a gang gets part of its places and waits for the rest while
 * another does the same, or its owners change in between, so that part of it
 * runs and part never does.  Nothing of a gang starts before all of it is
 * held; when an owner refuses, is lost, or the rest takes longer than grants
 * live, everything held is given back and the gang asks anew.
 */
static void
again (MuxCore *core, Job *job)
{
  uint32_t doublings = min (job->gang_rounds, DOUBLINGS_MAX);

  job->gang_state = GANG_BACKOFF;
  job->gang_timer_ms
      = core->now_ms + core_jitter (core, (int64_t) AGAIN_MS << doublings);
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
    bound_owner (job, task->owner,
                 job->gang_part[job->gang_current_part].tasks);
  again (core, job);
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
  /* From the first place on the clock runs: grants do not live long, and a
   * lost one must not leave the others waiting beside it. */
  if (none_held (job))
    job->gang_timer_ms = core->now_ms + HOLD_MS;
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
  ask_part (core, job);
}

/*
 * Failure: a gang waits in an owner's queue, and that owner has given most of
 * its workers to daemons that came since, or keeps what it has for urgent
 * work.  Others stand idle, and the gang starts when its promise is long over.
 * Nothing of it is held yet, so it can still go to them.
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
  count = gather (core, job, one, candidate);
  for (uint32_t i = 0; i < count; i++)
    if (min (candidate[i].now, candidate[i].could) >= tasks
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
  if (job->gang_state == GANG_REQUESTING && none_held (job)
      && (spec == NULL || !room_elsewhere (core, job, spec)))
    {
      job->gang_timer_ms = core->now_ms + core_jitter (core, ELSEWHERE_MS);
      return;
    }
  if (job->gang_state == GANG_REQUESTING)
    {
      again (core, job);
      return;
    }
  job->gang_timer_ms = core->now_ms + HOLD_MS;
  if (spec != NULL && !core->stopping)
    begin_round (core, job, spec);
}
