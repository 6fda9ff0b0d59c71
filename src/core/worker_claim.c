#include "worker_private.h"

#include "call.h"
#include "lease.h"
#include "member.h"
#include "owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Claims on workers: acquired, renewed, lost and released. */

/* Leases that a fenced owner with the lower rank waits. */
#define YIELD_LEASES 4

static bool
index_set (MuxCore *core, uint32_t index, Worker *worker)
{
  if (index >= core->index_count)
    {
      uint32_t count = index + 64;
      Worker **grown = realloc (core->by_index, count * sizeof (Worker *));

      if (grown == NULL)
        return false;
      memset (grown + core->index_count, 0,
              (count - core->index_count) * sizeof (Worker *));
      core->by_index = grown;
      core->index_count = count;
    }
  core->by_index[index] = worker;
  return true;
}

void
worker_claim_ended (MuxCore *core, Worker *worker, bool incarnation_over)
{
  owner_worker_lost (core, worker, incarnation_over);
  if (worker->index != MUX_NO_WORKER)
    {
      mux_sched_worker_remove (core->sched, worker->index);
      core->by_index[worker->index] = NULL;
    }
  worker->index = MUX_NO_WORKER;
  worker->claim = CLAIM_NONE;
  worker->usable = false;
  owner_schedule_recheck (core);
  mux_count (core->counters, MUX_COUNT_CLAIMS_LOST, 1);
}

static bool
claim_won (MuxCore *core, Worker *worker, const MuxWorkerReply *reply)
{
  worker->capacity = reply->capacity;
  worker->index = mux_sched_worker_add (core->sched, worker->name, worker->rack,
                                        reply->capacity);
  if (worker->index == MUX_NO_WORKER)
    return false;
  if (!index_set (core, worker->index, worker))
    {
      mux_sched_worker_remove (core->sched, worker->index);
      worker->index = MUX_NO_WORKER;
      return false;
    }
  worker->claim = CLAIM_HELD;
  mux_count (core->counters, MUX_COUNT_CLAIMS, 1);
  core_log (core, MUX_LOG_NOTICE, "claim_won", "worker=%s epoch=%llu tasks=%u",
            worker->name, (unsigned long long) worker->epoch,
            reply->report_count);
  return true;
}

static void
reply_received (MuxCore *core, Worker *worker, const MuxWorkerReply *reply)
{
  worker->last_contact_ms = core->now_ms;
  worker->unanswered_calls = 0;
  worker->leaving = reply->leaving;
  worker->cursor = reply->cursor;
  worker->incarnation = reply->incarnation;
  /* The worker read its clock before the reply arrived here, so the offset is
   * a lower bound: a latest start computed from it is never too late. */
  worker->clock_offset_ms = reply->worker_clock_ms - core->now_ms;
  if (!mux_size_fits (reply->capacity, worker->capacity)
      || !mux_size_fits (worker->capacity, reply->capacity))
    {
      worker->capacity = reply->capacity;
      if (worker->index != MUX_NO_WORKER)
        mux_sched_worker_resize (core->sched, worker->index, reply->capacity);
    }
}

static void
reply_missing (MuxCore *core, Worker *worker)
{
  worker->unanswered_calls++;
  if (worker->unanswered_calls == UNANSWERED_CALLS_MAX)
    core_log (core, MUX_LOG_WARNING, "worker_silent", "worker=%s",
              worker->name);
  mux_count_retry (core->counters, MUX_REASON_WORKER_SILENT);
  worker_update_usable (core, worker);
}

/*
 * Returns the back-off before the worker is claimed again. Two daemons that
 * each see the other as dead would otherwise fence each other for ever, and
 * neither could start a task. The one with the lower rank for this worker
 * waits longer, so the other keeps the claim.
 */
static int64_t
contention_backoff_ms (MuxCore *core, const Worker *worker)
{
  int64_t wait_ms = core->opt.lease_ms;

  if (worker->owner[0] != 0
      && members_rank (worker->owner, worker->name)
             > members_rank (core->name, worker->name))
    wait_ms *= YIELD_LEASES;
  return core_jitter (core, wait_ms);
}

