#include "event_lines.h"
#include "render.h"
#include "report_by_size.h"
#include "report_by_workspace.h"
#include "report_sizes.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/*
 * Reports the service level of each queue per span of time, from the logs of
 * any number of daemons in any order.  A job belongs to the span in which it
 * was accepted.  A late job counts under its primary cause only: the first
 * cause in the order of late_cause() that applies, which can explain all later
 * ones.
 */

/* Size of a job's id and of a queue's name, with NUL. */
#define NAME_LEN 96
#define MS_PER_S 1000

typedef enum
{
  LATE_RUNS,     /* a run failed, was lost, or stalled */
  LATE_TAKEOVER, /* the planner changed while the job was open */
  LATE_UNHEARD,  /* it waited for workers not heard from */
  LATE_POLICY,   /* it waited mostly for approval queries */
  LATE_ROOM,     /* it waited for room */
  LATE_ESTIMATE, /* placed in time, it ran longer than declared */
  LATE_COUNT
} LateCause;

static const char *const late_names[LATE_COUNT] = {
  [LATE_RUNS] = "late_runs",       [LATE_TAKEOVER] = "late_takeover",
  [LATE_UNHEARD] = "late_unheard", [LATE_POLICY] = "late_policy",
  [LATE_ROOM] = "late_room",       [LATE_ESTIMATE] = "late_estimate",
};

typedef struct
{
  char id[NAME_LEN];
  char queue[NAME_LEN];
  int64_t accepted_ms; /* 0: not accepted, as far as logged */
  int64_t placed_ms;   /* of the first step placed; 0: none */
  int64_t ended_ms;
  int64_t took_ms;
  int64_t due_ms;
  int64_t query_ms; /* total time of its approval queries */
  int64_t work_ms;  /* declared core-time; 0: unknown */
  bool completed;
  bool failed_run;
  bool placed_late;
  bool workers_unheard;
  uint32_t refused; /* attempts */
  int64_t refused_ms;
  UT_hash_handle hh;
} Job;

typedef struct
{
  char queue[NAME_LEN];
  int64_t from_ms;
  uint32_t accepted;
  uint32_t refused;
  uint32_t in_time;
  uint32_t late[LATE_COUNT];
  uint32_t failed;
  uint32_t open;
  int64_t query_ms;
  uint32_t wait_count;
  int64_t *wait_ms;
  MuxSizedJobs sized;
} Row;

typedef struct
{
  Job *jobs;
  uint32_t takeover_count;
  int64_t *takeover_ms;
  uint32_t row_count;
  Row *row;
  int64_t begin_ms;
  int64_t span_ms;
} Report;

static Job *
job_of (Report *report, const char *id)
{
  Job *job;

  HASH_FIND_STR (report->jobs, id, job);
  if (job != NULL)
    return job;
  job = calloc (1, sizeof *job);
  if (job == NULL)
    return NULL;
  snprintf (job->id, sizeof job->id, "%s", id);
  HASH_ADD_STR (report->jobs, id, job);
  return job;
}

static bool
append_number (int64_t **list, uint32_t *count, int64_t value)
{
  int64_t *more = realloc (*list, (*count + 1) * sizeof *more);

  if (more == NULL)
    return false;
  *list = more;
  more[(*count)++] = value;
  return true;
}

static void
take_http_event (Job *job, const json_t *json, const char *event)
{
  int64_t at_ms = mux_event_number (json, "wall_ms");

  snprintf (job->queue, sizeof job->queue, "%s",
            mux_event_text (json, "queue"));
  job->work_ms = mux_event_number (json, "work_ms");
  if (strcmp (event, "refused") == 0)
    {
      job->refused++;
      if (job->refused_ms == 0 || at_ms < job->refused_ms)
        job->refused_ms = at_ms;
    }
  else if (job->accepted_ms == 0 || at_ms < job->accepted_ms)
    job->accepted_ms = at_ms;
}

static void
take_plan_event (Job *job, const json_t *json, const char *event)
{
  int64_t at_ms = mux_event_number (json, "wall_ms");
  const char *end = mux_event_text (json, "end");

  if (strcmp (event, "placed") == 0)
    {
      if (job->placed_ms == 0 || at_ms < job->placed_ms)
        job->placed_ms = at_ms;
      job->placed_late |= mux_event_number (json, "late_ms") > 0;
    }
  else if (strcmp (event, "approvals") == 0)
    job->query_ms += mux_event_number (json, "took_ms");
  else if (strcmp (event, "run_ended") == 0)
    job->failed_run
        |= strcmp (end, "failed") == 0 || strcmp (end, "lapsed") == 0;
  else if (strcmp (event, "run_still") == 0)
    job->failed_run = true;
  else if (strcmp (event, "step_waits") == 0)
    job->workers_unheard
        |= strcmp (mux_event_text (json, "lacks"), "workers_unheard") == 0;
  else if (strcmp (event, "job_ended") == 0)
    {
      job->ended_ms = at_ms;
      job->took_ms = mux_event_number (json, "took_ms");
      job->due_ms = mux_event_number (json, "due_ms");
      job->completed
          = strcmp (mux_event_text (json, "state"), "completed") == 0;
    }
}

