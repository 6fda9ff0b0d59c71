#include "cell_private.h"

#include <string.h>

/*
 * Checks callers' API keys, and which jobs a caller may see.
 *
 * With strict revocation a key counts only while the configuration is
 * confirmed as the newest: the call to the store that confirmed it was sent
 * less than the revocation time ago. A key that was revoked before that is
 * then known to be revoked, however long this daemon has been cut off or
 * paused since: the age is checked once the caller's whole request has been
 * read.
 */

/* Steady clocks of two machines differ by less than one part in this many. */
#define CLOCK_DRIFT_PARTS 50

int64_t
cell_config_age_ms (const MuxCell *cell)
{
  return cell->config_confirmed_ms != 0
             ? cell->time.now_ms - cell->config_confirmed_ms
             : INT64_MAX;
}

static bool
config_is_confirmed (const MuxCell *cell)
{
  int64_t limit_ms = cell->options.revoke_timeout_ms;

  return limit_ms == 0
         || cell_config_age_ms (cell) < limit_ms - limit_ms / CLOCK_DRIFT_PARTS;
}

/*
 * Callers are sent elsewhere before they are refused: the platform takes a
 * second or two for that.
 */
bool
cell_keys_are_fresh (const MuxCell *cell)
{
  int64_t limit_ms = cell->options.revoke_timeout_ms;

  return limit_ms == 0 || cell->config == NULL
         || cell->config->workspaces == NULL
         || cell_config_age_ms (cell) < limit_ms / 2;
}

/* The key may have been added while this daemon's copy of the configuration
 * was stale; a caller does not retry after the response that the key is
 * unknown. */
static MuxResponseOutcome
unknown_key (const MuxCell *cell)
{
  return cell_feed_is_fresh (cell, &cell->feed[CELL_FEED_CONFIG])
             ? MUX_RESPONSE_UNAUTHORIZED
             : MUX_RESPONSE_REFUSED;
}

MuxResponseOutcome
cell_authorize (MuxCell *cell,
                const MuxRequest *request,
                const MuxQueueSpec *queue,
                CellCaller *caller)
{
  const MuxWorkspaces *workspaces = cell->config->workspaces;
  const MuxWorkspaceSpec *workspace;

  *caller = (CellCaller){ .is_restricted = workspaces != NULL };
  if (workspaces == NULL || queue->is_public)
    return MUX_RESPONSE_ACCEPTED;
  if (!request->has_key)
    {
      mux_count_refused (cell->options.counters, MUX_REASON_NO_KEY);
      return MUX_RESPONSE_UNAUTHORIZED;
    }
  if (!config_is_confirmed (cell))
    {
      mux_count_refused (cell->options.counters, MUX_REASON_KEY_UNPROVEN);
      return MUX_RESPONSE_REFUSED;
    }
  workspace = mux_workspace_of_key (workspaces, &request->key);
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
  bool is_visible;

  if (!caller->is_restricted || row->value == NULL)
    return true;
  json = cell_json_from_blob (row->value);
  workspace = json_string_value (json_object_get (json, "workspace"));
  is_visible = cell_caller_may_see (caller, workspace != NULL ? workspace : "");
  json_decref (json);
  return is_visible;
}

void
cell_keys_tick (MuxCell *cell)
{
  bool confirmed = cell->config != NULL && config_is_confirmed (cell);

  if (confirmed == cell->keys_confirmed_logged)
    return;
  cell->keys_confirmed_logged = confirmed;
  if (cell->config != NULL && cell->config->workspaces != NULL)
    cell_log (cell, confirmed ? "keys_proved" : "keys_unproved",
              "{s:I, s:I, s:b}", "version", (json_int_t) cell->config->version,
              "proof_age_ms", (json_int_t) cell_config_age_ms (cell), "unread",
              (int) cell->config_unreadable);
}

/* A configuration that can't be parsed may have revoked keys. */
void
cell_config_confirmed (MuxCell *cell, int64_t at_ms)
{
  if (at_ms > cell->config_confirmed_ms && !cell->config_unreadable)
    cell->config_confirmed_ms = at_ms;
}
