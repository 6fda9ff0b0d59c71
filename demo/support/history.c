#include "demo/support/history_data.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *
mux_rule_name (MuxRule rule)
{
  static const char *const names[MUX_RULE_COUNT]
      = { "log",          "ran_twice",   "two_places",     "overcommit",
          "wrong_answer", "not_run_ran", "done_never_ran", "job_open",
          "leaving",      "config_lost", "config_back" };

  return names[rule];
}

void *
mux_list_add (List *list)
{
  char *item;

  if (list->count == list->room)
    {
      uint32_t room = list->room == 0 ? 64 : list->room * 2;
      void *items = realloc (list->items, (size_t) room * list->item_size);

      if (items == NULL)
        {
          fprintf (stderr, "history: memory is out\n");
          abort ();
        }
      list->items = items;
      list->room = room;
    }
  item = (char *) list->items + (size_t) list->count++ * list->item_size;
  return memset (item, 0, list->item_size);
}

void *
mux_list_at (const List *list, uint32_t index)
{
  return (char *) list->items + (size_t) index * list->item_size;
}

void
mux_history_break (MuxHistory *history, MuxRule rule, const char *format, ...)
{
  MuxHistoryReport *report = &history->report;
  char *text;
  va_list args;
  int n;

  report->broken[rule]++;
  if (report->finding_count == MUX_HISTORY_FINDINGS)
    return;
  text = report->finding[report->finding_count++];
  n = snprintf (text, MUX_ERROR_TEXT_LEN, "%s: ", mux_rule_name (rule));
  va_start (args, format);
  vsnprintf (text + n, MUX_ERROR_TEXT_LEN - (size_t) n, format, args);
  va_end (args);
}

MuxHistory *
mux_history_new (void)
{
  MuxHistory *history = calloc (1, sizeof *history);

  if (history == NULL)
    return NULL;
  history->executions.item_size = sizeof (Execution);
  history->calls.item_size = sizeof (Call);
  history->jobs.item_size = sizeof (Job);
  history->workers.item_size = sizeof (Worker);
  history->deaths.item_size = sizeof (Death);
  history->changes.item_size = sizeof (Change);
  history->kept.item_size = sizeof (Kept);
  history->shown.item_size = sizeof (Shown);
  return history;
}

void
mux_history_free (MuxHistory *history)
{
  if (history == NULL)
    return;
  free (history->executions.items);
  free (history->calls.items);
  free (history->jobs.items);
  free (history->workers.items);
  free (history->deaths.items);
  free (history->changes.items);
  free (history->kept.items);
  free (history->shown.items);
  free (history);
}

Worker *
mux_history_find_worker (const MuxHistory *history, const char *name)
{
  for (uint32_t i = 0; i < history->workers.count; i++)
    {
      Worker *worker = mux_list_at (&history->workers, i);

      if (strcmp (worker->name, name) == 0)
        return worker;
    }
  return NULL;
}

void
mux_history_worker (MuxHistory *history, const char *name, MuxSize capacity)
{
  Worker *worker = mux_list_add (&history->workers);

  mux_name_copy (worker->name, name);
  worker->capacity = capacity;
  worker->leaving_ms = STILL_RUNNING;
}

/* A text field of @json; false when it is missing or does not fit. */
bool
mux_history_get_text (const json_t *json,
                      const char *name,
                      char *out,
                      size_t cap)
{
  const char *text = json_string_value (json_object_get (json, name));

  if (text == NULL || strlen (text) >= cap)
    return false;
  memcpy (out, text, strlen (text) + 1);
  return true;
}

bool
mux_history_get_integer (const json_t *json, const char *name, int64_t *out)
{
  const json_t *value = json_object_get (json, name);

  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *out = json_integer_value (value);
  return true;
}

static bool
get_u32 (const json_t *json, const char *name, uint32_t *out)
{
  int64_t value;

  if (!mux_history_get_integer (json, name, &value) || value > UINT32_MAX)
    return false;
  *out = (uint32_t) value;
  return true;
}

static bool
get_size (const json_t *json, MuxSize *out)
{
  const json_t *size = json_object_get (json, "size");

  return get_u32 (size, "cpu_milli", &out->cpu_milli)
         && get_u32 (size, "mem_mib", &out->mem_mib)
         && get_u32 (size, "accels", &out->accels)
         && get_u32 (size, "slots", &out->slots);
}

/* The monotonic clock is one for all processes of a machine and never set. */
static bool
get_time (const json_t *json, int64_t *out)
{
  return mux_history_get_integer (json, "mono_ms", out)
         || mux_history_get_integer (json, "t_ms", out);
}

static bool
read_request (MuxHistory *history, const json_t *json)
{
  Call *call = mux_list_add (&history->calls);
  const json_t *idempotent = json_object_get (json, "idempotent");
  int64_t number;

  if (!mux_history_get_integer (json, "call", &number)
      || !json_is_boolean (idempotent))
    return false;
  call->call = (uint64_t) number;
  call->idempotent = json_is_true (idempotent);
  return mux_history_get_text (json, "class", call->class_name,
                               sizeof call->class_name)
         && mux_history_get_text (json, "key", call->key, sizeof call->key)
         && mux_history_get_text (json, "outcome", call->outcome,
                                  sizeof call->outcome)
         && mux_history_get_text (json, "task", call->task, sizeof call->task)
         && mux_history_get_text (json, "body_hash", call->body_hash, HASH_LEN)
         && mux_history_get_text (json, "answer_hash", call->answer_hash,
                                  HASH_LEN)
         && mux_history_get_text (json, "expect_hash", call->expect_hash,
                                  HASH_LEN);
}

