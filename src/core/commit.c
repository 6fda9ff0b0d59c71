#include "commit.h"

#include "call.h"
#include "member.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Maximum rows of one transaction. */
#define GROUP_MAX 64
/* How long keyed tasks are refused at once after a failed call to the store,
 * instead of each waiting for its own call to fail. */
#define STORE_DOWN_MS 1000

/*
 * A read or write of a task's row. Its reply counts only while the task still
 * awaits this row_call. A task may be given up with its write in flight and its
 * key submitted again; if the new task took that reply for its own, it would
 * start where no row says so, and the next submission would not find it and
 * would run the task a second time.
 */
typedef struct
{
  MuxId key;
  uint64_t row_call;
} Entry;

/* Rows to be written, or read, in order of arrival. */
typedef struct
{
  Entry *entry;
  uint32_t head;
  uint32_t count;
  uint32_t cap;
  Entry group[GROUP_MAX]; /* rows of the call in flight */
  uint32_t group_count;
  bool in_flight;
} Queue;

struct Commit
{
  Queue put;
  Queue read;
  uint64_t last_row_call;
  int64_t next_put_ms;
  int64_t down_until_ms;
};

Commit *
commit_new (void)
{
  return calloc (1, sizeof (Commit));
}

void
commit_free (Commit *commit)
{
  if (commit == NULL)
    return;
  free (commit->put.entry);
  free (commit->read.entry);
  free (commit);
}

static bool
queue_push (Queue *queue, Entry entry)
{
  if (queue->count == queue->cap)
    {
      uint32_t cap = queue->cap == 0 ? 64 : queue->cap * 2;
      Entry *grown = malloc (cap * sizeof *grown);

      if (grown == NULL)
        return false;
      for (uint32_t i = 0; i < queue->count; i++)
        grown[i] = queue->entry[(queue->head + i) % queue->cap];
      free (queue->entry);
      queue->entry = grown;
      queue->head = 0;
      queue->cap = cap;
    }
  queue->entry[(queue->head + queue->count++) % queue->cap] = entry;
  return true;
}

static bool
queue_pop (Queue *queue, Entry *entry)
{
  if (queue->count == 0)
    return false;
  *entry = queue->entry[queue->head];
  queue->head = (queue->head + 1) % queue->cap;
  queue->count--;
  return true;
}

MuxBlob *
intent_to_blob (const Intent *intent)
{
  json_t *json = json_pack (
      "{s:I, s:I, s:s, s:s, s:I, s:s, s:I, s:I, s:I}", "attempt",
      (json_int_t) intent->attempt, "grant", (json_int_t) intent->grant_number,
      "worker", intent->worker, "addr", intent->addr, "incarnation",
      (json_int_t) intent->incarnation, "home", intent->home,
      "home_incarnation", (json_int_t) intent->home_incarnation, "not_after_ms",
      (json_int_t) intent->not_after_ms, "at_ms", (json_int_t) intent->at_ms);
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);
  MuxBlob *blob = text == NULL ? NULL : mux_blob_new (text, strlen (text));

  json_decref (json);
  free (text);
  return blob;
}

bool
intent_from_blob (const MuxBlob *blob, Intent *intent)
{
  json_t *json;
  json_int_t attempt, grant, incarnation, home_incarnation, not_after_ms, at_ms;
  const char *worker, *addr, *home;
  bool valid;

  if (blob == NULL)
    return false;
  json = json_loadb (blob->bytes, blob->len, 0, NULL);
  valid = json != NULL
          && json_unpack (json, "{s:I, s:I, s:s, s:s, s:I, s:s, s:I, s:I, s:I}",
                          "attempt", &attempt, "grant", &grant, "worker",
                          &worker, "addr", &addr, "incarnation", &incarnation,
                          "home", &home, "home_incarnation", &home_incarnation,
                          "not_after_ms", &not_after_ms, "at_ms", &at_ms)
                 == 0
          && attempt > 0 && attempt < UINT32_MAX
          && strlen (addr) < MUX_ADDR_LEN;
  if (valid)
    {
      *intent = (Intent){ .attempt = (uint32_t) attempt,
                          .grant_number = (uint64_t) grant,
                          .incarnation = (uint64_t) incarnation,
                          .home_incarnation = (uint64_t) home_incarnation,
                          .not_after_ms = not_after_ms,
                          .at_ms = at_ms };
      valid = mux_name_copy (intent->worker, worker)
              && mux_name_copy (intent->home, home);
      snprintf (intent->addr, sizeof intent->addr, "%s", addr);
    }
  json_decref (json);
  return valid;
}

