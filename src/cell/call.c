#include "cell_private.h"
#include "token.h"

#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The store counts as unavailable once all calls have failed for this long,
 * three short attempts: callers are then refused at once instead of waiting. */
#define STORE_UNAVAILABLE_MS 400

static void
count_call (MuxCell *cell, MuxCellVerb verb)
{
  static const MuxCounter counter[] = {
    [MUX_CELL_COMMIT] = MUX_COUNT_TABLE_WRITES,
    [MUX_CELL_SCAN] = MUX_COUNT_TABLE_READS,
    [MUX_CELL_FEED] = MUX_COUNT_TABLE_READS,
    [MUX_CELL_START] = MUX_COUNT_WORKER_CALLS,
    [MUX_CELL_STOP] = MUX_COUNT_WORKER_CALLS,
    [MUX_CELL_RENEW] = MUX_COUNT_WORKER_CALLS,
    [MUX_CELL_QUERY_APPROVAL] = MUX_COUNT_APPROVALS,
    [MUX_CELL_PACE] = MUX_COUNT_WORKER_CALLS,
  };

  mux_count (cell->options.counters, counter[verb], 1);
}

/* Bytes of an entry of a commit beside its part, key and value. */
#define ENTRY_BYTES 96
/* Base64 takes four bytes for three. */
#define BASE64_BYTES(len) (((len) + 2) / 3 * 4)

size_t
cell_commit_bytes (const MuxCellCall *call)
{
  size_t bytes = ENTRY_BYTES;

  for (uint32_t i = 0; i < call->change_count; i++)
    {
      const MuxCellChange *change = &call->change[i];

      bytes += ENTRY_BYTES + strlen (call->part) + strlen (change->key);
      if (change->value != NULL)
        bytes += BASE64_BYTES (change->value->len);
    }
  return bytes;
}

static void
describe_commit (CellPending *entry, const MuxCellCall *call)
{
  uint32_t i = 0;

  while (i + 1 < call->change_count
         && (call->change[i].kind == MUX_CHANGE_EXPECT
             || call->change[i].table == MUX_TABLE_FENCE))
    i++;
  if (call->change_count > 0)
    entry->table = call->change[i].table;
  entry->change_count = call->change_count;
  entry->bytes = cell_commit_bytes (call);
}

/* One line a second at most: a commit may be repeated at once. */
static void
report_rejection (MuxCell *cell,
                  const CellPending *entry,
                  const MuxCellReply *reply)
{
  mux_count (cell->options.counters, MUX_COUNT_COMMITS_REJECTED, 1);
  if (cell->time.now_ms < cell->next_rejection_log_ms)
    return;
  cell->next_rejection_log_ms = cell->time.now_ms + CELL_REPEATED_LOG_MS;
  cell_log (cell, "commit_rejected", "{s:s, s:i, s:I, s:s}", "table",
            cell_table_name (entry->table), "entries",
            (int) entry->change_count, "bytes", (json_int_t) entry->bytes,
            "why", reply->rejection);
}

bool
cell_call (MuxCell *cell, MuxCellCall *call, const CellPending *pending)
{
  CellPending *entry;

  if (call == NULL)
    return false;
  entry = cell_pending_add (cell, pending, call);
  if (entry == NULL)
    {
      mux_cell_call_free (call);
      return false;
    }
  call->call_id = entry->call_id;
  if (call->verb == MUX_CELL_COMMIT)
    describe_commit (entry, call);
  count_call (cell, call->verb);
  if (cell->options.sink->call (cell->options.sink, call))
    return true;
  cell_pending_remove (cell, entry);
  return false;
}

void
cell_call_abandon (MuxCell *cell, uint64_t call_id)
{
  CellPending *entry = cell_pending_find (cell, call_id);

  if (entry != NULL)
    cell_pending_remove (cell, entry);
}

static bool
is_store_call (MuxCellVerb verb)
{
  return verb == MUX_CELL_COMMIT || verb == MUX_CELL_SCAN
         || verb == MUX_CELL_FEED;
}

static bool
is_worker_call (MuxCellVerb verb)
{
  return verb == MUX_CELL_START || verb == MUX_CELL_STOP
         || verb == MUX_CELL_PACE || verb == MUX_CELL_RENEW;
}

