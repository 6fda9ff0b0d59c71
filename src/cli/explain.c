#include "event_lines.h"
#include "render.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* An event of the job, or one that concerns all jobs, such as a takeover. */
typedef struct
{
  int64_t wall_ms;
  size_t order; /* order of reading; breaks ties of @wall_ms */
  json_t *json;
} Event;

typedef struct
{
  const char *job;
  Event *event;
  size_t count;
  size_t capacity;
} History;

/* Sentence printed for an event, with names of its fields in braces. */
typedef struct
{
  const char *event;
  const char *sentence;
} Template;

static const Template templates[] = {
  { "accepted", "accepted into queue {queue} ({why})" },
  { "refused", "not accepted, or not known to be: {why}" },
  { "cancel", "its cancel was answered ({outcome})" },
  { "cancelling", "cancelled; {running} of its runs are stopped" },
  { "state_refused", "a question about it could not be answered" },
  { "approvals", "step {step}: {approved} of {asked} workers approved, asked "
                 "by {asker}, {took_ms} ms" },
  { "step_waits", "step {step}: {tasks} tasks wait for {waited_ms} ms, lacking "
                  "{lacks}; approved workers hold {approved_now} now, "
                  "{approved_ever} when empty" },
  { "placed", "step {step}: its last {tasks} waiting tasks are sent, "
              "{waited_ms} ms after "
              "its turn came" },
  { "placed_by_speed",
    "step {step}: its workers have speeds from {slowest_milli} to "
    "{fastest_milli} thousandths; {expected_ms} ms are expected on the "
    "slowest" },
  { "worker_speed", "worker {worker} counts as {class}, at {speed_milli} "
                    "thousandths of the mean, after {runs} runs" },
  { "start_refused",
    "step {step} task {task} run {run}: {worker} answered {status}" },
  { "run_ended", "step {step} task {task} run {run} on {worker} ended: {end}" },
  { "run_lost",
    "step {step} task {task} run {run} is lost with {worker}; under this task "
    "{crashed} workers have crashed, {untold} may have, {unreachable} are out "
    "of reach" },
  { "worker_crashed_under", "step {step} task {task} run {run}: worker "
                            "{worker} at {addr} was lost with "
                            "it at {lost_wall_ms}" },
  { "run_still",
    "step {step} task {task} on {worker} stood still at {percent} percent" },
  { "run_evacuated",
    "step {step} task {task} on {worker}, which leaves in {stays_ms} ms, is "
    "stopped at {percent} percent" },
  { "stray_run",
    "step {step} task {task} run {run} found on {worker} and stopped" },
  { "job_failing", "it fails: {why}" },
  { "job_ended", "{state} after {took_ms} ms; promised were {due_ms} ms" },
  { "store_failing", "the store does not serve this daemon: {status}" },
  { "store_back", "the store serves it again after {away_ms} ms" },
  { "planner_began", "begins to plan, term {term}" },
  { "planning", "plans {jobs} jobs, {after_ms} ms after it began" },
  { "planner_ended", "plans no more: {why}" },
  { "claim_doubted", "doubts its claim and orders nothing: {why}" },
  { "worker_lost", "worker {worker} does not answer: {status}" },
  { "worker_unconnected",
    "worker {worker} gets no tasks: {given_up} connections of unanswered "
    "orders may be open there" },
  { "worker_connected", "worker {worker} gets tasks again: {given_up} such "
                        "connections are left" },
  { "worker_dead", "worker {worker} counts as dead: {why}" },
};

static const Template *
find_template (const char *event)
{
  for (size_t i = 0; i < sizeof templates / sizeof templates[0]; i++)
    if (strcmp (templates[i].event, event) == 0)
      return &templates[i];
  return NULL;
}

static bool
concerns_job (const History *history, const json_t *json)
{
  return strcmp (mux_event_text (json, "job"), history->job) == 0;
}

/* Whether the event is one of the job, or has no job and so concerns all jobs.
 * An empty job id stands for a whole queue, such as in counts of waiting jobs.
 */
static bool
is_relevant (const History *history, const json_t *json)
{
  if (find_template (mux_event_text (json, "event")) == NULL)
    return false;
  return json_object_get (json, "job") == NULL || concerns_job (history, json);
}

