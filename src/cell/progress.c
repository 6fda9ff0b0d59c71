#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Ends are stored in groups: those that come within this time share a commit,
 * which is paid for.  A tenth of what an urgent job may wait in all. */
#define WINDOW_MS 30
#define RETRY_MS 100
#define BITS_PER_DIGIT 4
/* Most jobs of one commit, and entries that it holds: an ended job takes four,
 * or five, beside the two of the fence; two are left for ends of jobs that
 * can't be read. */
#define ENDS_MAX 24
#define CHANGES_MAX (CELL_COMMIT_CHANGES - CELL_UNREAD_ROWS)
#define CHANGES_PER_JOB 5

static void
bitmap_text (const CellStage *stage, char *text)
{
  uint32_t digits = (stage->spec->count + BITS_PER_DIGIT - 1) / BITS_PER_DIGIT;

  for (uint32_t d = 0; d < digits; d++)
    {
      uint32_t value = 0;

      for (uint32_t b = 0; b < BITS_PER_DIGIT; b++)
        {
          uint32_t i = d * BITS_PER_DIGIT + b;

          if (i < stage->spec->count && stage->task[i].state == CELL_TASK_DONE)
            value |= 1U << b;
        }
      text[d] = "0123456789abcdef"[value];
    }
  text[digits] = 0;
}

static void
bitmap_apply (CellStage *stage, const char *text)
{
  size_t digits = strlen (text);

  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      char digit[2] = { 0, 0 };

      if (i / BITS_PER_DIGIT >= digits)
        return;
      digit[0] = text[i / BITS_PER_DIGIT];
      if ((strtoul (digit, NULL, 16) >> (i % BITS_PER_DIGIT) & 1) == 0
          || stage->task[i].state == CELL_TASK_DONE)
        continue;
      stage->task[i].state = CELL_TASK_DONE;
      stage->left--;
    }
}

static json_t *
runs_json (const CellFailures *failures)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < failures->count; i++)
    (void) json_array_append_new (list, json_integer (failures->run[i]));
  return list;
}

/*
 * Guards against one attempt too many: @last is raised to the highest of the
 * numbers, so that no later run bears that of a failed one; its failure would
 * be taken for one that is known.
 */
static void
runs_apply (CellFailures *failures, uint32_t *last, const json_t *list)
{
  const json_t *json;
  size_t i;

  failures->count = 0;
  json_array_foreach (list, i, json)
  {
    uint32_t run = (uint32_t) json_integer_value (json);

    if (failures->count < CELL_FAILED_RUNS_MAX)
      failures->run[failures->count++] = run;
    if (run > *last)
      *last = run;
  }
}

static json_t *
failures_json (const CellStage *stage)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (stage->task[i].failures.count > 0)
      (void) json_array_append_new (
          list,
          json_pack ("[io]", (int) i, runs_json (&stage->task[i].failures)));
  return list;
}

static json_t *
saved_json (const CellStage *stage)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (stage->task[i].saved[0] != 0 && stage->task[i].state != CELL_TASK_DONE)
      (void) json_array_append_new (
          list, json_pack ("[is]", (int) i, stage->task[i].saved));
  return list;
}

static json_t *
stage_json (MuxCell *cell, const CellStage *stage)
{
  char bitmap[MUX_STEP_TASKS_MAX / BITS_PER_DIGIT + 2];

  bitmap_text (stage, bitmap);
  return json_pack ("{s:i, s:i, s:s, s:o, s:o, s:o, s:o}", "occurrence",
                    (int) stage->occurrence, "step", (int) stage->step, "done",
                    bitmap, "gang_failures", runs_json (&stage->failures),
                    "failures", failures_json (stage), "saved",
                    saved_json (stage), "workers",
                    cell_approvals_json (cell, stage));
}

/*
 * Stages of the first occurrences, all of them done: they are stored as their
 * number.  Guards against a part whose commits the store refuses for good, as a
 * job of some 400 occurrences had more progress than a row holds: nothing of
 * any job there was stored any more, and no end of a task acknowledged.
 */
static uint32_t
done_stages (const CellJob *job)
{
  uint32_t done = 0;

  while (done < job->stage_count && job->stage[done]->left == 0)
    done++;
  return done - done % job->spec->step_count;
}

