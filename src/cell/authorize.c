#include "cell_private.h"

#include <string.h>

/*
 * Whether a caller's key holds, and which jobs a caller may know of.
 *
 * Where revocation is strict a key counts only as long as the configuration is
 * proved to be the newest: the call to the store that showed it was sent less
 * than the revocation time ago.  A key that was taken away before is then known
 * to be, however long this daemon has been cut off or stood still since: the
 * age is looked at once the caller's whole question has been read.
 */

/* Steady clocks of two machines differ by less than one part of so many. */
#define CLOCK_PARTS 50

int64_t
cell_config_age_ms (const MuxCell *cell)
{
  return cell->config_confirmed_ms != 0
             ? cell->time.now_ms - cell->config_confirmed_ms
             : INT64_MAX;
}

static bool
is_proved (const MuxCell *cell)
{
  int64_t most_ms = cell->options.revoke_timeout_ms;

  return most_ms == 0
         || cell_config_age_ms (cell) < most_ms - most_ms / CLOCK_PARTS;
}

/*
 * Guards against callers who come, or stay, where they will be refused: the
 * platform takes a second or two to send them elsewhere.
 */
bool
cell_keys_are_fresh (const MuxCell *cell)
{
  int64_t most_ms = cell->options.revoke_timeout_ms;

  return most_ms == 0 || cell->config == NULL
         || cell->config->workspaces == NULL
         || cell_config_age_ms (cell) < most_ms / 2;
}

/* A key that was added while this daemon heard nothing is not known here; a
 * caller who is told that it is nobody's does not come back. */
static MuxResponseOutcome
unknown_key (const MuxCell *cell)
{
  return cell_follow_is_fresh (cell, &cell->follow[FOLLOW_CONFIG])
             ? MUX_RESPONSE_UNAUTHORIZED
             : MUX_RESPONSE_REFUSED;
}

MuxResponseOutcome
cell_authorize (MuxCell *cell,
                const MuxRequest *question,
                const MuxQueueSpec *queue,
                CellCaller *caller)
{
  const MuxWorkspaces *workspaces = cell->config->workspaces;
  const MuxWorkspaceSpec *workspace;

  *caller = (CellCaller){ .is_restricted = workspaces != NULL };
  if (workspaces == NULL || queue->is_public)
    return MUX_RESPONSE_ACCEPTED;
  if (!question->has_key)
    {
      mux_count_refused (cell->options.counters, MUX_REASON_NO_KEY);
      return MUX_RESPONSE_UNAUTHORIZED;
    }
  if (!is_proved (cell))
    {
      mux_count_refused (cell->options.counters, MUX_REASON_KEY_UNPROVEN);
      return MUX_RESPONSE_REFUSED;
    }
  workspace = mux_workspace_of_key (workspaces, &question->key);
  if (workspace == NULL)
    {
      mux_count_refused (cell->options.counters, MUX_REASON_NO_KEY);
      return unknown_key (cell);
    }
  (void) mux_name_copy (caller->workspace, workspace->name);
  return MUX_RESPONSE_ACCEPTED;
}

bool
cell_caller_may_see (const CellCaller *caller, const char *workspace)
{
  return !caller->is_restricted || workspace[0] == 0
         || strcmp (caller->workspace, workspace) == 0;
}

bool
cell_row_is_visible_to (const MuxCellRow *row, const CellCaller *caller)
{
  json_t *json;
  const char *workspace;
  bool is_of;

  if (!caller->is_restricted || row->value == NULL)
    return true;
  json = cell_json_from_blob (row->value);
  workspace = json_string_value (json_object_get (json, "workspace"));
  is_of = cell_caller_may_see (caller, workspace != NULL ? workspace : "");
  json_decref (json);
  return is_of;
}

void
cell_keys_tick (MuxCell *cell)
{
  bool proved = cell->config != NULL && is_proved (cell);

  if (proved == cell->keys_confirmed_logged)
    return;
  cell->keys_confirmed_logged = proved;
  if (cell->config != NULL && cell->config->workspaces != NULL)
    cell_log (cell, proved ? "keys_proved" : "keys_unproved", "{s:I, s:I, s:b}",
              "version", (json_int_t) cell->config->version, "proof_age_ms",
              (json_int_t) cell_config_age_ms (cell), "unread",
              (int) cell->config_unreadable);
}

/* A configuration that can't be read may have taken keys away. */
void
cell_config_confirmed (MuxCell *cell, int64_t at_ms)
{
  if (at_ms > cell->config_confirmed_ms && !cell->config_unreadable)
    cell->config_confirmed_ms = at_ms;
}