static bool
append_event (History *history, json_t *json)
{
  Event *event;

  if (history->count == history->capacity)
    {
      size_t capacity = history->capacity > 0 ? 2 * history->capacity : 64;

      event = realloc (history->event, capacity * sizeof *event);
      if (event == NULL)
        return false;
      history->event = event;
      history->capacity = capacity;
    }
  history->event[history->count]
      = (Event){ json_integer_value (json_object_get (json, "wall_ms")),
                 history->count, json };
  history->count++;
  return true;
}

static bool
take_event (void *user, json_t *json)
{
  History *history = user;

  bool relevant = is_relevant (history, json);
  bool ok = !relevant || append_event (history, json);

  if (!relevant || !ok)
    json_decref (json);
  return ok;
}

static int
by_time (const void *x, const void *y)
{
  const Event *a = x;
  const Event *b = y;

  if (a->wall_ms != b->wall_ms)
    return a->wall_ms < b->wall_ms ? -1 : 1;
  return a->order < b->order ? -1 : 1;
}

static bool
has_job (const Event *event)
{
  return json_object_get (event->json, "job") != NULL;
}

static void
print_field (FILE *out, const json_t *json, const char *name, size_t len)
{
  char field[32];
  char *text;

  snprintf (field, sizeof field, "%.*s", (int) len, name);
  text = mux_render_text (json_object_get (json, field));
  fputs (text != NULL ? text : "-", out);
  free (text);
}

static void
print_event (FILE *out, const Event *event, int64_t begin_ms)
{
  const char *at
      = find_template (mux_event_text (event->json, "event"))->sentence;
  char *instance = mux_render_text (json_object_get (event->json, "instance"));

  fprintf (out, "%+8" PRId64 " ms  %s: ", event->wall_ms - begin_ms,
           instance != NULL ? instance : "-");
  free (instance);
  while (*at != 0)
    {
      const char *end = *at == '{' ? strchr (at, '}') : NULL;

      if (end == NULL)
        {
          fputc (*at++, out);
          continue;
        }
      print_field (out, event->json, at + 1, (size_t) (end - at - 1));
      at = end + 1;
    }
  fputc ('\n', out);
}

static bool
is_event (const Event *event, const char *name)
{
  return strcmp (mux_event_text (event->json, "event"), name) == 0;
}

/* Counts of a job's events.  Refusals are counted until the acceptance, all
 * else between acceptance and end, as only this can have delayed the job. */
typedef struct
{
  uint32_t refused;
  const char *why_refused; /* reason of the last refusal */
  uint32_t failed;
  uint32_t lost;
  const char *why_failing;
  uint32_t stalled;
  uint32_t takeovers;
  uint32_t placed;
  uint32_t placed_late;   /* too late to end within the promised time */
  uint32_t store_failing; /* at the daemon that logged the end */
  const Event *ended;
  bool cancelled;
  bool accepted;
} Counts;

static const Event *
end_of (const History *history, size_t first, size_t last)
{
  for (size_t i = last + 1; i > first; i--)
    if (is_event (&history->event[i - 1], "job_ended"))
      return &history->event[i - 1];
  return NULL;
}

static void
count_event (Counts *counts, const Event *event)
{
  const char *end = mux_event_text (event->json, "end");

  counts->cancelled |= is_event (event, "cancelling");
  counts->failed
      += is_event (event, "run_ended") && strcmp (end, "failed") == 0;
  counts->lost += is_event (event, "run_ended") && strcmp (end, "lapsed") == 0;
  if (is_event (event, "job_failing"))
    counts->why_failing = mux_event_text (event->json, "why");
  counts->stalled += is_event (event, "run_still");
  counts->takeovers += is_event (event, "planner_began");
  counts->placed += is_event (event, "placed");
  counts->placed_late
      += is_event (event, "placed")
         && json_integer_value (json_object_get (event->json, "late_ms")) > 0;
  counts->store_failing
      += is_event (event, "store_failing") && counts->ended != NULL
         && strcmp (mux_event_text (event->json, "instance"),
                    mux_event_text (counts->ended->json, "instance"))
                == 0;
}

static Counts
count_events (const History *history, size_t first, size_t last)
{
  Counts counts = { .ended = end_of (history, first, last),
                    .why_refused = "",
                    .why_failing = "" };

  for (size_t i = first; i <= last; i++)
    {
      const Event *event = &history->event[i];

      if (is_event (event, "refused") && !counts.accepted)
        {
          counts.refused++;
          counts.why_refused = mux_event_text (event->json, "why");
        }
      counts.accepted |= is_event (event, "accepted");
      if (counts.accepted && (counts.ended == NULL || event <= counts.ended))
        count_event (&counts, event);
    }
  return counts;
}