json_t *
cell_progress_json (MuxCell *cell, const CellJob *job)
{
  json_t *stages = json_array ();
  uint32_t steps = job->spec->step_count;
  uint32_t done = done_stages (job);

  for (uint32_t i = done; i < job->stage_count; i++)
    (void) json_array_append_new (stages, stage_json (cell, job->stage[i]));
  return json_pack ("{s:b, s:i, s:i, s:o}", "started", (int) job->started,
                    "occurrences", (int) (job->stage_count / steps), "done",
                    (int) (done / steps), "stages", stages);
}

static void
apply_pairs (CellStage *stage, const json_t *failures, const json_t *saved)
{
  size_t i;
  json_t *pair;

  json_array_foreach (failures, i, pair)
  {
    json_int_t index = json_integer_value (json_array_get (pair, 0));

    if (index < 0 || index >= stage->spec->count)
      continue;
    runs_apply (&stage->task[index].failures, &stage->task[index].run,
                json_array_get (pair, 1));
  }
  json_array_foreach (saved, i, pair)
  {
    json_int_t index = json_integer_value (json_array_get (pair, 0));
    const char *text = json_string_value (json_array_get (pair, 1));

    if (index >= 0 && index < stage->spec->count && text != NULL)
      snprintf (stage->task[index].saved, sizeof stage->task[index].saved, "%s",
                text);
  }
}

static void
apply_stage (CellJob *job, const json_t *json)
{
  json_int_t at = json_integer_value (json_object_get (json, "occurrence"))
                      * job->spec->step_count
                  + json_integer_value (json_object_get (json, "step"));
  const char *done = json_string_value (json_object_get (json, "done"));
  CellStage *stage;

  if (at < 0 || at >= job->stage_count || done == NULL)
    return;
  stage = job->stage[at];
  bitmap_apply (stage, done);
  runs_apply (&stage->failures, &stage->run,
              json_object_get (json, "gang_failures"));
  cell_approvals_apply (stage, json_object_get (json, "workers"));
  apply_pairs (stage, json_object_get (json, "failures"),
               json_object_get (json, "saved"));
}

/* Return: whether @list is one of pairs, of a task's number and a @type. */
static bool
is_pair_list (const json_t *list, uint32_t tasks, json_type type)
{
  size_t i;
  json_t *pair;

  json_array_foreach (list, i, pair)
  {
    const json_t *index = json_array_get (pair, 0);
    const json_t *value = json_array_get (pair, 1);

    if (!json_is_integer (index) || json_integer_value (index) < 0
        || json_integer_value (index) >= (json_int_t) tasks || value == NULL
        || json_typeof (value) != type)
      return false;
  }
  return json_is_array (list);
}

static bool
is_bitmap (const json_t *value, uint32_t tasks)
{
  const char *text = json_string_value (value);
  size_t digits = (tasks + BITS_PER_DIGIT - 1) / BITS_PER_DIGIT;

  return text != NULL && strlen (text) == digits
         && strspn (text, "0123456789abcdef") == digits;
}

static bool
is_count (const json_t *value, json_int_t least, json_int_t most)
{
  return json_is_integer (value) && json_integer_value (value) >= least
         && json_integer_value (value) <= most;
}

/* @at: its place among the stages, which are stored in order. */
static const char *
wrong_in_stage (const CellJob *job, size_t at, const json_t *json)
{
  json_int_t occurrence = (json_int_t) at / job->spec->step_count;
  json_int_t step = (json_int_t) at % job->spec->step_count;
  uint32_t tasks = job->spec->step[step].count;

  if (!is_count (json_object_get (json, "occurrence"), occurrence, occurrence))
    return "occurrence";
  if (!is_count (json_object_get (json, "step"), step, step))
    return "step";
  if (!is_bitmap (json_object_get (json, "done"), tasks))
    return "done";
  if (!json_is_array (json_object_get (json, "gang_failures")))
    return "gang_failures";
  if (!is_pair_list (json_object_get (json, "failures"), tasks, JSON_ARRAY))
    return "failures";
  if (!is_pair_list (json_object_get (json, "saved"), tasks, JSON_STRING))
    return "saved";
  return json_is_array (json_object_get (json, "workers")) ? NULL : "workers";
}