void
cell_store_result (MuxCell *cell, const MuxCellReply *reply)
{
  bool served
      = reply->status != MUX_CELL_NOT_DONE && reply->status != MUX_CELL_UNKNOWN;

  if (served)
    {
      cell->store_served_ms = cell->time.now_ms;
      if (cell->store_failing_since_ms != 0)
        cell->store_changed_ms = cell->time.now_ms;
      if (cell->store_failing_since_ms != 0
          && cell->time.now_ms - cell->store_failing_since_ms
                 > STORE_UNAVAILABLE_MS)
        cell_log (
            cell, "store_back", "{s:I}", "away_ms",
            (json_int_t) (cell->time.now_ms - cell->store_failing_since_ms));
      cell->store_failing_since_ms = 0;
      return;
    }
  if (cell->store_failing_since_ms != 0)
    return;
  cell->store_failing_since_ms = cell->time.now_ms;
  cell->store_changed_ms = cell->time.now_ms;
  cell_log (cell, "store_failing", "{s:s}", "status",
            mux_cell_status_name (reply->status));
}

void
cell_store_timed_out (MuxCell *cell, int64_t since_ms)
{
  cell->store_failing_since_ms = since_ms;
  cell->store_changed_ms = cell->time.now_ms;
  cell_log (cell, "store_failing", "{s:s}", "status", "silent");
}

bool
cell_store_available (const MuxCell *cell)
{
  return cell->store_failing_since_ms == 0
         || cell->time.now_ms - cell->store_failing_since_ms
                < STORE_UNAVAILABLE_MS;
}

/*
 * A reply holds the store's clock at some moment after the call, and from a
 * slow store it is under way for a second. Taken as the clock at the time of
 * the call it is never behind; otherwise an expiry in the roster could be
 * before the worker's lease ends. A call that waits for changes is too
 * inexact.
 */
static void
update_store_clock (MuxCell *cell,
                    const CellPending *entry,
                    const MuxCellReply *reply)
{
  if (reply->store_clock_ms == 0 || reply->verb == MUX_CELL_FEED)
    return;
  cell->store_clock_ms = reply->store_clock_ms;
  cell->store_clock_at_ms = entry->sent_ms;
}

static void
record_duration (MuxCell *cell,
                 const CellPending *entry,
                 const MuxCellReply *reply)
{
  int64_t took_ms = cell->time.now_ms - entry->sent_ms;
  MuxCounters *counters = cell->options.counters;

  if (reply->verb == MUX_CELL_COMMIT || reply->verb == MUX_CELL_SCAN)
    mux_observe (counters, MUX_HIST_STORE, took_ms);
  else if (reply->verb == MUX_CELL_START || reply->verb == MUX_CELL_STOP
           || reply->verb == MUX_CELL_PACE)
    mux_observe (counters, MUX_HIST_WORKER, took_ms);
  else if (reply->verb == MUX_CELL_QUERY_APPROVAL)
    mux_observe (counters, MUX_HIST_APPROVAL, took_ms);
  if (!is_worker_call (reply->verb))
    return;
  cell_start_gate_order (cell, entry, reply);
  cell_order_replied (cell, entry, reply);
}

/*
 * Calls lost in an outage of the store time out one after the other until 1.5
 * s after its end, and callers would be refused for each. So a time-out counts
 * only if no other call was answered lately. A call that fails at once shows
 * the present state.
 */
static bool
shows_present_state (const MuxCell *cell,
                     const CellPending *entry,
                     const MuxCellReply *reply)
{
  int64_t now = cell->time.now_ms;

  return reply->status != MUX_CELL_UNKNOWN
         || now - entry->sent_ms < CELL_REPLY_MAX_MS
         || now - cell->store_served_ms >= CELL_REPLY_MAX_MS;
}

int64_t
cell_store_time_ms (const MuxCell *cell, int64_t in_ms)
{
  return cell->store_clock_at_ms != 0
             ? cell->store_clock_ms
                   + (cell->time.now_ms - cell->store_clock_at_ms) + in_ms
             : 0;
}

void
cell_reply_received (MuxCell *cell, MuxCellReply *reply)
{
  CellPending *entry = cell_pending_find (cell, reply->call_id);

  /* An abandoned call that times out says nothing of the store now. */
  if (entry != NULL && is_store_call (reply->verb)
      && shows_present_state (cell, entry, reply))
    cell_store_result (cell, reply);
  cell_reply_drop_tokens (cell, reply);
  if (entry == NULL)
    return;
  cell_pending_take (cell, entry);
  update_store_clock (cell, entry, reply);
  record_duration (cell, entry, reply);
  if (reply->verb == MUX_CELL_COMMIT && reply->status == MUX_CELL_BAD_REQUEST)
    report_rejection (cell, entry, reply);
  cell->reply_clock_ms = reply->store_clock_ms;
  /* A reply that belongs to an earlier term refers to state that is gone. */
  if (entry->term == 0 || entry->term == cell->term)
    entry->on_reply (cell, entry, reply);
  cell->reply_clock_ms = 0;
  free (entry);
}