static const char *
cause_of_refusal (const Counts *counts)
{
  if (strcmp (counts->why_refused, "no_answer") == 0)
    return "the store did not answer: nobody knows whether it was taken";
  if (strcmp (counts->why_refused, "behind") == 0)
    return "the store was slow and more came than it could take: it never ran";
  return "the store did not take it: it never ran";
}

static const char *
cause_of_failure (const Counts *counts)
{
  if (strcmp (counts->why_failing, "crashes_workers") == 0)
    return "one worker after the other crashed under a task of it";
  if (strcmp (counts->why_failing, "progress_unreadable") == 0)
    return "what was stored of its progress can't be read";
  return "its tasks failed as often as the queue allows";
}

/* Returns the primary cause: the checks are ordered so that an earlier one can
 * explain all later ones. */
static const char *
cause_of (const Counts *counts)
{
  const json_t *json = counts->ended != NULL ? counts->ended->json : NULL;
  int64_t took = json_integer_value (json_object_get (json, "took_ms"));
  int64_t due = json_integer_value (json_object_get (json, "due_ms"));

  if (counts->cancelled)
    return "its caller cancelled it";
  if (!counts->accepted && counts->refused > 0)
    return cause_of_refusal (counts);
  if (json == NULL)
    return "these logs do not show its end";
  if (strcmp (mux_event_text (json, "state"), "failed") == 0)
    return cause_of_failure (counts);
  if (took <= due)
    return counts->refused > 0
               ? "the store took it only after refusals; then it was in time"
               : "none: it ended in time";
  if (counts->takeovers > 0)
    return "another daemon took the planning over while it ran or waited";
  if (counts->lost > 0)
    return "a worker with its tasks was lost";
  if (counts->stalled > 0)
    return "its tasks stood still on a worker and were run elsewhere";
  if (counts->failed > 0)
    return "failed runs were repeated";
  if (counts->store_failing > 0)
    return "the store failed the planner while it ran: its end was kept late";
  if (counts->placed > 0 && counts->placed_late == 0)
    return "it was placed in time and ran longer than estimated";
  return "it waited for room on workers that may run it";
}

static bool
job_ran_on (const History *history, const char *worker)
{
  for (size_t i = 0; i < history->count; i++)
    if (has_job (&history->event[i])
        && strcmp (mux_event_text (history->event[i].json, "worker"), worker)
               == 0)
      return true;
  return false;
}

/* Events of a worker are printed only if the job had a run there. */
static bool
is_printed (const History *history, const Event *event)
{
  const char *worker = mux_event_text (event->json, "worker");

  return has_job (event) || worker[0] == 0 || job_ran_on (history, worker);
}

static void
print_history (const History *history, FILE *out, size_t first, size_t last)
{
  Counts counts = count_events (history, first, last);

  for (size_t i = first; i <= last; i++)
    if (is_printed (history, &history->event[i]))
      print_event (out, &history->event[i], history->event[first].wall_ms);
  fprintf (out, "cause: %s\n", cause_of (&counts));
}

static int
explain (History *history, MuxCliCall *call)
{
  size_t first = history->count;
  size_t last = 0;

  if (history->count > 0)
    qsort (history->event, history->count, sizeof *history->event, by_time);
  for (size_t i = 0; i < history->count; i++)
    if (has_job (&history->event[i]))
      {
        first = first == history->count ? i : first;
        last = i;
      }
  if (first == history->count)
    {
      fprintf (call->host->err, "cuminmux: no line speaks of job %s\n",
               history->job);
      return MUX_EXIT_REFUSED;
    }
  print_history (history, call->host->out, first, last);
  return MUX_EXIT_OK;
}

int
mux_verb_explain (MuxCliCall *call)
{
  History history = { .job = call->args.text[MUX_ARG_NAME] };
  int code = mux_event_lines_read (call, take_event, &history);

  if (code == MUX_EXIT_OK)
    code = explain (&history, call);
  for (size_t i = 0; i < history.count; i++)
    json_decref (history.event[i].json);
  free (history.event);
  return code;
}
