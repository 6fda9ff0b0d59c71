#include "sweep.h"

#include "call.h"
#include "member.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Daemons are ranked by this name; the first one sweeps. */
#define SWEEP_SUBJECT "sweep"
/* Delay between pages while rows are being removed. */
#define PAGE_REMOVED_MS 50
/* Delay between pages with nothing to remove. */
#define PAGE_EMPTY_MS 500
/* Delay between rounds. */
#define ROUND_INTERVAL_MS 60000

static const char *const prefixes[] = { "once/", "job/done/" };
#define PREFIXES (sizeof prefixes / sizeof prefixes[0])

struct Sweep
{
  uint32_t prefix;             /* index in prefixes */
  char after[MUX_ROW_KEY_LEN]; /* last key read */
  bool busy;                   /* a call is in flight */
  bool page_has_expired;       /* the current page had rows to remove */
  int64_t next_ms;
};

Sweep *
sweep_new (void)
{
  return calloc (1, sizeof (Sweep));
}

void
sweep_free (Sweep *sweep)
{
  free (sweep);
}

static void
schedule_next_page (MuxCore *core, const char *after, bool more)
{
  Sweep *sweep = core->sweep;

  sweep->busy = false;
  sweep->next_ms
      = core->now_ms
        + (sweep->page_has_expired ? PAGE_REMOVED_MS : PAGE_EMPTY_MS);
  if (more)
    {
      snprintf (sweep->after, sizeof sweep->after, "%s", after);
      return;
    }
  sweep->after[0] = 0;
  sweep->prefix = (sweep->prefix + 1) % PREFIXES;
  if (sweep->prefix == 0)
    sweep->next_ms = core->now_ms + core_jitter (core, ROUND_INTERVAL_MS);
}

/* Whether the row is too old; @object receives the key of the body that it
 * names, or "". */
static bool
is_expired (MuxCore *core, const MuxRow *row, char *object, size_t cap)
{
  int64_t keep_ms = (int64_t) core->opt.key_keep_s * 1000;
  json_t *json = row->value == NULL
                     ? NULL
                     : json_loadb (row->value->bytes, row->value->len, 0, NULL);
  const json_t *at = json_object_get (json, "at_ms");
  const char *name = json_string_value (json_object_get (json, "object"));
  bool old = json_is_integer (at)
             && json_integer_value (at) + keep_ms < core->wall_ms;

  snprintf (object, cap, "%s", name == NULL ? "" : name);
  json_decref (json);
  return old;
}

/* Removes the body of a job whose row is being removed.  If this call is lost,
 * the body only takes up space in the store. */
static void
remove_object (MuxCore *core, const char *object)
{
  MuxTableCall *call;

  if (object[0] == 0)
    return;
  call = mux_table_call_new (MUX_TABLE_OBJECT_PUT, 1);
  if (call == NULL)
    return;
  snprintf (call->rows[0].key, sizeof call->rows[0].key, "%s", object);
  call_table (core, call, NULL, (MuxId){ 0, 0 }, 0);
}

static void
remove_done (MuxCore *core,
             MuxId subject,
             uint64_t aux,
             const MuxTableReply *reply)
{
  (void) subject;
  (void) aux;
  /* After a conflict the rows are left to the next round. */
  if (reply->status == MUX_TABLE_OK)
    mux_count (core->counters, MUX_COUNT_ROWS_SWEPT, 1);
  core->sweep->busy = false;
}

/* Return: whether there are expired rows and their removal was sent. */
static bool
remove_rows (MuxCore *core, const MuxTableReply *reply)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_TXN, reply->row_count);
  char object[MUX_ROW_KEY_LEN];

  if (call == NULL)
    return false;
  call->row_count = 0;
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      MuxRow *row = &call->rows[call->row_count];

      if (!is_expired (core, &reply->rows[i], object, sizeof object))
        continue;
      remove_object (core, object);
      memcpy (row->key, reply->rows[i].key, sizeof row->key);
      row->rev = reply->rows[i].rev;
      call->row_count++;
    }
  if (call->row_count == 0)
    {
      mux_table_call_free (call);
      return false;
    }
  return call_table (core, call, remove_done, (MuxId){ 0, 0 }, 0);
}

static void
page_done (MuxCore *core,
           MuxId subject,
           uint64_t aux,
           const MuxTableReply *reply)
{
  Sweep *sweep = core->sweep;

  (void) subject;
  (void) aux;
  sweep->page_has_expired = false;
  if (reply->status != MUX_TABLE_OK)
    {
      sweep->busy = false;
      sweep->next_ms = core->now_ms + core_jitter (core, ROUND_INTERVAL_MS);
      return;
    }
  if (reply->row_count > 0)
    sweep->page_has_expired = remove_rows (core, reply);
  schedule_next_page (
      core, reply->row_count > 0 ? reply->rows[reply->row_count - 1].key : "",
      reply->more);
  sweep->busy = sweep->page_has_expired;
}

void
sweep_tick (MuxCore *core)
{
  Sweep *sweep = core->sweep;
  MuxTableCall *call;

  if (sweep->busy || core->now_ms < sweep->next_ms)
    return;
  sweep->next_ms = core->now_ms + ROUND_INTERVAL_MS;
  if (core->wall_ms == 0 || !members_ranked_first (core, SWEEP_SUBJECT, false))
    return;
  call = mux_table_call_new (MUX_TABLE_SCAN, 2);
  if (call == NULL)
    return;
  snprintf (call->rows[0].key, sizeof call->rows[0].key, "%s",
            prefixes[sweep->prefix]);
  memcpy (call->rows[1].key, sweep->after, sizeof call->rows[1].key);
  call->limit = MUX_ROWS_MAX / 2;
  sweep->busy = call_table (core, call, page_done, (MuxId){ 0, 0 }, 0);
}

int64_t
sweep_wake_ms (const MuxCore *core)
{
  return core->sweep->busy ? INT64_MAX : core->sweep->next_ms;
}
