#include "report_by_workspace.h"
#include "event_lines.h"
#include "render.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Workspaces shown; the others are summed up in one more row. */
#define ROWS_MAX 30
#define NAME_LEN 96
#define PERCENT 100

/**
 * struct Workspace - service level of one workspace
 * @accepted: jobs accepted
 * @refused: attempts to submit a job that were refused
 * @ended: accepted jobs that ended
 * @in_time: jobs completed within the promised time
 * @placed: steps placed
 * @quota_ms: total time that these steps waited for quota
 */
typedef struct
{
  char name[NAME_LEN];
  uint32_t accepted;
  uint32_t refused;
  uint32_t ended;
  uint32_t in_time;
  uint32_t placed;
  int64_t quota_ms;
  UT_hash_handle hh;
} Workspace;

typedef struct
{
  char id[NAME_LEN];
  Workspace *workspace;
  UT_hash_handle hh;
} Job;

typedef struct
{
  Workspace *workspaces;
  Job *jobs;
} Report;

/* Returns NULL if out of memory, like job_of(). */
static Workspace *
workspace_of (Report *report, const char *name)
{
  Workspace *workspace;

  HASH_FIND_STR (report->workspaces, name, workspace);
  if (workspace != NULL)
    return workspace;
  workspace = calloc (1, sizeof *workspace);
  if (workspace == NULL)
    return NULL;
  snprintf (workspace->name, sizeof workspace->name, "%s", name);
  HASH_ADD_STR (report->workspaces, name, workspace);
  return workspace;
}

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

/* Returns false if out of memory. */
static bool
take_response (Report *report, Job *job, const json_t *json, bool accepted)
{
  Workspace *workspace
      = workspace_of (report, mux_event_text (json, "workspace"));

  if (workspace == NULL)
    return false;
  /* A job that is submitted again is logged as accepted again. */
  if (accepted && job->workspace == NULL)
    {
      workspace->accepted++;
      job->workspace = workspace;
    }
  workspace->refused += !accepted;
  return true;
}

static void
take_end (Workspace *workspace, const json_t *json)
{
  workspace->ended++;
  workspace->in_time
      += strcmp (mux_event_text (json, "state"), "completed") == 0
         && mux_event_number (json, "took_ms")
                <= mux_event_number (json, "due_ms");
}

static void
take_placed (Workspace *workspace, const json_t *json)
{
  workspace->placed++;
  workspace->quota_ms
      += mux_event_number (json_object_get (json, "lacked_ms"), "quota");
}

static bool
take_event (Report *report, const json_t *json, const char *event)
{
  Job *job = job_of (report, mux_event_text (json, "job"));
  bool accepted = strcmp (event, "accepted") == 0;

  if (job == NULL)
    return false;
  if (accepted || strcmp (event, "refused") == 0)
    return take_response (report, job, json, accepted);
  if (job->workspace != NULL && strcmp (event, "placed") == 0)
    take_placed (job->workspace, json);
  else if (job->workspace != NULL && strcmp (event, "job_ended") == 0)
    take_end (job->workspace, json);
  return true;
}

static bool
take_line (void *user, json_t *json)
{
  bool ok = mux_event_text (json, "job")[0] == 0
            || take_event (user, json, mux_event_text (json, "event"));

  json_decref (json);
  return ok;
}

static int
busiest_first (Workspace *a, Workspace *b)
{
  if (a->accepted != b->accepted)
    return a->accepted > b->accepted ? -1 : 1;
  return strcmp (a->name, b->name);
}

static void
add (Workspace *sum, const Workspace *workspace)
{
  sum->accepted += workspace->accepted;
  sum->refused += workspace->refused;
  sum->ended += workspace->ended;
  sum->in_time += workspace->in_time;
  sum->placed += workspace->placed;
  sum->quota_ms += workspace->quota_ms;
}

static json_int_t
ratio (int64_t of, uint32_t count)
{
  return count > 0 ? (json_int_t) of / count : 0;
}

static json_t *
row_json (const char *name, const Workspace *workspace)
{
  return json_pack (
      "{s:s, s:I, s:I, s:I, s:I, s:I}", "workspace", name, "accepted",
      (json_int_t) workspace->accepted, "refused",
      (json_int_t) workspace->refused, "open",
      (json_int_t) workspace->accepted - workspace->ended, "in_time_percent",
      ratio ((int64_t) workspace->in_time * PERCENT, workspace->accepted),
      "quota_ms", ratio (workspace->quota_ms, workspace->placed));
}

static json_t *
rows_json (Report *report)
{
  json_t *rows = json_array ();
  Workspace others = { .accepted = 0 };
  const Workspace *workspace;
  uint32_t n = 0;

  HASH_SORT (report->workspaces, busiest_first);
  for (workspace = report->workspaces; workspace != NULL;
       workspace = workspace->hh.next, n++)
    if (n < ROWS_MAX)
      (void) json_array_append_new (
          rows, row_json (workspace->name[0] != 0 ? workspace->name : "(none)",
                          workspace));
    else
      add (&others, workspace);
  if (n > ROWS_MAX)
    (void) json_array_append_new (rows, row_json ("(others)", &others));
  return rows;
}

static void
print (Report *report, MuxCliCall *call)
{
  static const MuxColumn columns[] = { { "WORKSPACE", "workspace" },
                                       { "ACCEPTED", "accepted" },
                                       { "REFUSED", "refused" },
                                       { "OPEN", "open" },
                                       { "% IN TIME", "in_time_percent" },
                                       { "QUOTA MS", "quota_ms" },
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
  Workspace *workspace;
  Workspace *next_workspace;
  Job *job;
  Job *next_job;

  HASH_ITER (hh, report->jobs, job, next_job)
  {
    HASH_DEL (report->jobs, job);
    free (job);
  }
  HASH_ITER (hh, report->workspaces, workspace, next_workspace)
  {
    HASH_DEL (report->workspaces, workspace);
    free (workspace);
  }
}

int
mux_report_by_workspace (MuxCliCall *call)
{
  Report report = { .jobs = NULL };
  int code = mux_event_lines_read (call, take_line, &report);

  if (code == MUX_EXIT_OK)
    print (&report, call);
  report_free (&report);
  return code;
}
