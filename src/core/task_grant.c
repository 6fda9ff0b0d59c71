#include "commit.h"
#include "member.h"
#include "owner.h"
#include "task_private.h"

#include <stdio.h>
#include <string.h>

/* Longest stay in an owner's queue that a message can say. */
#define GIVE_UP_MAX_MS 3600000
/* Load of owners in other data centres counts this many times. */
#define FAR_COST 2
/* Owners asked for one attempt before its answer is final. */
#define OWNERS_MAX 4

/* How well one owner suits, lower is better. */
typedef struct
{
  bool usable;
  bool room; /* it could be placed at once */
  uint64_t cost;
  const char *name;
  Member *member; /* NULL: this daemon */
} Choice;

static bool
tried (const Task *task, const char *owner)
{
  for (uint32_t i = 0; i < OWNERS_MAX; i++)
    if (strcmp (task->refused_by[i], owner) == 0)
      return true;
  return false;
}

static Choice
weigh (const Task *task,
       const char *name,
       Member *member,
       MuxSize free,
       MuxSize total,
       uint32_t queued,
       uint32_t distance)
{
  Choice choice = { .name = name, .member = member };

  if (total.slots == 0 || tried (task, name))
    return choice;
  choice.usable = true;
  choice.room = queued == 0 && mux_size_fits (task->size, free);
  choice.cost = (uint64_t) (queued + 1) * 1000 * distance / total.slots;
  return choice;
}

static bool
better (const Choice *a, const Choice *b)
{
  if (a->usable != b->usable)
    return a->usable;
  if (a->room != b->room)
    return a->room;
  return a->cost < b->cost;
}

/*
 * Failure: the table is away and the same idempotent key comes to two daemons
 * of this data centre at once; without a row they would run it in two places
 * at one time.  Both ask the same owner, picked by the key, and it books one
 * task id once.
 */
static Choice
choose_by_key (MuxCore *core, const Task *task)
{
  MuxSchedStats stats = mux_sched_stats (core->sched, core->now_ms);
  char key[MUX_ID_HEX_LEN];
  Choice best = { 0 };
  uint64_t best_rank = 0;

  mux_id_format (task->key, key);
  if (!core->stopping && stats.total.slots > 0)
    {
      best = (Choice){ .usable = true, .name = core->name };
      best_rank = members_rank (core->name, key);
    }
  for (Member *m = core->members; m != NULL; m = m->hh.next)
    {
      uint64_t rank = members_rank (m->name, key);

      if (!m->local || !member_usable (m) || m->total.slots == 0
          || (best.usable && rank < best_rank))
        continue;
      best = (Choice){ .usable = true, .name = m->name, .member = m };
      best_rank = rank;
    }
  if (best.usable && tried (task, best.name))
    best.usable = false;
  return best;
}

static Choice
choose (MuxCore *core, const Task *task)
{
  MuxSchedStats stats = mux_sched_stats (core->sched, core->now_ms);
  Choice best = { 0 };

  if (task->keyed && task->idempotent && commit_store_down (core))
    return choose_by_key (core, task);
  if (!core->stopping)
    best = weigh (task, core->name, NULL, stats.available, stats.total,
                  stats.queued, 1);
  /* With room here there is no better place: no message, no delay. */
  if (best.usable && best.room)
    return best;
  for (Member *m = core->members; m != NULL; m = m->hh.next)
    {
      Choice choice;

      if (!member_usable (m))
        continue;
      choice = weigh (task, m->name, m, m->free, m->total, m->queued,
                      m->local ? 1 : FAR_COST);
      if (better (&choice, &best))
        best = choice;
    }
  return best;
}

bool
task_owners_exhausted (MuxCore *core, const Task *task)
{
  return task->owners_tried >= OWNERS_MAX || !choose (core, task).usable;
}

void
task_mark_owner_refused (Task *task, const char *owner)
{
  if (task->owners_tried > 0 && task->owners_tried <= OWNERS_MAX)
    mux_name_copy (task->refused_by[task->owners_tried - 1], owner);
}

static uint32_t
left_ms (const MuxCore *core, int64_t until_ms)
{
  int64_t left = until_ms - core->now_ms;

  if (left < 0)
    return 0;
  return left > GIVE_UP_MAX_MS ? GIVE_UP_MAX_MS : (uint32_t) left;
}

static void
send_ask (MuxCore *core, Task *task)
{
  Member *member;
  MuxPeerMsg msg = { .verb = MUX_PEER_GRANT_REQUEST,
                     .task = task->id,
                     .group = task->group,
                     .group_count = task->group_count,
                     .start_within_ms = left_ms (core, task->start_by_ms),
                     .give_up_ms = left_ms (core, task->expires_ms) };

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
  Choice choice = choose (core, task);

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
      if (!choice.room)
        choice.member->queued++;
    }
  send_ask (core, task);
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
  send_ask (core, task);
}

bool
task_room_elsewhere (MuxCore *core, const Task *task)
{
  Choice choice;

  if (!mux_id_is_none (task->group))
    return false;
  choice = choose (core, task);
  return choice.usable && choice.room && strcmp (choice.name, task->owner) != 0;
}

void
task_repeat_request (MuxCore *core, Task *task)
{
  send_ask (core, task);
}

static void
tell_owner (MuxCore *core, const char *owner, MuxPeerMsg *msg)
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
    tell_owner (core, task->owner, &msg);
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
  tell_owner (core, task->owner, &msg);
}

void
task_release_unwanted_grant (MuxCore *core, const MuxPeerMsg *grant)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_GRANT_END,
                     .task = grant->task,
                     .not_after_ms = grant->not_after_ms,
                     .state = MUX_TASK_ABSENT };

  tell_owner (core, grant->from, &msg);
}