static void
row_key (MuxId key, char out[MUX_ROW_KEY_LEN])
{
  char hex[MUX_ID_HEX_LEN];

  mux_id_format (key, hex);
  snprintf (out, MUX_ROW_KEY_LEN, "once/%s", hex);
}

static Entry
new_entry (MuxCore *core, Task *task)
{
  task->awaited_row_call = ++core->commit->last_row_call;
  return (Entry){ task->key, task->awaited_row_call };
}

/* Returns the task if it still waits for the result of @entry, else NULL. */
static Task *
waiting_task (MuxCore *core, Entry entry, TaskState state)
{
  Task *task = task_find (core, entry.key);

  if (task == NULL || task->awaited_row_call != entry.row_call)
    return NULL;
  if (task->state == state
      || (state == TASK_READING && task->state == TASK_REFUSING))
    return task;
  return NULL;
}

bool
commit_put (MuxCore *core, Task *task)
{
  return queue_push (&core->commit->put, new_entry (core, task));
}

static void
notify_task (MuxCore *core,
             Entry entry,
             TaskState state,
             TaskEventKind kind,
             uint64_t rev)
{
  Task *task = waiting_task (core, entry, state);
  TaskEvent event = { .kind = kind, .rev = rev };

  if (task != NULL)
    task_event (core, task, &event);
}

void
commit_read (MuxCore *core, Task *task)
{
  Entry entry = new_entry (core, task);

  if (!queue_push (&core->commit->read, entry))
    notify_task (core, entry, TASK_READING, TASK_EV_STORE_DOWN, 0);
}

static void
set_store_down (MuxCore *core)
{
  if (core->now_ms >= core->commit->down_until_ms)
    core_log (core, MUX_LOG_WARNING, "store_down", "daemon=%s", core->name);
  core->commit->down_until_ms = core->now_ms + STORE_DOWN_MS;
}

bool
commit_store_down (const MuxCore *core)
{
  return core->now_ms < core->commit->down_until_ms;
}

static void
notify_group (MuxCore *core,
              Queue *queue,
              TaskState state,
              TaskEventKind kind,
              uint64_t rev)
{
  Entry group[GROUP_MAX];
  uint32_t count = queue->group_count;

  memcpy (group, queue->group, count * sizeof group[0]);
  queue->group_count = 0;
  queue->in_flight = false;
  for (uint32_t i = 0; i < count; i++)
    notify_task (core, group[i], state, kind, rev);
}

static const MuxRow *
row_of (const MuxTableReply *reply, MuxId key)
{
  char name[MUX_ROW_KEY_LEN];

  row_key (key, name);
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (strcmp (reply->rows[i].key, name) == 0)
      return &reply->rows[i];
  return NULL;
}

static void
notify_row (MuxCore *core, Entry entry, TaskState state, const MuxRow *row)
{
  Task *task = waiting_task (core, entry, state);
  Intent intent;
  TaskEvent event
      = { .kind = TASK_EV_ROW_FOUND, .intent = &intent, .rev = row->rev };

  if (task == NULL)
    return;
  if (row->rev == MUX_REV_ABSENT)
    event.kind = TASK_EV_ROW_ABSENT;
  else if (!intent_from_blob (row->value, &intent))
    event.kind = TASK_EV_STORE_DOWN;
  task_event (core, task, &event);
}

/* A row's condition failed, so no row of the group was written. The tasks of
 * the rows in conflict get the stored rows; the others join the next group. */
static void
split_group (MuxCore *core, const MuxTableReply *reply)
{
  Queue *put = &core->commit->put;
  Entry group[GROUP_MAX];
  uint32_t count = put->group_count;

  memcpy (group, put->group, count * sizeof group[0]);
  put->group_count = 0;
  put->in_flight = false;
  for (uint32_t i = 0; i < count; i++)
    {
      const MuxRow *row = row_of (reply, group[i].key);

      if (row != NULL)
        notify_row (core, group[i], TASK_RECORDING, row);
      else if (!queue_push (put, group[i]))
        notify_task (core, group[i], TASK_RECORDING, TASK_EV_STORE_DOWN, 0);
    }
}

