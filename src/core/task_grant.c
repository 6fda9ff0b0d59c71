#include "commit.h"
#include "member.h"
#include "owner.h"
#include "task_private.h"

#include <stdio.h>
#include <string.h>

/* A home's requests for room: the choice of an owner and the messages to it. */

/* Longest time limit sent to an owner; a longer one is sent as this. */
#define TIME_LIMIT_MAX_MS 3600000
/* Factor for the cost of owners in other data centres; that of local ones is 1.
 */
#define REMOTE_COST_FACTOR 2
/* Owners that are tried for one attempt; Task.refused_by has as many entries.
 */
#define OWNERS_TRIED_MAX 4

/* An owner that room may be requested from.  Owners with room are preferred;
 * among equal ones that with the lowest cost. */
typedef struct
{
  bool usable;
  bool has_room;
  uint64_t cost; /* requests per slot with this one, in thousandths */
  const char *name;
  Member *member; /* NULL: this daemon */
} OwnerChoice;

static bool
has_refused (const Task *task, const char *owner)
{
  for (uint32_t i = 0; i < OWNERS_TRIED_MAX; i++)
    if (strcmp (task->refused_by[i], owner) == 0)
      return true;
  return false;
}

static OwnerChoice
evaluate_owner (const Task *task,
                const char *name,
                Member *member,
                MuxSize free,
                MuxSize total,
                uint32_t queued,
                uint32_t cost_factor)
{
  OwnerChoice choice = { .name = name, .member = member };

  if (total.slots == 0 || has_refused (task, name))
    return choice;
  choice.usable = true;
  choice.has_room = queued == 0 && mux_size_fits (task->size, free);
  choice.cost = (uint64_t) (queued + 1) * 1000 * cost_factor / total.slots;
  return choice;
}

static bool
is_better (const OwnerChoice *a, const OwnerChoice *b)
{
  if (a->usable != b->usable)
    return a->usable;
  if (a->has_room != b->has_room)
    return a->has_room;
  return a->cost < b->cost;
}

/*
 * Two daemons of this data centre may receive the same idempotent key.  While
 * the store is down, no row shows that to either of them, and the work would
 * run in two places at a time.  Both therefore choose the same owner, by the
 * hash of the key, and that owner books a task id only once.
 */
static OwnerChoice
choose_owner_by_key (MuxCore *core, const Task *task)
{
  MuxSchedStats stats = mux_sched_stats (core->sched, core->now_ms);
  char key[MUX_ID_HEX_LEN];
  OwnerChoice best = { 0 };
  uint64_t best_rank = 0;

  mux_id_format (task->key, key);
  if (!core->stopping && stats.total.slots > 0)
    {
      best = (OwnerChoice){ .usable = true, .name = core->name };
      best_rank = members_rank (core->name, key);
    }
  for (Member *m = core->members; m != NULL; m = m->hh.next)
    {
      uint64_t rank = members_rank (m->name, key);

      if (!m->local || !member_usable (m) || m->total.slots == 0
          || (best.usable && rank < best_rank))
        continue;
      best = (OwnerChoice){ .usable = true, .name = m->name, .member = m };
      best_rank = rank;
    }
  if (best.usable && has_refused (task, best.name))
    best.usable = false;
  return best;
}

static OwnerChoice
choose_owner (MuxCore *core, const Task *task)
{
  MuxSchedStats stats = mux_sched_stats (core->sched, core->now_ms);
  OwnerChoice best = { 0 };

  if (task->keyed && task->idempotent && commit_store_down (core))
    return choose_owner_by_key (core, task);
  if (!core->stopping)
    best = evaluate_owner (task, core->name, NULL, stats.available, stats.total,
                           stats.queued, 1);
  /* Room here is preferred to any other: it needs no message and no delay. */
  if (best.usable && best.has_room)
    return best;
  for (Member *m = core->members; m != NULL; m = m->hh.next)
    {
      OwnerChoice choice;

      if (!member_usable (m))
        continue;
      choice = evaluate_owner (task, m->name, m, m->free, m->total, m->queued,
                               m->local ? 1 : REMOTE_COST_FACTOR);
      if (is_better (&choice, &best))
        best = choice;
    }
  return best;
}

bool
task_owners_exhausted (MuxCore *core, const Task *task)
{
  return task->owners_tried >= OWNERS_TRIED_MAX
         || !choose_owner (core, task).usable;
}