void
mux_cell_reply (MuxCell *cell, MuxCellTime time, MuxCellReply *reply)
{
  cell_set_time (cell, time);
  cell_reply_received (cell, reply);
  mux_cell_reply_free (reply);
}

uint32_t
cell_part_of (const char *id)
{
  return (uint32_t) (mux_hash_name (id, 0) % CELL_PARTS);
}

MuxPeerMsg
cell_message (const MuxCell *cell, MuxPeerVerb verb, const char *to)
{
  MuxPeerMsg msg = { .verb = verb };

  snprintf (msg.from, sizeof msg.from, "%s", cell->options.name);
  snprintf (msg.from_addr, sizeof msg.from_addr, "%s", cell->options.peer_addr);
  snprintf (msg.to, sizeof msg.to, "%s", to);
  msg.from_incarnation = cell->options.incarnation;
  return msg;
}

/*
 * Callers are numbered outside of the cell, from the start with each process.
 * A peer's reply to a request of an earlier process of the same name would be
 * taken for another caller's, and accept a job that is not stored.
 * Incarnations of two processes are further apart than either has callers, so
 * that a number of the other process belongs to no caller here.
 */
uint64_t
cell_peer_request_id (const MuxCell *cell, uint64_t request_id)
{
  return cell->options.incarnation + request_id;
}

uint64_t
cell_peer_request_caller (const MuxCell *cell, uint64_t peer_request_id)
{
  return peer_request_id - cell->options.incarnation;
}

MuxCellChange *
cell_call_add_change (MuxCellCall *call,
                      MuxChangeKind kind,
                      MuxCellTable table,
                      const char *key)
{
  MuxCellChange *change = &call->change[call->change_count++];

  change->kind = kind;
  change->table = table;
  snprintf (change->key, sizeof change->key, "%s", key);
  return change;
}

MuxCellCall *
cell_scan_call (MuxCellTable table, const char *part)
{
  MuxCellCall *call = mux_cell_call_new (MUX_CELL_SCAN);

  if (call == NULL)
    return NULL;
  call->table = table;
  call->timeout_ms = CELL_STORE_TIMEOUT_MS;
  snprintf (call->part, sizeof call->part, "%s", part);
  return call;
}

MuxCellCall *
cell_commit_call (const char *part, uint32_t changes)
{
  MuxCellCall *call = mux_cell_call_new (MUX_CELL_COMMIT);

  if (call == NULL || !mux_cell_call_alloc_changes (call, changes))
    {
      mux_cell_call_free (call);
      return NULL;
    }
  call->timeout_ms = CELL_STORE_TIMEOUT_MS;
  snprintf (call->part, sizeof call->part, "%s", part);
  return call;
}

void
cell_call_expect (MuxCellCall *call,
                  MuxCellTable table,
                  const char *key,
                  uint64_t version)
{
  cell_call_add_change (call, MUX_CHANGE_EXPECT, table, key)->version = version;
}

/* A space sorts before all characters of a key. */
void
cell_key_after (char next[MUX_ROW_NAME_LEN], const char *key)
{
  size_t len = strnlen (key, MUX_ROW_NAME_LEN - 2);

  memcpy (next, key, len);
  next[len] = ' ';
  next[len + 1] = 0;
}

MuxBlob *
cell_blob_from_json (json_t *json)
{
  char *text = json != NULL ? json_dumps (json, JSON_COMPACT) : NULL;
  MuxBlob *blob = text != NULL ? mux_blob_new (text, strlen (text)) : NULL;

  free (text);
  json_decref (json);
  return blob;
}

json_t *
cell_json_from_blob (const MuxBlob *blob)
{
  return blob != NULL ? json_loadb (blob->bytes, blob->len, 0, NULL) : NULL;
}

void
cell_log (MuxCell *cell, const char *event, const char *format, ...)
{
  json_t *fields;
  va_list args;

  va_start (args, format);
  fields = json_vpack_ex (NULL, 0, format, args);
  va_end (args);
  cell->options.sink->log (cell->options.sink, event, fields);
}
