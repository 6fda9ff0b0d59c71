#include "demo/support/history_data.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define BODY_KEY_LEN (MUX_NAME_LEN + HASH_LEN)

/* Executions that share a text, by number; the text is what is looked for. */
typedef struct
{
  char text[BODY_KEY_LEN];
  List runs; /* of uint32_t */
  UT_hash_handle hh;
} Group;

typedef struct
{
  MuxHistory *history;
  Group *by_task;
  Group *by_body;
} Index;

static const Execution *
run_at (const MuxHistory *history, uint32_t index)
{
  return mux_list_at (&history->executions, index);
}

static void
body_key (char out[BODY_KEY_LEN], const char *class_name, const char *hash)
{
  snprintf (out, BODY_KEY_LEN, "%s %s", class_name, hash);
}

static void
group_add (Group **groups, const char *text, uint32_t run)
{
  Group *group;

  HASH_FIND_STR (*groups, text, group);
  if (group == NULL)
    {
      group = calloc (1, sizeof *group);
      if (group == NULL)
        abort ();
      snprintf (group->text, sizeof group->text, "%s", text);
      group->runs.item_size = sizeof (uint32_t);
      HASH_ADD_STR (*groups, text, group);
    }
  *(uint32_t *) mux_list_add (&group->runs) = run;
}

static void
groups_free (Group **groups)
{
  Group *group;
  Group *next;

  HASH_ITER (hh, *groups, group, next)
  {
    HASH_DEL (*groups, group);
    free (group->runs.items);
    free (group);
  }
}

static uint32_t
group_count (Group *groups, const char *text)
{
  Group *group;

  HASH_FIND_STR (groups, text, group);
  return group == NULL ? 0 : group->runs.count;
}

static const Execution *
group_run (const MuxHistory *history, const Group *group, uint32_t index)
{
  return run_at (history, *(uint32_t *) mux_list_at (&group->runs, index));
}

/* A worker's death, or its next life, ends what its log left open. */
static void
close_open (MuxHistory *history)
{
  for (uint32_t i = 0; i < history->executions.count; i++)
    {
      Execution *run = mux_list_at (&history->executions, i);
      const Worker *worker;

      if (run->end_ms != STILL_RUNNING)
        continue;
      worker = mux_history_find_worker (history, run->worker);
      for (uint32_t j = 0; worker != NULL && j < history->deaths.count; j++)
        {
          const Death *death = mux_list_at (&history->deaths, j);

          if (strcmp (death->worker, worker->name) == 0
              && death->at_ms >= run->start_ms && death->at_ms < run->end_ms)
            run->end_ms = death->at_ms;
        }
      for (uint32_t j = i + 1; j < history->executions.count; j++)
        {
          const Execution *later = run_at (history, j);

          if (strcmp (later->worker, run->worker) != 0
              || later->incarnation == run->incarnation)
            continue;
          if (later->start_ms < run->end_ms)
            run->end_ms = later->start_ms;
          run->end_line = later->start_line;
          break;
        }
    }
}

static void
check_two_places (const Index *index)
{
  Group *group;
  Group *next;

  HASH_ITER (hh, index->by_task, group, next)
  for (uint32_t i = 0; i < group->runs.count; i++)
    for (uint32_t j = i + 1; j < group->runs.count; j++)
      {
        const Execution *a = group_run (index->history, group, i);
        const Execution *b = group_run (index->history, group, j);

        if (a->start_ms < b->end_ms && b->start_ms < a->end_ms)
          mux_history_break (index->history, MUX_RULE_TWO_PLACES,
                             "task %s at %s and %s", group->text, a->worker,
                             b->worker);
      }
}

typedef struct
{
  uint64_t line;
  bool start;
  const Execution *run;
} Edge;

/* By the order of the worker's own log, which has no ties but one: a new
 * life's first start ends all that the old life left open. */
static int
edge_order (const void *a, const void *b)
{
  const Edge *x = a;
  const Edge *y = b;

  if (x->line != y->line)
    return x->line < y->line ? -1 : 1;
  return (int) x->start - (int) y->start;
}