static void
put_done (MuxCore *core,
          MuxId subject,
          uint64_t aux,
          const MuxTableReply *reply)
{
  Queue *put = &core->commit->put;

  (void) subject;
  (void) aux;
  switch (reply->status)
    {
    case MUX_TABLE_OK:
      core->commit->down_until_ms = 0;
      notify_group (core, put, TASK_RECORDING, TASK_EV_ROW_WRITTEN, reply->rev);
      break;
    case MUX_TABLE_CONFLICT:
      split_group (core, reply);
      break;
    case MUX_TABLE_UNKNOWN:
      notify_group (core, put, TASK_RECORDING, TASK_EV_ROW_UNKNOWN, 0);
      break;
    case MUX_TABLE_DOWN:
    case MUX_TABLE_BAD_REQUEST:
      set_store_down (core);
      notify_group (core, put, TASK_RECORDING, TASK_EV_STORE_DOWN, 0);
      break;
    }
}

static void
read_done (MuxCore *core,
           MuxId subject,
           uint64_t aux,
           const MuxTableReply *reply)
{
  Queue *read = &core->commit->read;
  Entry group[GROUP_MAX];
  uint32_t count = read->group_count;

  (void) subject;
  (void) aux;
  if (reply->status != MUX_TABLE_OK)
    {
      set_store_down (core);
      notify_group (core, read, TASK_READING, TASK_EV_STORE_DOWN, 0);
      return;
    }
  memcpy (group, read->group, count * sizeof group[0]);
  read->group_count = 0;
  read->in_flight = false;
  for (uint32_t i = 0; i < count; i++)
    {
      const MuxRow *row = row_of (reply, group[i].key);

      if (row != NULL)
        notify_row (core, group[i], TASK_READING, row);
      else
        notify_task (core, group[i], TASK_READING, TASK_EV_ROW_ABSENT, 0);
    }
}

/* Moves up to GROUP_MAX entries whose task is still in @state from the
 * queue to its group. Returns their number. */
static uint32_t
take_group (MuxCore *core, Queue *queue, TaskState state)
{
  Entry entry;

  queue->group_count = 0;
  while (queue->group_count < GROUP_MAX && queue_pop (queue, &entry))
    if (waiting_task (core, entry, state) != NULL)
      queue->group[queue->group_count++] = entry;
  return queue->group_count;
}

static bool
fill_put (MuxCore *core, MuxTableCall *call, const Queue *put)
{
  for (uint32_t i = 0; i < put->group_count; i++)
    {
      const Task *task = task_find (core, put->group[i].key);

      row_key (task->key, call->rows[i].key);
      call->rows[i].rev = task->row_rev;
      call->rows[i].value = intent_to_blob (&task->placement);
      if (call->rows[i].value == NULL)
        return false;
    }
  return true;
}

static void
send_put (MuxCore *core)
{
  Queue *put = &core->commit->put;
  uint32_t count = take_group (core, put, TASK_RECORDING);
  MuxTableCall *call;

  if (count == 0)
    return;
  call = mux_table_call_new (MUX_TABLE_TXN, count);
  if (call != NULL && !fill_put (core, call, put))
    {
      mux_table_call_free (call);
      call = NULL;
    }
  core->commit->next_put_ms = core->now_ms + commit_write_interval_ms (core);
  put->in_flight = true;
  if (call == NULL || !call_table (core, call, put_done, (MuxId){ 0, 0 }, 0))
    notify_group (core, put, TASK_RECORDING, TASK_EV_STORE_DOWN, 0);
}

static void
send_read (MuxCore *core)
{
  Queue *read = &core->commit->read;
  uint32_t count = take_group (core, read, TASK_READING);
  MuxTableCall *call;

  if (count == 0)
    return;
  call = mux_table_call_new (MUX_TABLE_GET, count);
  for (uint32_t i = 0; call != NULL && i < count; i++)
    row_key (read->group[i].key, call->rows[i].key);
  read->in_flight = true;
  if (call == NULL || !call_table (core, call, read_done, (MuxId){ 0, 0 }, 0))
    notify_group (core, read, TASK_READING, TASK_EV_STORE_DOWN, 0);
}

int64_t
commit_write_interval_ms (const MuxCore *core)
{
  return 1000 * (int64_t) (members_live_count (core) + 1)
         / core->opt.writes_per_s;
}

void
commit_tick (MuxCore *core)
{
  Commit *commit = core->commit;

  if (!commit->read.in_flight && commit->read.count > 0)
    send_read (core);
  if (!commit->put.in_flight && commit->put.count > 0
      && core->now_ms >= commit->next_put_ms)
    send_put (core);
}

int64_t
commit_wake_ms (const MuxCore *core)
{
  const Commit *commit = core->commit;

  if (!commit->read.in_flight && commit->read.count > 0)
    return core->now_ms;
  if (!commit->put.in_flight && commit->put.count > 0)
    return commit->next_put_ms;
  return INT64_MAX;
}