static bool
take_line (void *user, json_t *json)
{
  Report *report = user;
  const char *event = mux_event_text (json, "event");
  const char *id = mux_event_text (json, "job");
  bool from_http
      = strcmp (event, "accepted") == 0 || strcmp (event, "refused") == 0;
  bool ok = true;
  Job *job;

  if (strcmp (event, "planner_began") == 0)
    ok = append_number (&report->takeover_ms, &report->takeover_count,
                        mux_event_number (json, "wall_ms"));
  else if (id[0] != 0)
    {
      job = job_of (report, id);
      ok = job != NULL;
      if (ok && from_http)
        take_http_event (job, json, event);
      else if (ok)
        take_plan_event (job, json, event);
    }
  json_decref (json);
  return ok;
}

static bool
planner_changed (const Report *report, const Job *job)
{
  for (uint32_t i = 0; i < report->takeover_count; i++)
    if (report->takeover_ms[i] > job->accepted_ms
        && report->takeover_ms[i] < job->ended_ms)
      return true;
  return false;
}

static LateCause
late_cause (const Report *report, const Job *job)
{
  if (planner_changed (report, job))
    return LATE_TAKEOVER;
  if (job->failed_run)
    return LATE_RUNS;
  if (!job->placed_late)
    return LATE_ESTIMATE;
  if (job->workers_unheard)
    return LATE_UNHEARD;
  if (2 * job->query_ms > job->placed_ms - job->accepted_ms)
    return LATE_POLICY;
  return LATE_ROOM;
}

static Row *
row_of (Report *report, const char *queue, int64_t at_ms)
{
  int64_t from_ms
      = report->begin_ms
        + (at_ms - report->begin_ms) / report->span_ms * report->span_ms;
  Row *row;

  for (uint32_t i = 0; i < report->row_count; i++)
    if (report->row[i].from_ms == from_ms
        && strcmp (report->row[i].queue, queue) == 0)
      return &report->row[i];
  row = realloc (report->row, (report->row_count + 1) * sizeof *row);
  if (row == NULL)
    return NULL;
  report->row = row;
  row = &row[report->row_count++];
  memset (row, 0, sizeof *row);
  snprintf (row->queue, sizeof row->queue, "%s", queue);
  row->from_ms = from_ms;
  return row;
}

static bool
count_accepted (const Report *report, Row *row, const Job *job)
{
  row->accepted++;
  row->query_ms += job->query_ms;
  if (job->ended_ms == 0)
    row->open++;
  else if (!job->completed)
    row->failed++;
  else if (job->took_ms <= job->due_ms)
    row->in_time++;
  else
    row->late[late_cause (report, job)]++;
  /* The acceptance is logged by another daemon, whose clock may be ahead. */
  return job->placed_ms == 0
         || append_number (&row->wait_ms, &row->wait_count,
                           job->placed_ms > job->accepted_ms
                               ? job->placed_ms - job->accepted_ms
                               : 0);
}

/* A job that was never accepted counts as not in time. */
static bool
count_size (Row *row, const Job *job)
{
  return job->work_ms == 0
         || mux_sized_jobs_add (&row->sized, job->work_ms,
                                job->completed && job->took_ms <= job->due_ms);
}

static bool
count_job (Report *report, const Job *job)
{
  Row *row = NULL;

  if (job->queue[0] == 0)
    return true;
  if (job->refused > 0)
    {
      row = row_of (report, job->queue, job->refused_ms);
      if (row == NULL)
        return false;
      row->refused += job->refused;
    }
  if (job->accepted_ms == 0)
    return row == NULL || count_size (row, job);
  row = row_of (report, job->queue, job->accepted_ms);
  return row != NULL && count_accepted (report, row, job)
         && count_size (row, job);
}

static int
by_number (const void *x, const void *y)
{
  const int64_t *a = x;
  const int64_t *b = y;

  return *a < *b ? -1 : *a > *b;
}

static int
by_queue_and_time (const void *x, const void *y)
{
  const Row *a = x;
  const Row *b = y;
  int names = strcmp (a->queue, b->queue);

  if (names != 0)
    return names;
  return a->from_ms < b->from_ms ? -1 : a->from_ms > b->from_ms;
}

