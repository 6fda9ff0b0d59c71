#include "owner.h"

#include "member.h"
#include "task.h"
#include "worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

static Grant *
grant_find (MuxCore *core, MuxId task)
{
  Grant *grant;

  HASH_FIND (hh, core->grants, &task, sizeof task, grant);
  return grant;
}

static Grant *
grant_new (MuxCore *core, const MuxPeerMsg *ask)
{
  Grant *grant = calloc (1, sizeof *grant);

  if (grant == NULL)
    return NULL;
  grant->task = ask->task;
  grant->request = *ask;
  grant->request.body = NULL;
  HASH_ADD (hh, core->grants, task, sizeof grant->task, grant);
  return grant;
}

static void
grant_free (MuxCore *core, Grant *grant)
{
  if (grant->worker != NULL)
    {
      if (!grant->started)
        grant->worker->unstarted_grants--;
      DL_DELETE (grant->worker->grants, grant);
    }
  HASH_DEL (core->grants, grant);
  free (grant);
}

static void
grant_bind (Grant *grant, Worker *worker, bool seen)
{
  grant->placed = true;
  grant->started = seen;
  grant->worker = worker;
  grant->epoch = worker->epoch;
  if (!seen)
    worker->unstarted_grants++;
  DL_APPEND (worker->grants, grant);
}

static void
tell_home (MuxCore *core, const char *home, MuxPeerMsg *msg)
{
  Member *member;

  if (strcmp (home, core->name) == 0)
    {
      mux_name_copy (msg->from, core->name);
      msg->from_incarnation = core->opt.incarnation;
      tasks_peer_message (core, msg);
      return;
    }
  member = member_find (core, home);
  if (member != NULL)
    member_send (core, member, msg);
}

static void
refuse (MuxCore *core,
        const MuxPeerMsg *ask,
        MuxReason reason,
        uint32_t retry_ms)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_GRANT_REFUSED,
                     .task = ask->task,
                     .reason = reason,
                     .retry_ms = retry_ms };

  tell_home (core, ask->from, &msg);
}

static void
send_grant (MuxCore *core, Grant *grant)
{
  const Worker *worker = grant->worker;
  MuxPeerMsg msg = { .verb = MUX_PEER_GRANT,
                     .task = grant->task,
                     .epoch = grant->epoch,
                     .incarnation = worker->incarnation,
                     .not_after_ms = grant->not_after_ms,
                     .size = grant->size };

  mux_name_copy (msg.worker, worker->name);
  snprintf (msg.worker_addr, sizeof msg.worker_addr, "%s", worker->addr);
  grant->send_count++;
  if (strcmp (grant->request.from, core->name) != 0)
    mux_count (core->counters, MUX_COUNT_GRANTS_REMOTE, 1);
  tell_home (core, grant->request.from, &msg);
}

static void
void_ask (MuxCore *core, Grant *grant)
{
  if (grant->placed)
    mux_sched_ended (core->sched, grant->task, MUX_END_NO_START, 0,
                     (MuxSize){ 0 }, core->now_ms);
  else
    mux_sched_cancel (core->sched, grant->task);
  grant_free (core, grant);
}

static void
ask_again (MuxCore *core, Grant *grant, const MuxPeerMsg *ask)
{
  if (strcmp (grant->request.from, ask->from) != 0 || grant->started)
    {
      refuse (core, ask, MUX_REASON_KEY_IN_USE, RETRY_MS);
      return;
    }
  grant->request.from_incarnation = ask->from_incarnation;
  grant->checks_since_request = 0;
  if (grant->placed)
    send_grant (core, grant);
}

void
owner_request (MuxCore *core, const MuxPeerMsg *ask)
{
  Grant *grant = grant_find (core, ask->task);
  MuxTaskRequest task = { .task = ask->task,
                          .group = ask->group,
                          .group_count = ask->group_count,
                          .class_name = ask->class_name,
                          .start_by_ms = core->now_ms + ask->start_within_ms,
                          .expires_ms = core->now_ms + ask->give_up_ms,
                          .avoid = MUX_NO_WORKER };
  MuxAdmitResult verdict;

  /* The cancel of an ask in another group was lost: that gang is void. */
  if (grant != NULL && !grant->placed
      && !mux_id_equal (grant->request.group, ask->group)
      && strcmp (grant->request.from, ask->from) == 0)
    {
      void_ask (core, grant);
      grant = NULL;
    }
  if (grant != NULL)
    {
      ask_again (core, grant, ask);
      return;
    }
  if (core->stopping)
    {
      refuse (core, ask, MUX_REASON_STOPPING, 0);
      return;
    }
  verdict = mux_sched_submit (core->sched, &task, core->now_ms);
  if (verdict.reason != MUX_REASON_NONE)
    {
      refuse (core, ask, verdict.reason, verdict.retry_ms);
      return;
    }
  if (grant_new (core, ask) == NULL)
    {
      mux_sched_cancel (core->sched, ask->task);
      refuse (core, ask, MUX_REASON_INTERNAL, RETRY_MS);
    }
}

