#include "progress_fields.h"
#include "token.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The stored form of the ends of unreadable jobs. */

/* The key of a job's row of ends is the job's id with this behind it, which no
 * id contains. */
#define ENDS_SUFFIX "+"
/* Ends kept of a job. */
#define ENDS_MAX 400
/* Bytes of a job's row of ends, below the 64 KB that the store takes, and of an
 * end in it, beside its checkpoint. */
#define ENDS_BYTES_MAX 60000
#define END_BYTES 64
/* The rest of the row is for checkpoints; an end is kept without its own once
 * that is used up. */
#define SAVED_BYTES_MAX (ENDS_BYTES_MAX - ENDS_MAX * END_BYTES)
/* Of a checkpoint in the row, beside its text. */
#define SAVED_BYTES 16

bool
cell_unreadable_row_job (const char *key, char id[MUX_ROW_NAME_LEN])
{
  size_t len = strlen (key);

  if (len < 2 || strcmp (key + len - 1, ENDS_SUFFIX) != 0)
    return false;
  snprintf (id, MUX_ROW_NAME_LEN, "%.*s", (int) (len - 1), key);
  return true;
}

bool
cell_unreadable_add_end (CellUnreadable *unreadable,
                         const CellUnreadableEnd *end)
{
  const MuxBlob *saved = end->checkpoint;
  size_t bytes
      = saved != NULL
            ? SAVED_BYTES + cell_json_text_bytes (saved->bytes, saved->len)
            : 0;
  CellUnreadableEnd *list;

  for (uint32_t i = 0; i < unreadable->end_count; i++)
    if (unreadable->end[i].run == end->run
        && unreadable->end[i].task.occurrence == end->task.occurrence
        && unreadable->end[i].task.step == end->task.step
        && unreadable->end[i].task.index == end->task.index)
      return false;
  list = unreadable->end_count < ENDS_MAX ? realloc (
             unreadable->end, (unreadable->end_count + 1) * sizeof *list)
                                          : NULL;
  if (list == NULL)
    {
      unreadable->overflow = true;
      return true;
    }
  unreadable->end = list;
  list[unreadable->end_count] = *end;
  list[unreadable->end_count].checkpoint = NULL;
  if (unreadable->saved_bytes + bytes <= SAVED_BYTES_MAX)
    {
      unreadable->saved_bytes += (uint32_t) bytes;
      list[unreadable->end_count].checkpoint = mux_blob_ref (end->checkpoint);
    }
  unreadable->end_count++;
  return true;
}

void
cell_unreadable_free_ends (CellUnreadable *unreadable)
{
  for (uint32_t i = 0; i < unreadable->end_count; i++)
    mux_blob_unref (unreadable->end[i].checkpoint);
  free (unreadable->end);
}

/* Checkpoints that the previous version would cut: [[number of the end,
 * checkpoint], ...]. */
static json_t *
saved_whole_json (const CellUnreadable *unreadable)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < unreadable->end_count; i++)
    if (!cell_token_is_short (unreadable->end[i].checkpoint))
      (void) json_array_append_new (
          list,
          json_pack ("[is]", (int) i, unreadable->end[i].checkpoint->bytes));
  return list;
}

static json_t *
ends_json (const MuxCell *cell, const CellUnreadable *unreadable)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < unreadable->end_count; i++)
    {
      const CellUnreadableEnd *end = &unreadable->end[i];

      (void) json_array_append_new (
          list, json_pack ("[iiiiis]", (int) end->task.occurrence,
                           (int) end->task.step, (int) end->task.index,
                           (int) end->run, (int) end->end,
                           end->checkpoint != NULL
                                   && cell_token_is_short (end->checkpoint)
                               ? end->checkpoint->bytes
                               : ""));
    }
  return json_pack ("{s:I, s:b, s:o, s:o}", "noted_ms",
                    (json_int_t) cell->time.wall_ms, "overflow",
                    (int) unreadable->overflow, "ends", list, "saved_whole",
                    saved_whole_json (unreadable));
}

void
cell_unreadable_put_row (const MuxCell *cell,
                         MuxCellCall *call,
                         CellUnreadable *unreadable)
{
  char key[MUX_ROW_NAME_LEN];

  unreadable->in_commit = true;
  snprintf (key, sizeof key, "%s" ENDS_SUFFIX, unreadable->id);
  if (unreadable->expired)
    (void) cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_PROGRESS,
                                 key);
  else
    cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_PROGRESS, key)->value
        = cell_blob_from_json (ends_json (cell, unreadable));
}

void
cell_unreadable_remove_row (MuxCellCall *call, const CellJob *job)
{
  char key[MUX_ROW_NAME_LEN];

  snprintf (key, sizeof key, "%s" ENDS_SUFFIX, job->id);
  (void) cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_PROGRESS,
                               key);
}

/* Return: the checkpoint of the end at @index; NULL: nothing is stored of it.
 */
static MuxBlob *
saved_whole (const json_t *list, size_t index)
{
  const json_t *pair;
  size_t i;

  json_array_foreach (list, i, pair)
  {
    const char *text = json_string_value (json_array_get (pair, 1));

    if (text != NULL
        && cell_integer_in_range (json_array_get (pair, 0), (json_int_t) index,
                                  (json_int_t) index))
      return mux_blob_new (text, strlen (text));
  }
  return NULL;
}

/* Return: false: @json is not an end, and @end is not set. */
static bool
end_from_json (const json_t *json, CellUnreadableEnd *end)
{
  int numbers[5];
  const char *saved;

  if (json_unpack ((json_t *) json, "[iiiiis]", &numbers[0], &numbers[1],
                   &numbers[2], &numbers[3], &numbers[4], &saved)
      != 0)
    return false;
  for (int i = 0; i < 5; i++)
    if (numbers[i] < 0)
      return false;
  if (numbers[4] > MUX_RUN_GANG_INCOMPLETE)
    return false;
  end->task.occurrence = (uint32_t) numbers[0];
  end->task.step = (uint32_t) numbers[1];
  end->task.index = (uint32_t) numbers[2];
  end->run = (uint32_t) numbers[3];
  end->end = (MuxRunEnd) numbers[4];
  /* The previous version may have cut a longer one. */
  if (saved[0] != 0 && strlen (saved) + 1 < CELL_SHORT_TOKEN_LEN)
    end->checkpoint = mux_blob_new (saved, strlen (saved));
  return true;
}

void
cell_unreadable_read_row (MuxCell *cell,
                          const MuxCellRow *row,
                          CellUnreadable *unreadable)
{
  json_t *json = cell_row_json (cell, row);
  const json_t *list = json_object_get (json, "ends");
  const json_t *whole = json_object_get (json, "saved_whole");
  const json_t *item;
  size_t i;

  unreadable->stored_wall_ms
      = (int64_t) json_integer_value (json_object_get (json, "noted_ms"));
  unreadable->overflow = unreadable->overflow || !json_is_array (list)
                         || json_is_true (json_object_get (json, "overflow"));
  json_array_foreach (list, i, item)
  {
    CellUnreadableEnd end = { .run = 0 };

    if (!end_from_json (item, &end))
      {
        unreadable->overflow = true;
        continue;
      }
    if (end.checkpoint == NULL)
      end.checkpoint = saved_whole (whole, i);
    (void) cell_unreadable_add_end (unreadable, &end);
    mux_blob_unref (end.checkpoint);
  }
  json_decref (json);
  if (unreadable->overflow)
    cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD, "ends");
}