/* Stages that are stored as a number alone; none by an earlier version. */
static uint64_t
done_before (const CellJob *job, const json_t *json)
{
  return (uint64_t) json_integer_value (json_object_get (json, "done"))
         * job->spec->step_count;
}

static void
apply_done (CellJob *job, uint64_t stages)
{
  for (uint64_t i = 0; i < stages && i < job->stage_count; i++)
    {
      CellStage *stage = job->stage[i];

      for (uint32_t j = 0; j < stage->spec->count; j++)
        stage->task[j].state = CELL_TASK_DONE;
      stage->left = 0;
    }
}

/* Read with gaps, tasks that were done would run again: it is whole or lost. */
static const char *
wrong_in_progress (const MuxCell *cell, const CellJob *job, const json_t *json)
{
  const json_t *stages = json_object_get (json, "stages");
  const json_t *occurrences = json_object_get (json, "occurrences");
  const json_t *done = json_object_get (json, "done");
  json_int_t least = job->spec->repetitions == 0 ? 1 : 0;
  uint64_t first = done_before (job, json);
  json_t *stage;
  size_t i;

  if (!json_is_boolean (json_object_get (json, "started")))
    return "started";
  if (!is_count (occurrences, least, cell_occurrences_due (cell, job)))
    return "occurrences";
  if (done != NULL && !is_count (done, 0, json_integer_value (occurrences)))
    return "done";
  if (!json_is_array (stages)
      || first + json_array_size (stages)
             != (uint64_t) json_integer_value (occurrences)
                    * job->spec->step_count)
    return "stages";
  json_array_foreach (stages, i, stage)
  {
    const char *wrong = wrong_in_stage (job, first + i, stage);

    if (wrong != NULL)
      return wrong;
  }
  return NULL;
}

const char *
cell_progress_apply (MuxCell *cell, CellJob *job, const json_t *json)
{
  const char *wrong = wrong_in_progress (cell, job, json);
  json_t *stages = json_object_get (json, "stages");
  json_t *stage;
  size_t i;

  if (wrong != NULL)
    return wrong;
  job->started = json_is_true (json_object_get (json, "started"));
  cell_job_occurrences (
      cell, job,
      (uint32_t) json_integer_value (json_object_get (json, "occurrences")));
  apply_done (job, done_before (job, json));
  json_array_foreach (stages, i, stage) apply_stage (job, stage);
  return NULL;
}

void
cell_progress_row (MuxCell *cell, const MuxCellRow *row)
{
  CellJob *job = cell_job_find (cell, row->key);
  const char *wrong = NULL;
  json_t *json;

  if (job == NULL)
    return;
  json = cell_row_json (cell, row);
  job->progress_stored = true;
  if (json != NULL)
    wrong = cell_progress_apply (cell, job, json);
  if (wrong != NULL)
    cell_row_bad (cell, row, CELL_ROW_FIELD, wrong);
  job->progress_lost = json == NULL || wrong != NULL;
  json_decref (json);
}

uint64_t
cell_stored_seq (const MuxCell *cell)
{
  uint64_t least = cell->end_seq;

  for (uint32_t i = 0; i < CELL_PARTS; i++)
    {
      const CellPart *part = &cell->part[i];

      if ((part->dirty != NULL || part->unread_dirty > 0 || part->committing)
          && part->stored_seq < least)
        least = part->stored_seq;
    }
  return least;
}

static void
take_stored (MuxCell *cell, CellPart *part)
{
  CellJob *job;
  CellJob *next;

  for (job = part->dirty; job != NULL; job = next)
    {
      next = job->dirty_next;
      if (!job->in_commit)
        continue;
      job->in_commit = false;
      job->progress_stored = true;
      job->ends_stored = false;
      if (job->dirty_again)
        {
          job->dirty_again = false;
          continue;
        }
      DL_DELETE2 (part->dirty, job, dirty_prev, dirty_next);
      job->dirty = false;
      /* A gang's other members may still be on their way out: the job stays
       * until their room is free. */
      job->end_stored = job->ended;
      for (uint32_t i = 0; i < job->stage_count; i++)
        cell_approvals_stored (job->stage[i]);
      cell->replan = true;
    }
}