/*
 * Failure: the same key is asked for through two daemons.  The one that is
 * refused gives up, and its word, taken for the other's, would free room that
 * the other's start is about to fill: the worker is given more than it holds.
 * The same comes from a word of the home's former life that arrives late.
 */
static bool
is_asker (const Grant *grant, const MuxPeerMsg *msg)
{
  return strcmp (grant->request.from, msg->from) == 0
         && (grant->request.from_incarnation == msg->from_incarnation
             || grant->request.from_incarnation == 0);
}

/*
 * Failure: a cancel crosses the grant, and the home, asking for the same task
 * once more, takes that grant for the answer: it starts where nothing is
 * booked any more.  What is placed therefore stays booked: its home answers a
 * grant that it does not want with GRANT_END, or the booking runs out.
 */
void
owner_cancel (MuxCore *core, const MuxPeerMsg *msg)
{
  Grant *grant = grant_find (core, msg->task);

  if (grant != NULL && !grant->placed && is_asker (grant, msg))
    void_ask (core, grant);
}

static MuxTaskEnd
end_of_state (MuxTaskState state)
{
  switch (state)
    {
    case MUX_TASK_DONE:
    case MUX_TASK_DONE_GONE:
      return MUX_END_OK;
    case MUX_TASK_FAILED:
      return MUX_END_FAILED;
    case MUX_TASK_STOPPED:
      return MUX_END_STOPPED;
    case MUX_TASK_ABSENT:
    case MUX_TASK_FORGOTTEN:
    case MUX_TASK_RUNNING:
      break;
    }
  return MUX_END_NO_START;
}

void
owner_task_ended (MuxCore *core, const MuxPeerMsg *msg)
{
  Grant *grant = grant_find (core, msg->task);

  /*
   * Failure: a home's word comes late, when its grant has run out and the same
   * attempt was granted to another.  Freed by it, that one's room would be
   * given away while its start runs.  The last moment tells grants apart, also
   * a ticket's, which is ended by whoever it was brought to.
   */
  if (grant == NULL || !grant->placed
      || grant->not_after_ms != msg->not_after_ms)
    return;
  /*
   * Failure: a grant was told twice; its home started the task with the first
   * and let go of it (its job went to another), then gives the second back as
   * nobody's.  The room would be filled beside the task that runs.  So what
   * was told twice is freed by the worker's list, or when it has run out.
   */
  if (msg->state == MUX_TASK_ABSENT && grant->send_count > 1)
    return;
  mux_sched_ended (core->sched, msg->task,
                   end_of_state ((MuxTaskState) msg->state), msg->ran_ms,
                   (MuxSize){ 0 }, core->now_ms);
  grant_free (core, grant);
}

static void
place (MuxCore *core, const MuxPlacement *placement)
{
  Grant *grant = grant_find (core, placement->task);

  if (grant == NULL)
    {
      if (placement->worker != MUX_NO_WORKER)
        mux_sched_ended (core->sched, placement->task, MUX_END_NO_START, 0,
                         (MuxSize){ 0 }, core->now_ms);
      return;
    }
  if (placement->worker == MUX_NO_WORKER)
    {
      MuxPeerMsg ask = grant->request;

      grant_free (core, grant);
      refuse (core, &ask, placement->reason, placement->retry_ms);
      return;
    }
  grant_bind (grant, core->by_index[placement->worker], false);
  grant->size = placement->size;
  grant->not_after_ms = worker_clock_ms (core, grant->worker) + GRANT_TTL_MS;
  mux_count (core->counters, MUX_COUNT_GRANTS, 1);
  send_grant (core, grant);
}

void
owner_process_placements (MuxCore *core)
{
  MuxPlacement placement;

  if (core->processing_placements)
    return;
  core->processing_placements = true;
  while (mux_sched_next (core->sched, core->now_ms, &placement))
    place (core, &placement);
  core->processing_placements = false;
}