void
task_mark_owner_refused (Task *task, const char *owner)
{
  if (task->owners_tried > 0 && task->owners_tried <= OWNERS_TRIED_MAX)
    mux_name_copy (task->refused_by[task->owners_tried - 1], owner);
}

static uint32_t
remaining_ms (const MuxCore *core, int64_t until_ms)
{
  int64_t left = until_ms - core->now_ms;

  if (left < 0)
    return 0;
  return left > TIME_LIMIT_MAX_MS ? TIME_LIMIT_MAX_MS : (uint32_t) left;
}

static void
send_request (MuxCore *core, Task *task)
{
  Member *member;
  MuxPeerMsg msg = { .verb = MUX_PEER_GRANT_REQUEST,
                     .task = task->id,
                     .group = task->group,
                     .group_count = task->group_count,
                     .start_within_ms = remaining_ms (core, task->start_by_ms),
                     .give_up_ms = remaining_ms (core, task->expires_ms) };

  mux_name_copy (msg.class_name, task->class_name);
  task_set_timer (core, task, core_jitter (core, GRANT_REQUEST_REPEAT_MS));
  if (strcmp (task->owner, core->name) == 0)
    {
      mux_name_copy (msg.from, core->name);
      msg.from_incarnation = core->opt.incarnation;
      owner_request (core, &msg);
      return;
    }
  member = member_find (core, task->owner);
  if (member != NULL)
    member_send (core, member, &msg);
}

void
task_request_room (MuxCore *core, Task *task)
{
  OwnerChoice choice = choose_owner (core, task);

  task->owner[0] = 0;
  if (!choice.usable)
    {
      TaskEvent event
          = { .kind = TASK_EV_REFUSED, .reason = MUX_REASON_NO_WORKERS };

      if (task->last_reason != MUX_REASON_NONE)
        event.reason = task->last_reason;
      event.retry_ms = task->last_retry_ms;
      task_event (core, task, &event);
      return;
    }
  mux_name_copy (task->owner, choice.name);
  task->owners_tried++;
  if (choice.member != NULL)
    {
      choice.member->free = mux_size_sub (choice.member->free, task->size);
      if (!choice.has_room)
        choice.member->queued++;
    }
  send_request (core, task);
}

void
task_request_owner (MuxCore *core,
                    Task *task,
                    const char *owner,
                    MuxId group,
                    uint32_t count)
{
  task->state = TASK_REQUESTING;
  task->group = group;
  task->group_count = count;
  mux_name_copy (task->owner, owner);
  send_request (core, task);
}

bool
task_room_elsewhere (MuxCore *core, const Task *task)
{
  OwnerChoice choice;

  if (!mux_id_is_none (task->group))
    return false;
  choice = choose_owner (core, task);
  return choice.usable && choice.has_room
         && strcmp (choice.name, task->owner) != 0;
}

void
task_repeat_request (MuxCore *core, Task *task)
{
  send_request (core, task);
}

static void
send_to_owner (MuxCore *core, const char *owner, MuxPeerMsg *msg)
{
  Member *member;

  if (strcmp (owner, core->name) == 0)
    {
      mux_name_copy (msg->from, core->name);
      msg->from_incarnation = core->opt.incarnation;
      if (msg->verb == MUX_PEER_GRANT_CANCEL)
        owner_cancel (core, msg);
      else
        owner_task_ended (core, msg);
      return;
    }
  member = member_find (core, owner);
  if (member != NULL)
    member_send (core, member, msg);
}

void
task_cancel_request (MuxCore *core, Task *task)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_GRANT_CANCEL, .task = task->id };

  if (task->owner[0] != 0)
    send_to_owner (core, task->owner, &msg);
  task->owner[0] = 0;
}

void
task_end_grant (MuxCore *core, Task *task, MuxTaskState state, uint32_t ran_ms)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_GRANT_END,
                     .task = task->id,
                     .state = state,
                     .not_after_ms = task->placement.not_after_ms,
                     .ran_ms = ran_ms };

  if (!task->granted)
    return;
  task->granted = false;
  send_to_owner (core, task->owner, &msg);
}

void
task_release_unwanted_grant (MuxCore *core, const MuxPeerMsg *grant)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_GRANT_END,
                     .task = grant->task,
                     .not_after_ms = grant->not_after_ms,
                     .state = MUX_TASK_ABSENT };

  send_to_owner (core, grant->from, &msg);
}
