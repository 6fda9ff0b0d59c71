#include "commit.h"

#include "call.h"
#include "member.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Rows of one transaction. */
#define GROUP_MAX 64
/* After the table did not answer, keyed work is refused at once for so long,
 * in place of each request finding out for itself. */
#define DOWN_MS 1000

/*
 * What a row is wanted for.  Failure: a task is given up with its write in
 * flight, the same key comes again, and that write's answer is taken for the
 * new task's: it starts where no row says so, and the next submission finds
 * nothing there and runs the work a second time.  So an answer counts for the
 * want that it answers alone.
 */
typedef struct
{
  MuxId key;
  uint64_t want;
} Entry;

/* Tasks whose rows are to be written, or read, in order of arrival. */
typedef struct
{
  Entry *entry;
  uint32_t head;
  uint32_t count;
  uint32_t cap;
  Entry group[GROUP_MAX]; /* in flight */
  uint32_t group_count;
  bool in_flight;
} Queue;

struct Commit
{
  Queue put;
  Queue read;
  uint64_t wants;
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
  bool good;

  if (blob == NULL)
    return false;
  json = json_loadb (blob->bytes, blob->len, 0, NULL);
  good = json != NULL
         && json_unpack (json, "{s:I, s:I, s:s, s:s, s:I, s:s, s:I, s:I, s:I}",
                         "attempt", &attempt, "grant", &grant, "worker",
                         &worker, "addr", &addr, "incarnation", &incarnation,
                         "home", &home, "home_incarnation", &home_incarnation,
                         "not_after_ms", &not_after_ms, "at_ms", &at_ms)
                == 0
         && attempt > 0 && attempt < UINT32_MAX && strlen (addr) < MUX_ADDR_LEN;
  if (good)
    {
      *intent = (Intent){ .attempt = (uint32_t) attempt,
                          .grant_number = (uint64_t) grant,
                          .incarnation = (uint64_t) incarnation,
                          .home_incarnation = (uint64_t) home_incarnation,
                          .not_after_ms = not_after_ms,
                          .at_ms = at_ms };
      good = mux_name_copy (intent->worker, worker)
             && mux_name_copy (intent->home, home);
      snprintf (intent->addr, sizeof intent->addr, "%s", addr);
    }
  json_decref (json);
  return good;
}

static void
row_key (MuxId key, char out[MUX_ROW_KEY_LEN])
{
  char hex[MUX_ID_HEX_LEN];

  mux_id_format (key, hex);
  snprintf (out, MUX_ROW_KEY_LEN, "once/%s", hex);
}

static Entry
want (MuxCore *core, Task *task)
{
  task->awaited_row_call = ++core->commit->wants;
  return (Entry){ task->key, task->awaited_row_call };
}

/* The task that still wants what @entry stands for. */
static Task *
wanting (MuxCore *core, Entry entry, TaskState wanted)
{
  Task *task = task_find (core, entry.key);

  if (task == NULL || task->awaited_row_call != entry.want)
    return NULL;
  if (task->state == wanted
      || (wanted == TASK_READING && task->state == TASK_REFUSING))
    return task;
  return NULL;
}

bool
commit_put (MuxCore *core, Task *task)
{
  return queue_push (&core->commit->put, want (core, task));
}

static void
tell (MuxCore *core,
      Entry entry,
      TaskState wanted,
      TaskEventKind kind,
      uint64_t rev)
{
  Task *task = wanting (core, entry, wanted);
  TaskEvent event = { .kind = kind, .rev = rev };

  if (task != NULL)
    task_event (core, task, &event);
}

void
commit_read (MuxCore *core, Task *task)
{
  Entry entry = want (core, task);

  if (!queue_push (&core->commit->read, entry))
    tell (core, entry, TASK_READING, TASK_EV_STORE_DOWN, 0);
}

static void
note_down (MuxCore *core)
{
  if (core->now_ms >= core->commit->down_until_ms)
    core_log (core, 4, "store_down", "daemon=%s", core->name);
  core->commit->down_until_ms = core->now_ms + DOWN_MS;
}

bool
commit_store_down (const MuxCore *core)
{
  return core->now_ms < core->commit->down_until_ms;
}

static void
tell_group (MuxCore *core,
            Queue *queue,
            TaskState wanted,
            TaskEventKind kind,
            uint64_t rev)
{
  Entry group[GROUP_MAX];
  uint32_t count = queue->group_count;

  memcpy (group, queue->group, count * sizeof group[0]);
  queue->group_count = 0;
  queue->in_flight = false;
  for (uint32_t i = 0; i < count; i++)
    tell (core, group[i], wanted, kind, rev);
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
tell_row (MuxCore *core, Entry entry, TaskState wanted, const MuxRow *row)
{
  Task *task = wanting (core, entry, wanted);
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

/* One row's condition failed, so nothing of the group was written: those
 * rows' tasks learn what stands, the others go into the next group. */
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
        tell_row (core, group[i], TASK_RECORDING, row);
      else if (!queue_push (put, group[i]))
        tell (core, group[i], TASK_RECORDING, TASK_EV_STORE_DOWN, 0);
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
      tell_group (core, put, TASK_RECORDING, TASK_EV_ROW_WRITTEN, reply->rev);
      break;
    case MUX_TABLE_CONFLICT:
      split_group (core, reply);
      break;
    case MUX_TABLE_UNKNOWN:
      tell_group (core, put, TASK_RECORDING, TASK_EV_ROW_UNKNOWN, 0);
      break;
    case MUX_TABLE_DOWN:
    case MUX_TABLE_BAD:
      note_down (core);
      tell_group (core, put, TASK_RECORDING, TASK_EV_STORE_DOWN, 0);
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
      note_down (core);
      tell_group (core, read, TASK_READING, TASK_EV_STORE_DOWN, 0);
      return;
    }
  memcpy (group, read->group, count * sizeof group[0]);
  read->group_count = 0;
  read->in_flight = false;
  for (uint32_t i = 0; i < count; i++)
    {
      const MuxRow *row = row_of (reply, group[i].key);

      if (row != NULL)
        tell_row (core, group[i], TASK_READING, row);
      else
        tell (core, group[i], TASK_READING, TASK_EV_ROW_ABSENT, 0);
    }
}

/* Takes up to GROUP_MAX tasks still in @wanted off the queue. */
static uint32_t
take_group (MuxCore *core, Queue *queue, TaskState wanted)
{
  Entry entry;

  queue->group_count = 0;
  while (queue->group_count < GROUP_MAX && queue_pop (queue, &entry))
    if (wanting (core, entry, wanted) != NULL)
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
    tell_group (core, put, TASK_RECORDING, TASK_EV_STORE_DOWN, 0);
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
    tell_group (core, read, TASK_READING, TASK_EV_STORE_DOWN, 0);
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