static void
held_change (int64_t held[4], const Edge *edge)
{
  int64_t sign = edge->start ? 1 : -1;

  held[0] += sign * edge->run->size.cpu_milli;
  held[1] += sign * edge->run->size.mem_mib;
  held[2] += sign * edge->run->size.accels;
  held[3] += sign * edge->run->size.slots;
}

static void
check_worker_room (MuxHistory *history, const Worker *worker)
{
  const MuxSize *room = &worker->capacity;
  List edges = { .item_size = sizeof (Edge) };
  int64_t held[4] = { 0 };

  for (uint32_t i = 0; i < history->executions.count; i++)
    {
      const Execution *run = run_at (history, i);

      if (strcmp (run->worker, worker->name) != 0)
        continue;
      *(Edge *) mux_list_add (&edges) = (Edge){ run->start_line, true, run };
      *(Edge *) mux_list_add (&edges) = (Edge){ run->end_line, false, run };
    }
  if (edges.count > 0)
    qsort (edges.items, edges.count, sizeof (Edge), edge_order);
  for (uint32_t i = 0; i < edges.count; i++)
    {
      const Edge *edge = mux_list_at (&edges, i);

      held_change (held, edge);
      if (!edge->start
          || (held[0] <= room->cpu_milli && held[1] <= room->mem_mib
              && held[2] <= room->accels && held[3] <= room->slots))
        continue;
      mux_history_break (
          history, MUX_RULE_OVERCOMMIT,
          "%s at %lld ms holds cpu %lld mem %lld accels %lld slots %lld",
          worker->name, (long long) edge->run->start_ms, (long long) held[0],
          (long long) held[1], (long long) held[2], (long long) held[3]);
    }
  free (edges.items);
}

static void
check_room (MuxHistory *history)
{
  for (uint32_t i = 0; i < history->workers.count; i++)
    check_worker_room (history, mux_list_at (&history->workers, i));
  for (uint32_t i = 0; i < history->executions.count; i++)
    if (mux_history_find_worker (history, run_at (history, i)->worker) == NULL)
      mux_history_break (history, MUX_RULE_LOG, "unknown worker %s",
                         run_at (history, i)->worker);
}

static void
check_leaving (MuxHistory *history)
{
  for (uint32_t i = 0; i < history->executions.count; i++)
    {
      const Execution *run = run_at (history, i);
      const Worker *worker = mux_history_find_worker (history, run->worker);

      if (worker != NULL && worker->leaving_ms != STILL_RUNNING
          && run->start_ms > worker->leaving_ms + MUX_LEAVING_GRACE_MS)
        mux_history_break (history, MUX_RULE_LEAVING,
                           "%s started %s %lld ms after its drain", run->worker,
                           run->task,
                           (long long) (run->start_ms - worker->leaving_ms));
    }
}

static void
check_done (const Index *index, const Call *call)
{
  const Execution *done = NULL;
  Group *group;

  HASH_FIND_STR (index->by_task, call->task, group);
  for (uint32_t i = 0; group != NULL && i < group->runs.count; i++)
    if (group_run (index->history, group, i)->done)
      done = group_run (index->history, group, i);
  if (done == NULL)
    {
      mux_history_break (
          index->history, MUX_RULE_DONE_NEVER_RAN, "call %llu key %s task %s",
          (unsigned long long) call->call, call->key, call->task);
      return;
    }
  if (strcmp (call->answer_hash, call->expect_hash) != 0
      || strcmp (call->answer_hash, done->answer_hash) != 0
      || strcmp (call->body_hash, done->body_hash) != 0
      || strcmp (call->class_name, done->class_name) != 0)
    mux_history_break (index->history, MUX_RULE_WRONG_ANSWER,
                       "call %llu key %s task %s",
                       (unsigned long long) call->call, call->key, call->task);
}

/* Submissions of one body, and whether any may have run it. */
typedef struct
{
  char text[BODY_KEY_LEN];
  const Call *first;
  bool may_have_run;
  UT_hash_handle hh;
} Work;