void
worker_fenced (MuxCore *core, Worker *worker, MuxReason reason)
{
  bool restarted = reason == MUX_REASON_FENCED_INCARNATION;

  if (worker->claim == CLAIM_NONE)
    return;
  mux_count_retry (core->counters, reason);
  core_log (core, MUX_LOG_WARNING, "claim_lost", "worker=%s reason=%s owner=%s",
            worker->name, mux_reason_name (reason), worker->owner);
  worker_claim_ended (core, worker, restarted);
  worker->next_call_ms
      = core->now_ms + (restarted ? 0 : contention_backoff_ms (core, worker));
}

static void
claim_done (MuxCore *core,
            MuxId subject,
            uint64_t aux,
            const MuxWorkerReply *reply)
{
  Worker *worker = worker_find (core, reply->worker);

  (void) subject;
  if (worker == NULL || worker->claim != CLAIM_REQUESTED)
    return;
  worker->claim = CLAIM_NONE;
  if (reply->owner[0] != 0)
    mux_name_copy (worker->owner, reply->owner);
  if (reply->status == MUX_WORKER_OLD_EPOCH)
    {
      bool first_try = aux == 0 || strcmp (reply->owner, core->name) == 0;

      worker->epoch = reply->epoch;
      mux_count_retry (core->counters, MUX_REASON_FENCED_EPOCH);
      worker->next_call_ms
          = first_try ? core->now_ms
                      : core->now_ms + contention_backoff_ms (core, worker);
      return;
    }
  if (reply->status != MUX_WORKER_OK)
    {
      /* The claim may have taken effect: the next one needs a higher epoch. */
      if (reply->status == MUX_WORKER_NO_ANSWER)
        worker->epoch++;
      reply_missing (core, worker);
      worker->next_call_ms = core->now_ms + core_jitter (core, RETRY_MS * 5);
      return;
    }
  worker->epoch = reply->epoch;
  mux_name_copy (worker->owner, core->name);
  reply_received (core, worker, reply);
  worker->next_call_ms = core->now_ms + lease_renew_after_ms (core, worker);
  if (!claim_won (core, worker, reply))
    return;
  owner_worker_report (core, worker, reply);
  worker_update_usable (core, worker);
  /* Homes choose an owner by the room in its last heartbeat. After a takeover
   * that is the dead one until the next heartbeat, which is late in other data
   * centres. */
  members_announce_room (core);
}

static void
call_init (const MuxCore *core,
           Worker *worker,
           MuxWorkerVerb verb,
           MuxWorkerCall *call)
{
  *call = (MuxWorkerCall){ .verb = verb };
  mux_name_copy (call->worker, worker->name);
  snprintf (call->addr, sizeof call->addr, "%s", worker->addr);
  worker->lease_ms = call->lease_ms = lease_request_ms (core);
  call->timeout_ms = WORKER_TIMEOUT_MS;
  call->epoch = worker->epoch;
}

void
worker_claim (MuxCore *core, Worker *worker)
{
  MuxWorkerCall call;

  call_init (core, worker, MUX_WORKER_CLAIM, &call);
  call.epoch = worker->epoch + 1;
  worker->next_call_ms = core->now_ms + core_jitter (core, RETRY_MS);
  if (call_worker (core, &call, claim_done, (MuxId){ 0, 0 }, worker->epoch > 0))
    worker->claim = CLAIM_REQUESTED;
}

