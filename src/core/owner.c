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
grant_new (MuxCore *core, const MuxPeerMsg *request)
{
  Grant *grant = calloc (1, sizeof *grant);

  if (grant == NULL)
    return NULL;
  grant->task = request->task;
  grant->request = *request;
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
send_to_home (MuxCore *core, const char *home, MuxPeerMsg *msg)
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
        const MuxPeerMsg *request,
        MuxReason reason,
        uint32_t retry_ms)
{
  MuxPeerMsg msg = { .verb = MUX_PEER_GRANT_REFUSED,
                     .task = request->task,
                     .reason = reason,
                     .retry_ms = retry_ms };

  send_to_home (core, request->from, &msg);
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
  send_to_home (core, grant->request.from, &msg);
}

static void
drop_grant (MuxCore *core, Grant *grant)
{
  if (grant->placed)
    mux_sched_ended (core->sched, grant->task, MUX_END_NO_START, 0,
                     (MuxSize){ 0 }, core->now_ms);
  else
    mux_sched_cancel (core->sched, grant->task);
  grant_free (core, grant);
}

static void
repeat_request (MuxCore *core, Grant *grant, const MuxPeerMsg *request)
{
  if (strcmp (grant->request.from, request->from) != 0 || grant->started)
    {
      refuse (core, request, MUX_REASON_KEY_IN_USE, RETRY_MS);
      return;
    }
  grant->request.from_incarnation = request->from_incarnation;
  grant->checks_since_request = 0;
  if (grant->placed)
    send_grant (core, grant);
}

void
owner_request (MuxCore *core, const MuxPeerMsg *request)
{
  Grant *grant = grant_find (core, request->task);
  MuxTaskRequest task
      = { .task = request->task,
          .group = request->group,
          .group_count = request->group_count,
          .class_name = request->class_name,
          .start_by_ms = core->now_ms + request->start_within_ms,
          .expires_ms = core->now_ms + request->give_up_ms,
          .avoid = MUX_NO_WORKER };
  MuxAdmitResult verdict;

  /* A request for another gang replaces this one, whose cancel was lost. */
  if (grant != NULL && !grant->placed
      && !mux_id_equal (grant->request.group, request->group)
      && strcmp (grant->request.from, request->from) == 0)
    {
      drop_grant (core, grant);
      grant = NULL;
    }
  if (grant != NULL)
    {
      repeat_request (core, grant, request);
      return;
    }
  if (core->stopping)
    {
      refuse (core, request, MUX_REASON_STOPPING, 0);
      return;
    }
  verdict = mux_sched_submit (core->sched, &task, core->now_ms);
  if (verdict.reason != MUX_REASON_NONE)
    {
      refuse (core, request, verdict.reason, verdict.retry_ms);
      return;
    }
  if (grant_new (core, request) == NULL)
    {
      mux_sched_cancel (core->sched, request->task);
      refuse (core, request, MUX_REASON_INTERNAL, RETRY_MS);
    }
}

/*
 * True if @msg comes from the home, and its incarnation, that requested the
 * grant. When one key is requested through two daemons, the refused one sends
 * a cancel; applied to the other's request, it would free room that the
 * other's start is about to use and overbook the worker. So would a late
 * message of the home's previous incarnation.
 */
static bool
is_requester (const Grant *grant, const MuxPeerMsg *msg)
{
  return strcmp (grant->request.from, msg->from) == 0
         && (grant->request.from_incarnation == msg->from_incarnation
             || grant->request.from_incarnation == 0);
}

/*
 * A cancel does not free a booking. It may cross the grant, and a home that
 * has requested the same task again would take that grant as the reply and
 * start the task where nothing is booked. A home sends GRANT_END for a grant
 * that it does not want; otherwise the booking expires.
 */