static void
put_back (MuxCell *cell, CellPart *part)
{
  CellJob *job;

  cell_unread_committed (cell, part, false);
  for (job = part->dirty; job != NULL; job = job->dirty_next)
    {
      job->in_commit = false;
      job->dirty_again = false;
    }
}

/*
 * What a commit wrote is stored only when it was answered.  Each commit also
 * renews the fence row, so that one that is carried out late, after a newer
 * one, finds its condition broken and can't bring old progress back.  It proves
 * the part's fence, not the claim: a successor may have claimed and not fenced
 * this part yet, and already counts the time after which we order nothing.
 */
static void
committed (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  CellPart *part = &cell->part[pending->part];

  part->committing = false;
  if (reply->status == MUX_CELL_OK)
    {
      part->fence_version = reply->version;
      part->stored_seq = pending->number;
      take_stored (cell, part);
      cell_unread_committed (cell, part, true);
      part->dirty_since_ms = cell->time.now_ms;
      return;
    }
  put_back (cell, part);
  part->next_commit_ms = cell->time.now_ms + RETRY_MS;
  if (reply->status == MUX_CELL_UNKNOWN || reply->status == MUX_CELL_CONFLICT)
    part->fence_doubtful = true;
  if (reply->status == MUX_CELL_CONFLICT)
    part->next_commit_ms = cell->time.now_ms;
}

static void
add_job (MuxCell *cell, MuxCellCall *call, CellJob *job)
{
  char cancel[MUX_ROW_NAME_LEN];

  job->in_commit = true;
  if (job->ends_stored)
    cell_unread_remove_row (call, job);
  if (!job->ended)
    {
      cell_change (call, MUX_CHANGE_PUT, MUX_TABLE_PROGRESS, job->id)->value
          = cell_json_blob (cell_progress_json (cell, job));
      for (uint32_t i = 0; i < job->stage_count; i++)
        cell_approvals_written (job->stage[i]);
      return;
    }
  cell_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_JOBS, job->id);
  /* Also where no cancel is known: one may have been stored just now. */
  snprintf (cancel, sizeof cancel, "%s!", job->id);
  cell_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_JOBS, cancel);
  if (job->progress_stored)
    cell_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_PROGRESS, job->id);
  cell_change (call, MUX_CHANGE_PUT, MUX_TABLE_ENDED, job->id)->value
      = cell_json_blob (json_pack ("{s:s, s:I}", "state",
                                   mux_job_state_name (job->end), "ended_ms",
                                   (json_int_t) cell->time.wall_ms));
}

static void
commit (MuxCell *cell, CellPart *part)
{
  MuxCellCall *call = cell_commit_call (part->name, CELL_COMMIT_CHANGES);
  CellPending pending = { .done = committed,
                          .term = cell->term,
                          .part = (uint32_t) (part - cell->part),
                          .number = cell->end_seq };
  uint32_t jobs = 0;
  bool whole;
  CellJob *job;

  if (call == NULL)
    return;
  part->hurry = false;
  cell_fence_add (cell, part, call);
  for (job = part->dirty; job != NULL; job = job->dirty_next)
    {
      if (jobs++ == ENDS_MAX
          || call->change_count + CHANGES_PER_JOB > CHANGES_MAX)
        break;
      add_job (cell, call, job);
    }
  whole = cell_unread_add_rows (cell, part, call) && job == NULL;
  if (!whole)
    pending.number = part->stored_seq;
  part->committing = cell_call (cell, call, &pending);
  if (part->committing)
    return;
  put_back (cell, part);
  part->next_commit_ms = cell->time.now_ms + RETRY_MS;
}

static void
part_tick (MuxCell *cell, CellPart *part)
{
  int64_t now = cell->time.now_ms;

  if ((part->dirty == NULL && part->unread_dirty == 0) || part->committing
      || now < part->next_commit_ms
      || (now - part->dirty_since_ms < WINDOW_MS && !part->hurry))
    return;
  if (part->fence_doubtful)
    {
      if (!part->reading_fence)
        cell_fence_read (cell, part);
      return;
    }
  commit (cell, part);
}

void
cell_progress_tick (MuxCell *cell)
{
  for (uint32_t i = 0; i < CELL_PARTS && cell->role == CELL_PLANNING; i++)
    part_tick (cell, &cell->part[i]);
}