static void
see_running (MuxCore *core, Worker *worker, const MuxTaskReport *report)
{
  Grant *grant = grant_find (core, report->task);
  MuxPeerMsg ask = { .task = report->task };

  if (grant != NULL && grant->worker == worker)
    {
      if (!grant->started)
        worker->unstarted_grants--;
      grant->started = true;
      mux_name_copy (grant->request.from, report->home);
      mux_sched_started (core->sched, report->task, core->now_ms);
      mux_sched_report_usage (core->sched, report->task, report->used);
      return;
    }
  /* Waiting for a second place while it runs here: this is a late start of
   * an earlier attempt's twin; what runs is booked first. */
  if (grant != NULL)
    void_ask (core, grant);
  mux_name_copy (ask.from, report->home);
  mux_name_copy (ask.class_name, report->class_name);
  grant = grant_new (core, &ask);
  if (grant == NULL)
    return;
  grant->size = report->size;
  grant_bind (grant, worker, true);
  mux_sched_adopt (core->sched, report->task, report->class_name, worker->index,
                   report->size);
}

static void
see_ended (MuxCore *core, Worker *worker, const MuxTaskReport *report)
{
  Grant *grant = grant_find (core, report->task);
  MuxPeerMsg msg = { .verb = MUX_PEER_TASK_ENDED,
                     .task = report->task,
                     .state = report->state,
                     .ran_ms = report->ran_ms };
  char home[MUX_NAME_LEN];

  if (grant == NULL || grant->worker != worker)
    return;
  mux_sched_ended (core->sched, report->task, end_of_state (report->state),
                   report->ran_ms, report->used, core->now_ms);
  mux_name_copy (home, grant->request.from);
  mux_name_copy (msg.worker, worker->name);
  grant_free (core, grant);
  tell_home (core, home, &msg);
}

/*
 * Failure: a grant's message, or its start, was lost, and nobody will ever
 * say that the room is free.  Once a list was taken after the start's last
 * moment, both on the worker's clock, a start not on it can't come any more.
 */
static void
free_unused (MuxCore *core, Worker *worker, int64_t listed_ms)
{
  Grant *grant, *next;

  if (worker->unstarted_grants == 0)
    return;
  DL_FOREACH_SAFE (worker->grants, grant, next)
  {
    if (grant->started || listed_ms <= grant->not_after_ms)
      continue;
    mux_sched_ended (core->sched, grant->task, MUX_END_NO_START, 0,
                     (MuxSize){ 0 }, core->now_ms);
    grant_free (core, grant);
  }
}

void
owner_worker_report (MuxCore *core, Worker *worker, const MuxWorkerReply *reply)
{
  for (uint32_t i = 0; i < reply->report_count; i++)
    {
      const MuxTaskReport *report = &reply->reports[i];

      if (report->state == MUX_TASK_RUNNING)
        see_running (core, worker, report);
      else
        see_ended (core, worker, report);
    }
  free_unused (core, worker, reply->worker_clock_ms);
}

void
owner_worker_lost (MuxCore *core, Worker *worker, bool life_over)
{
  while (worker->grants != NULL)
    {
      Grant *grant = worker->grants;
      MuxPeerMsg msg = { .verb = MUX_PEER_TASK_ENDED,
                         .task = grant->task,
                         .state = MUX_TASK_ABSENT };
      char home[MUX_NAME_LEN];
      bool tell = life_over && grant->started;

      mux_name_copy (home, grant->request.from);
      mux_name_copy (msg.worker, worker->name);
      grant_free (core, grant);
      if (tell)
        tell_home (core, home, &msg);
    }
}

void
owner_refuse (MuxCore *core, MuxId task, MuxReason reason)
{
  Grant *grant = grant_find (core, task);
  MuxPeerMsg ask;

  if (grant == NULL || grant->placed)
    return;
  ask = grant->request;
  mux_sched_cancel (core->sched, task);
  grant_free (core, grant);
  refuse (core, &ask, reason, 0);
}

static Grant *
first_waiting (const MuxCore *core)
{
  Grant *grant = core->grants;

  while (grant != NULL && grant->placed)
    grant = grant->hh.next;
  return grant;
}

/* A refusal to a home in this daemon may void other asks at once, such as a
 * gang's, so the search begins anew after each. */
void
owner_refuse_all (MuxCore *core, MuxReason reason)
{
  Grant *grant;

  while ((grant = first_waiting (core)) != NULL)
    owner_refuse (core, grant->task, reason);
}

/*
 * Failure: a home dies, or comes back as a new life, with asks waiting here.
 * Members of its gangs would wait for others that never ask, and what is
 * placed for the rest stands unused until it runs out.
 */
void
owner_home_lost (MuxCore *core, const char *home, uint64_t incarnation)
{
  Grant *grant, *next;

  HASH_ITER (hh, core->grants, grant, next)
  if (!grant->placed && strcmp (grant->request.from, home) == 0
      && grant->request.from_incarnation <= incarnation)
    void_ask (core, grant);
}

void
owner_free (MuxCore *core)
{
  Grant *grant, *next;

  HASH_ITER (hh, core->grants, grant, next)
  grant_free (core, grant);
}
