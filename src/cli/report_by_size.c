#include "report_by_size.h"
#include "event_lines.h"
#include "render.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/*
 * Each queue has a row for the largest tenth of its jobs by declared core-time,
 * one for the next fifth and one for the rest.  Only jobs that were accepted
 * and whose core-time is known are counted.
 */

#define NAME_LEN 96
#define PERCENT 100
#define LARGEST_DIVISOR 10
#define NEXT_DIVISOR 5

/* What a step waits for; see the planner's CELL_BLOCKED_ON_ values. */
typedef enum
{
  WAIT_TURN,    /* to be scanned */
  WAIT_QUERIER, /* a free querier for its approval query */
  WAIT_ANSWER,  /* the answer to its approval query */
  WAIT_PROOF,   /* renewed proofs of approved workers */
  WAIT_RECORD,  /* its approvals to be stored */
  WAIT_ROOM,
  WAIT_QUOTA,
  WAIT_COUNT
} WaitCause;

static const char *const wait_cause_names[WAIT_COUNT]
    = { "turn", "asker", "answer", "proof", "record", "room", "quota" };

typedef struct
{
  char id[NAME_LEN];
  char queue[NAME_LEN];
  int64_t work_ms;
  bool accepted;
  bool in_time;
  bool placed;
  int64_t queries;
  int64_t query_ms;
  int64_t workers_asked;
  int64_t approved;
  int64_t used;
  int64_t waited_ms[WAIT_COUNT];
  UT_hash_handle hh;
} Job;

typedef struct
{
  Job *jobs;
} Report;

/**
 * struct Sums - sums over the jobs of one row
 */
typedef struct
{
  uint32_t jobs;
  uint32_t in_time;
  uint32_t placed;
  int64_t queries;
  int64_t query_ms;
  int64_t workers_asked;
  int64_t approved;
  int64_t used;
  int64_t waited_ms[WAIT_COUNT];
} Sums;

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

static void
take_placed (Job *job, const json_t *json)
{
  const json_t *waited = json_object_get (json, "lacked_ms");

  job->placed = true;
  job->used += mux_event_number (json, "used");
  for (uint32_t i = 0; i < WAIT_COUNT; i++)
    job->waited_ms[i] += mux_event_number (waited, wait_cause_names[i]);
}

static void
take_event (Job *job, const json_t *json, const char *event)
{
  if (strcmp (event, "accepted") == 0)
    {
      snprintf (job->queue, sizeof job->queue, "%s",
                mux_event_text (json, "queue"));
      job->work_ms = mux_event_number (json, "work_ms");
      job->accepted = true;
    }
  else if (strcmp (event, "approvals") == 0)
    {
      job->queries++;
      job->query_ms += mux_event_number (json, "took_ms");
      job->workers_asked += mux_event_number (json, "asked");
      job->approved += mux_event_number (json, "approved");
    }
  else if (strcmp (event, "placed") == 0)
    take_placed (job, json);
  else if (strcmp (event, "job_ended") == 0)
    job->in_time = strcmp (mux_event_text (json, "state"), "completed") == 0
                   && mux_event_number (json, "took_ms")
                          <= mux_event_number (json, "due_ms");
}

static bool
take_line (void *user, json_t *json)
{
  Report *report = user;
  const char *id = mux_event_text (json, "job");
  bool ok = true;
  Job *job;

  if (id[0] != 0)
    {
      job = job_of (report, id);
      ok = job != NULL;
      if (ok)
        take_event (job, json, mux_event_text (json, "event"));
    }
  json_decref (json);
  return ok;
}

static bool
is_counted (const Job *job)
{
  return job->accepted && job->work_ms > 0;
}

/* By queue, the largest first; jobs that are not counted come last. */
static int
by_queue_and_size (Job *a, Job *b)
{
  int order = strcmp (a->queue, b->queue);

  if (is_counted (a) != is_counted (b))
    return is_counted (a) ? -1 : 1;
  if (order != 0)
    return order;
  return a->work_ms > b->work_ms ? -1 : a->work_ms < b->work_ms;
}