static Work *
work_of (Work **works, const Call *call)
{
  char text[BODY_KEY_LEN];
  Work *work;

  body_key (text, call->class_name, call->body_hash);
  HASH_FIND_STR (*works, text, work);
  if (work != NULL)
    return work;
  work = calloc (1, sizeof *work);
  if (work == NULL)
    abort ();
  memcpy (work->text, text, sizeof text);
  work->first = call;
  HASH_ADD_STR (*works, text, work);
  return work;
}

static void
check_work (const Index *index, const Work *work)
{
  uint32_t starts = group_count (index->by_body, work->text);

  if (starts > 1 && !work->first->idempotent)
    mux_history_break (index->history, MUX_RULE_RAN_TWICE,
                       "key %s of %s executed %u times", work->first->key,
                       work->first->class_name, starts);
  if (starts > 0 && !work->may_have_run)
    mux_history_break (index->history, MUX_RULE_NOT_RUN_RAN,
                       "key %s of %s: every submission told not_run",
                       work->first->key, work->first->class_name);
}

/* not_run covers one submission: the attempt that it names, if any, never
 * runs; and a body all of whose submissions were told not_run never does. */
static void
check_calls (const Index *index)
{
  MuxHistory *history = index->history;
  Work *works = NULL;
  Work *work;
  Work *next;

  for (uint32_t i = 0; i < history->calls.count; i++)
    {
      const Call *call = mux_list_at (&history->calls, i);

      work = work_of (&works, call);
      if (strcmp (call->outcome, "done") == 0)
        check_done (index, call);
      if (strcmp (call->outcome, "not_run") != 0)
        work->may_have_run = true;
      else if (call->task[0] != 0
               && group_count (index->by_task, call->task) > 0)
        mux_history_break (history, MUX_RULE_NOT_RUN_RAN, "call %llu task %s",
                           (unsigned long long) call->call, call->task);
    }
  for (work = works; work != NULL; work = next)
    {
      next = work->hh.next;
      check_work (index, work);
      HASH_DEL (works, work);
      free (work);
    }
}

static void
check_jobs (const Index *index)
{
  MuxHistory *history = index->history;

  for (uint32_t i = 0; i < history->jobs.count; i++)
    {
      const Job *job = mux_list_at (&history->jobs, i);
      char text[BODY_KEY_LEN];
      uint32_t done = 0;
      Group *group;

      if (strcmp (job->state, "failed") == 0
          || strcmp (job->state, "cancelled") == 0)
        continue;
      if (strcmp (job->state, "done") != 0)
        {
          mux_history_break (history, MUX_RULE_JOB_OPEN, "job %s is \"%s\"",
                             job->job, job->state);
          continue;
        }
      body_key (text, job->class_name, job->body_hash);
      HASH_FIND_STR (index->by_body, text, group);
      for (uint32_t j = 0; group != NULL && j < group->runs.count; j++)
        done += group_run (history, group, j)->done;
      if (done < job->tasks)
        mux_history_break (history, MUX_RULE_DONE_NEVER_RAN,
                           "job %s: %u of %u tasks ran to their end", job->job,
                           done, job->tasks);
    }
}

bool
mux_history_check (MuxHistory *history, MuxHistoryReport *report)
{
  Index index = { history, NULL, NULL };
  bool clean = true;

  close_open (history);
  for (uint32_t i = 0; i < history->executions.count; i++)
    {
      const Execution *run = run_at (history, i);
      char text[BODY_KEY_LEN];

      group_add (&index.by_task, run->task, i);
      body_key (text, run->class_name, run->body_hash);
      group_add (&index.by_body, text, i);
    }
  check_two_places (&index);
  check_room (history);
  check_leaving (history);
  check_calls (&index);
  check_jobs (&index);
  mux_history_check_config (history);
  groups_free (&index.by_task);
  groups_free (&index.by_body);
  history->report.calls = history->calls.count;
  history->report.starts = history->executions.count;
  *report = history->report;
  for (uint32_t i = 0; i < MUX_RULE_COUNT; i++)
    if (report->broken[i] > 0)
      clean = false;
  return clean;
}