static json_t *
percentile_json (const Row *row, uint32_t percent)
{
  if (row->wait_count == 0)
    return json_null ();
  return json_integer (row->wait_ms[(row->wait_count - 1) * percent / 100]);
}

static json_t *
row_json (const Report *report, Row *row)
{
  uint32_t takeovers = 0;
  json_t *json;

  if (row->wait_count > 0)
    qsort (row->wait_ms, row->wait_count, sizeof *row->wait_ms, by_number);
  for (uint32_t i = 0; i < report->takeover_count; i++)
    takeovers += report->takeover_ms[i] >= row->from_ms
                 && report->takeover_ms[i] < row->from_ms + report->span_ms;
  json = json_pack (
      "{s:s, s:I, s:i, s:i, s:o, s:o, s:i, s:i, s:i, s:I, s:i}", "queue",
      row->queue, "from_s",
      (json_int_t) ((row->from_ms - report->begin_ms) / MS_PER_S), "accepted",
      (int) row->accepted, "refused", (int) row->refused, "wait_p50_ms",
      percentile_json (row, 50), "wait_p90_ms", percentile_json (row, 90),
      "in_time", (int) row->in_time, "failed", (int) row->failed, "open",
      (int) row->open, "policy_ms", (json_int_t) row->query_ms, "takeovers",
      (int) takeovers);
  for (uint32_t i = 0; i < LATE_COUNT; i++)
    (void) json_object_set_new (json, late_names[i],
                                json_integer (row->late[i]));
  mux_sized_jobs_to_json (&row->sized, json);
  return json;
}

static void
print (Report *report, MuxCliCall *call)
{
  static const MuxColumn columns[] = { { "QUEUE", "queue" },
                                       { "FROM S", "from_s" },
                                       { "ACCEPTED", "accepted" },
                                       { "REFUSED", "refused" },
                                       { "P50 MS", "wait_p50_ms" },
                                       { "P90 MS", "wait_p90_ms" },
                                       { "IN TIME", "in_time" },
                                       { "LATE: RUNS", "late_runs" },
                                       { "TAKEOVER", "late_takeover" },
                                       { "UNHEARD", "late_unheard" },
                                       { "POLICY", "late_policy" },
                                       { "ROOM", "late_room" },
                                       { "ESTIMATE", "late_estimate" },
                                       { "FAILED", "failed" },
                                       { "OPEN", "open" },
                                       { "% ALL", "in_time_percent" },
                                       { "LARGEST", "largest_tenth_percent" },
                                       { "NEXT", "next_fifth_percent" },
                                       { NULL, NULL } };
  json_t *rows = json_array ();

  if (report->row_count > 0)
    qsort (report->row, report->row_count, sizeof *report->row,
           by_queue_and_time);
  for (uint32_t i = 0; i < report->row_count; i++)
    (void) json_array_append_new (rows, row_json (report, &report->row[i]));
  if (call->json)
    mux_render_json (call->host->out, rows);
  else
    mux_render_table (call->host->out, rows, columns);
  json_decref (rows);
}

/* Spans start at the first job that a daemon accepted or refused. */
static bool
count_all (Report *report)
{
  const Job *job;
  const Job *next;

  HASH_ITER (hh, report->jobs, job, next)
  {
    int64_t at_ms = job->refused_ms != 0 ? job->refused_ms : job->accepted_ms;

    if (at_ms != 0 && (report->begin_ms == 0 || at_ms < report->begin_ms))
      report->begin_ms = at_ms;
  }
  HASH_ITER (hh, report->jobs, job, next)
  if (!count_job (report, job))
    return false;
  return true;
}

static void
report_free (Report *report)
{
  Job *job;
  Job *next;

  HASH_ITER (hh, report->jobs, job, next)
  {
    HASH_DEL (report->jobs, job);
    free (job);
  }
  for (uint32_t i = 0; i < report->row_count; i++)
    {
      free (report->row[i].wait_ms);
      mux_sized_jobs_clear (&report->row[i].sized);
    }
  free (report->row);
  free (report->takeover_ms);
}

int
mux_verb_report (MuxCliCall *call)
{
  Report report = { .span_ms = call->args.number[MUX_ARG_SPAN_S] * MS_PER_S };
  int code;

  if (call->args.number[MUX_ARG_BY_SIZE] != 0)
    return mux_report_by_size (call);
  if (call->args.number[MUX_ARG_BY_WORKSPACE] != 0)
    return mux_report_by_workspace (call);
  code = mux_event_lines_read (call, take_line, &report);
  if (code == MUX_EXIT_OK && count_all (&report))
    print (&report, call);
  else if (code == MUX_EXIT_OK)
    {
      fputs ("cuminmux: out of memory\n", call->host->err);
      code = MUX_EXIT_LATER;
    }
  report_free (&report);
  return code;
}