static uint32_t
queue_length (const Job *first)
{
  uint32_t n = 0;

  for (const Job *job = first; job != NULL && is_counted (job)
                               && strcmp (job->queue, first->queue) == 0;
       job = job->hh.next)
    n++;
  return n;
}

static void
add (Sums *sums, const Job *job)
{
  sums->jobs++;
  sums->in_time += job->in_time;
  sums->placed += job->placed;
  sums->queries += job->queries;
  sums->query_ms += job->query_ms;
  sums->workers_asked += job->workers_asked;
  sums->approved += job->approved;
  sums->used += job->used;
  for (uint32_t i = 0; i < WAIT_COUNT; i++)
    sums->waited_ms[i] += job->waited_ms[i];
}

static json_t *
row_json (const char *queue, const char *size, const Sums *sums)
{
  json_int_t jobs = sums->jobs;
  json_int_t placed = sums->placed > 0 ? sums->placed : 1;
  json_t *row = json_pack (
      "{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "queue", queue,
      "size", size, "jobs", jobs, "in_time_percent",
      (json_int_t) sums->in_time * PERCENT / jobs, "never_placed",
      jobs - sums->placed, "questions", (json_int_t) sums->queries, "asking_ms",
      (json_int_t) sums->query_ms / jobs, "names",
      (json_int_t) sums->workers_asked / jobs, "approved",
      (json_int_t) sums->approved / jobs, "used",
      (json_int_t) sums->used / placed);

  for (uint32_t i = 0; i < WAIT_COUNT; i++)
    (void) json_object_set_new (
        row, wait_cause_names[i],
        json_integer ((json_int_t) sums->waited_ms[i] / placed));
  return row;
}

static const Job *
add_row (json_t *rows, const char *size, const Job *job, uint32_t count)
{
  Sums sums = { 0 };
  const char *queue = job != NULL ? job->queue : "";

  for (uint32_t i = 0; i < count; i++, job = job->hh.next)
    add (&sums, job);
  if (count > 0)
    (void) json_array_append_new (rows, row_json (queue, size, &sums));
  return job;
}

static json_t *
rows_json (Report *report)
{
  json_t *rows = json_array ();
  const Job *job;

  HASH_SORT (report->jobs, by_queue_and_size);
  job = report->jobs;
  while (job != NULL && is_counted (job))
    {
      uint32_t count = queue_length (job);
      uint32_t largest = count / LARGEST_DIVISOR;
      uint32_t next = count / NEXT_DIVISOR;

      job = add_row (rows, "largest tenth", job, largest);
      job = add_row (rows, "next fifth", job, next);
      job = add_row (rows, "rest", job, count - largest - next);
    }
  return rows;
}

static void
print (Report *report, MuxCliCall *call)
{
  static const MuxColumn columns[] = { { "QUEUE", "queue" },
                                       { "SIZE", "size" },
                                       { "JOBS", "jobs" },
                                       { "% IN TIME", "in_time_percent" },
                                       { "NEVER PLACED", "never_placed" },
                                       { "QUESTIONS", "questions" },
                                       { "ASKING MS", "asking_ms" },
                                       { "NAMES", "names" },
                                       { "APPROVED", "approved" },
                                       { "USED", "used" },
                                       { "LACKED: TURN", "turn" },
                                       { "ASKER", "asker" },
                                       { "ANSWER", "answer" },
                                       { "PROOF", "proof" },
                                       { "RECORD", "record" },
                                       { "ROOM", "room" },
                                       { "QUOTA", "quota" },
                                       { NULL, NULL } };
  json_t *rows = rows_json (report);

  if (call->json)
    mux_render_json (call->host->out, rows);
  else
    mux_render_table (call->host->out, rows, columns);
  json_decref (rows);
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
}

int
mux_report_by_size (MuxCliCall *call)
{
  Report report = { .jobs = NULL };
  int code = mux_event_lines_read (call, take_line, &report);

  if (code == MUX_EXIT_OK)
    print (&report, call);
  report_free (&report);
  return code;
}