static void
renew_done (MuxCore *core,
            MuxId subject,
            uint64_t aux,
            const MuxWorkerReply *reply)
{
  Worker *worker = worker_find (core, reply->worker);

  (void) subject;
  if (worker == NULL)
    return;
  worker->renewing = false;
  /* The claim that was renewed has ended meanwhile. */
  if (worker->claim != CLAIM_HELD || worker->epoch != aux)
    return;
  switch (reply->status)
    {
    case MUX_WORKER_OK:
      reply_received (core, worker, reply);
      owner_worker_report (core, worker, reply);
      worker_update_usable (core, worker);
      worker->next_call_ms = core->now_ms + lease_renew_after_ms (core, worker);
      break;
    case MUX_WORKER_OLD_EPOCH:
      worker->epoch = reply->epoch;
      mux_name_copy (worker->owner, reply->owner);
      worker_fenced (core, worker, MUX_REASON_FENCED_EPOCH);
      break;
    case MUX_WORKER_OLD_INCARNATION:
      worker_fenced (core, worker, MUX_REASON_FENCED_INCARNATION);
      break;
    default:
      reply_missing (core, worker);
      worker->next_call_ms = core->now_ms + core_jitter (core, RETRY_MS * 2);
      break;
    }
}

void
worker_renew (MuxCore *core, Worker *worker)
{
  MuxWorkerCall call;

  call_init (core, worker, MUX_WORKER_RENEW, &call);
  call.incarnation = worker->incarnation;
  call.cursor = worker->cursor;
  worker->next_call_ms = core->now_ms + RETRY_MS;
  worker->renewing
      = call_worker (core, &call, renew_done, (MuxId){ 0, 0 }, worker->epoch);
}

/* Returns the member that should claim @worker next; NULL: none. */
static Member *
successor (MuxCore *core, const Worker *worker)
{
  Member *best = NULL;

  for (Member *m = core->members; m != NULL; m = m->hh.next)
    if (m->local && member_usable (m)
        && (best == NULL
            || members_rank (m->name, worker->name)
                   > members_rank (best->name, worker->name)))
      best = m;
  return best;
}

static void
release_done (MuxCore *core,
              MuxId subject,
              uint64_t aux,
              const MuxWorkerReply *reply)
{
  Worker *worker = worker_find (core, reply->worker);
  MuxPeerMsg msg = { .verb = MUX_PEER_HANDOVER };
  Member *member;

  (void) subject;
  (void) aux;
  if (worker == NULL || worker->claim != CLAIM_RELEASING)
    return;
  worker_claim_ended (core, worker, false);
  worker->next_call_ms = core->now_ms + core->opt.lease_ms;
  core_log (core, MUX_LOG_NOTICE, "claim_given", "worker=%s", worker->name);
  member = successor (core, worker);
  if (member == NULL)
    return;
  mux_name_copy (msg.worker, worker->name);
  msg.epoch = worker->epoch;
  member_send (core, member, &msg);
}

/*
 * True if a granted start may still arrive. Judged by not_after_ms, past which
 * the worker refuses the start: an unreachable worker sends no list that shows
 * that a start never came, and an owner that stops would wait for it for ever.
 */
static bool
start_outstanding (const MuxCore *core, const Worker *worker)
{
  const Grant *grant;

  DL_FOREACH (worker->grants, grant)
  {
    if (!grant->started
        && grant->not_after_ms >= worker_clock_ms (core, worker))
      return true;
  }
  return false;
}

/* A start that arrives after the release would be fenced. */
void
worker_release (MuxCore *core, Worker *worker)
{
  MuxWorkerCall call;

  worker_update_usable (core, worker);
  if (worker->unstarted_grants > 0 && start_outstanding (core, worker))
    return;
  call_init (core, worker, MUX_WORKER_RELEASE, &call);
  if (call_worker (core, &call, release_done, (MuxId){ 0, 0 }, 0))
    worker->claim = CLAIM_RELEASING;
}

void
workers_handover (MuxCore *core, const MuxPeerMsg *msg)
{
  Worker *worker = worker_find (core, msg->worker);

  if (worker == NULL || !worker->local || worker->claim != CLAIM_NONE)
    return;
  if (msg->epoch > worker->epoch)
    worker->epoch = msg->epoch;
  worker->next_call_ms = core->now_ms;
}