static bool
read_job (MuxHistory *history, const json_t *json)
{
  Job *job = mux_list_add (&history->jobs);

  return mux_history_get_text (json, "job", job->job, sizeof job->job)
         && mux_history_get_text (json, "class", job->class_name,
                                  sizeof job->class_name)
         && mux_history_get_text (json, "body_hash", job->body_hash, HASH_LEN)
         && get_u32 (json, "tasks", &job->tasks);
}

static bool
read_job_end (MuxHistory *history, const json_t *json)
{
  char id[MUX_ID_HEX_LEN];

  if (!mux_history_get_text (json, "job", id, sizeof id))
    return false;
  for (uint32_t i = 0; i < history->jobs.count; i++)
    {
      Job *job = mux_list_at (&history->jobs, i);

      if (strcmp (job->job, id) == 0)
        return mux_history_get_text (json, "state", job->state,
                                     sizeof job->state);
    }
  return false;
}

static Worker *
named_worker (const MuxHistory *history, const json_t *json)
{
  char name[MUX_NAME_LEN];

  if (!mux_history_get_text (json, "worker", name, sizeof name))
    return NULL;
  return mux_history_find_worker (history, name);
}

static bool
read_died (MuxHistory *history, const json_t *json)
{
  const Worker *worker = named_worker (history, json);
  Death *death = mux_list_add (&history->deaths);

  death->worker = worker == NULL ? "" : worker->name;
  return worker != NULL && get_time (json, &death->at_ms);
}

static bool
read_leaving (MuxHistory *history, const json_t *json)
{
  Worker *worker = named_worker (history, json);

  return worker != NULL && get_time (json, &worker->leaving_ms);
}

static bool
read_call (MuxHistory *history, const json_t *json)
{
  char event[16];

  if (!mux_history_get_text (json, "event", event, sizeof event))
    return false;
  if (strcmp (event, "request") == 0)
    return read_request (history, json);
  if (strcmp (event, "job") == 0)
    return read_job (history, json);
  if (strcmp (event, "job_end") == 0)
    return read_job_end (history, json);
  if (strcmp (event, "died") == 0)
    return read_died (history, json);
  if (strcmp (event, "leaving") == 0)
    return read_leaving (history, json);
  return mux_history_config (history, event, json);
}

static bool
read_start (MuxHistory *history, const json_t *json)
{
  Execution *run = mux_list_add (&history->executions);
  int64_t incarnation;

  if (!mux_history_get_integer (json, "incarnation", &incarnation))
    return false;
  run->incarnation = (uint64_t) incarnation;
  run->end_ms = STILL_RUNNING;
  run->start_line = history->lines;
  run->end_line = NO_LINE;
  return mux_history_get_text (json, "task", run->task, sizeof run->task)
         && mux_history_get_text (json, "worker", run->worker,
                                  sizeof run->worker)
         && mux_history_get_text (json, "class", run->class_name,
                                  sizeof run->class_name)
         && mux_history_get_text (json, "body_hash", run->body_hash, HASH_LEN)
         && get_size (json, &run->size) && get_time (json, &run->start_ms);
}

/* The latest open start of this task at this life of this worker. */
static Execution *
find_open (const MuxHistory *history,
           const char *task,
           const char *worker,
           uint64_t incarnation)
{
  for (uint32_t i = history->executions.count; i > 0; i--)
    {
      Execution *run = mux_list_at (&history->executions, i - 1);

      if (run->end_ms == STILL_RUNNING && run->incarnation == incarnation
          && strcmp (run->task, task) == 0 && strcmp (run->worker, worker) == 0)
        return run;
    }
  return NULL;
}

static bool
read_end (MuxHistory *history, const json_t *json)
{
  char task[MUX_ID_HEX_LEN];
  char worker[MUX_NAME_LEN];
  char state[16];
  int64_t incarnation;
  Execution *run;

  if (!mux_history_get_text (json, "task", task, sizeof task)
      || !mux_history_get_text (json, "worker", worker, sizeof worker)
      || !mux_history_get_text (json, "state", state, sizeof state)
      || !mux_history_get_integer (json, "incarnation", &incarnation))
    return false;
  run = find_open (history, task, worker, (uint64_t) incarnation);
  if (run == NULL || !get_time (json, &run->end_ms))
    return false;
  run->end_line = history->lines;
  run->done = strcmp (state, "done") == 0;
  return !run->done
         || mux_history_get_text (json, "answer_hash", run->answer_hash,
                                  HASH_LEN);
}

static bool
read_work (MuxHistory *history, const json_t *json)
{
  char event[32];

  if (!mux_history_get_text (json, "event", event, sizeof event))
    return false;
  if (strcmp (event, "start") == 0)
    return read_start (history, json);
  if (strcmp (event, "end") == 0)
    return read_end (history, json);
  return true;
}

static void
read_lines (MuxHistory *history,
            const char *text,
            size_t len,
            bool (*read) (MuxHistory *history, const json_t *json))
{
  const char *end = text + len;
  const char *newline;

  for (; (newline = memchr (text, '\n', (size_t) (end - text))) != NULL;
       text = newline + 1)
    {
      json_t *json = json_loadb (text, (size_t) (newline - text), 0, NULL);

      history->lines++;
      if (!json_is_object (json) || !read (history, json))
        mux_history_break (history, MUX_RULE_LOG, "%.*s",
                           (int) (newline - text), text);
      json_decref (json);
    }
}

void
mux_history_calls (MuxHistory *history, const char *text, size_t len)
{
  read_lines (history, text, len, read_call);
}

void
mux_history_work (MuxHistory *history, const char *text, size_t len)
{
  read_lines (history, text, len, read_work);
}