void
owner_cancel (MuxCore *core, const MuxPeerMsg *msg)
{
  Grant *grant = grant_find (core, msg->task);

  if (grant != NULL && !grant->placed && is_requester (grant, msg))
    drop_grant (core, grant);
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
   * A late GRANT_END may belong to a grant that has expired, while the same
   * attempt was granted to another home; it must not free that one's room.
   * not_after_ms identifies the grant, also that of a ticket, which is ended
   * by the daemon that the ticket was presented to.
   */
  if (grant == NULL || !grant->placed
      || grant->not_after_ms != msg->not_after_ms)
    return;
  /*
   * A home may start the task under the first copy of a grant that was sent
   * twice, drop the task as its job moved to another home, and return the
   * second copy as unknown. The room is in use then. So a grant that was sent
   * more than once is freed by the worker's list or by its expiry only.
   */
  if (msg->state == MUX_TASK_ABSENT && grant->send_count > 1)
    return;
  mux_sched_ended (core->sched, msg->task,
                   end_of_state ((MuxTaskState) msg->state), msg->ran_ms,
                   (MuxSize){ 0 }, core->now_ms);
  grant_free (core, grant);
}

static void
apply_placement (MuxCore *core, const MuxPlacement *placement)
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
      MuxPeerMsg request = grant->request;

      grant_free (core, grant);
      refuse (core, &request, placement->reason, placement->retry_ms);
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
    apply_placement (core, &placement);
  core->processing_placements = false;
}

static void
report_running (MuxCore *core, Worker *worker, const MuxTaskReport *report)
{
  Grant *grant = grant_find (core, report->task);
  MuxPeerMsg request = { .task = report->task };

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
  /* The task waits for room although it runs here already, through a late
   * start. The running one is booked in place of the request. */
  if (grant != NULL)
    drop_grant (core, grant);
  mux_name_copy (request.from, report->home);
  mux_name_copy (request.class_name, report->class_name);
  grant = grant_new (core, &request);
  if (grant == NULL)
    return;
  grant->size = report->size;
  grant_bind (grant, worker, true);
  mux_sched_adopt (core->sched, report->task, report->class_name, worker->index,
                   report->size);
}

static void
report_ended (MuxCore *core, Worker *worker, const MuxTaskReport *report)
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
  send_to_home (core, home, &msg);
}

/*
 * Frees bookings whose grant or start was lost, which nobody reports as ended.
 * A task that is not on a list taken after its latest start, both on the
 * worker's clock, can't be started any more.
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
        report_running (core, worker, report);
      else
        report_ended (core, worker, report);
    }
  free_unused (core, worker, reply->worker_clock_ms);
}

void
owner_worker_lost (MuxCore *core, Worker *worker, bool incarnation_over)
{
  while (worker->grants != NULL)
    {
      Grant *grant = worker->grants;
      MuxPeerMsg msg = { .verb = MUX_PEER_TASK_ENDED,
                         .task = grant->task,
                         .state = MUX_TASK_ABSENT };
      char home[MUX_NAME_LEN];
      bool report = incarnation_over && grant->started;

      mux_name_copy (home, grant->request.from);
      mux_name_copy (msg.worker, worker->name);
      grant_free (core, grant);
      if (report)
        send_to_home (core, home, &msg);
    }
}

void
owner_refuse (MuxCore *core, MuxId task, MuxReason reason)
{
  Grant *grant = grant_find (core, task);
  MuxPeerMsg request;

  if (grant == NULL || grant->placed)
    return;
  request = grant->request;
  mux_sched_cancel (core->sched, task);
  grant_free (core, grant);
  refuse (core, &request, reason, 0);
}

static Grant *
first_unplaced (const MuxCore *core)
{
  Grant *grant = core->grants;

  while (grant != NULL && grant->placed)
    grant = grant->hh.next;
  return grant;
}

/* A refusal to a home in this daemon may drop other requests at once, such as
 * those of its gang, so the search restarts after each. */
void
owner_refuse_all (MuxCore *core, MuxReason reason)
{
  Grant *grant;

  while ((grant = first_unplaced (core)) != NULL)
    owner_refuse (core, grant->task, reason);
}

/*
 * Without this, requests of a home that died or restarted would keep waiting:
 * tasks of its gangs for others that are never requested, and the room granted
 * to the rest would stay unused until it expires.
 */
void
owner_home_lost (MuxCore *core, const char *home, uint64_t incarnation)
{
  Grant *grant, *next;

  HASH_ITER (hh, core->grants, grant, next)
  if (!grant->placed && strcmp (grant->request.from, home) == 0
      && grant->request.from_incarnation <= incarnation)
    drop_grant (core, grant);
}

void
owner_free (MuxCore *core)
{
  Grant *grant, *next;

  HASH_ITER (hh, core->grants, grant, next)
  grant_free (core, grant);
}
