#include "worker_private.h"

#include "config.h"
#include "lease.h"
#include "member.h"
#include "owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* How often claims and renewals are looked at. */
#define WORKERS_LOOK_MS 50

Worker *
worker_find (MuxCore *core, const char *name)
{
  Worker *worker;

  HASH_FIND_STR (core->workers, name, worker);
  return worker;
}

bool
worker_gone (MuxCore *core, const char *name)
{
  const Worker *worker = worker_find (core, name);

  return worker != NULL && worker->listed_state == MUX_INSTANCE_GONE;
}

int64_t
worker_clock_ms (const MuxCore *core, const Worker *worker)
{
  return core->now_ms + worker->clock_offset_ms;
}

static bool
usable (MuxCore *core, const Worker *worker)
{
  return worker->claim == CLAIM_HELD
         && worker->listed_state == MUX_INSTANCE_LIVE && !worker->leaving
         && worker->unanswered_calls < UNANSWERED_CALLS_MAX
         && !config_drained (core, worker->name)
         && members_ranked_first (core, worker->name, true);
}

void
worker_update_usable (MuxCore *core, Worker *worker)
{
  bool was = worker->usable;

  worker->usable = worker->index != MUX_NO_WORKER && usable (core, worker);
  if (worker->index != MUX_NO_WORKER)
    mux_sched_worker_set_usable (core->sched, worker->index, worker->usable);
  if (was && !worker->usable)
    owner_schedule_recheck (core);
}

void
workers_update_usable (MuxCore *core)
{
  Worker *worker, *next;

  HASH_ITER (hh, core->workers, worker, next)
  worker_update_usable (core, worker);
}

void
worker_set_leaving (MuxCore *core, const char *name)
{
  Worker *worker = worker_find (core, name);

  if (worker == NULL || worker->leaving)
    return;
  worker->leaving = true;
  worker_update_usable (core, worker);
}

static void
listed (MuxCore *core, const MuxInstance *it)
{
  Worker *worker = worker_find (core, it->name);

  if (worker == NULL)
    {
      worker = calloc (1, sizeof *worker);
      if (worker == NULL)
        return;
      mux_name_copy (worker->name, it->name);
      worker->index = MUX_NO_WORKER;
      HASH_ADD_STR (core->workers, name, worker);
    }
  snprintf (worker->addr, sizeof worker->addr, "%s", it->addr);
  mux_name_copy (worker->rack, it->rack);
  mux_name_copy (worker->data_centre, it->data_centre);
  worker->local = strcmp (it->data_centre, core->data_centre) == 0;
  if (worker->listed_state == it->state)
    return;
  worker->listed_state = it->state;
  if (it->state == MUX_INSTANCE_GONE && worker->claim == CLAIM_HELD)
    {
      core_log (core, 4, "worker_gone", "worker=%s", worker->name);
      worker_claim_ended (core, worker, true);
    }
  worker_update_usable (core, worker);
}

void
workers_update_list (MuxCore *core, const MuxInstanceList *list)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (list->item[i].role == MUX_ROLE_WORKER)
      listed (core, &list->item[i]);
}

void
workers_members_changed (MuxCore *core)
{
  Worker *worker, *next;

  HASH_ITER (hh, core->workers, worker, next)
  {
    if (!worker->local || worker->claim != CLAIM_NONE)
      continue;
    /* Who held it has died or stops: no duel, so no wait. */
    if (members_ranked_first (core, worker->name, true))
      worker->next_call_ms = core->now_ms;
  }
  workers_update_usable (core);
}

/*
 * Failure: a daemon that has just started has heard nobody yet and would
 * claim every worker of its data centre from owners that live.  It waits as
 * long as it takes to call a silent peer dead before it claims.
 */
static bool
may_claim (const MuxCore *core)
{
  return core->now_ms - core->started_ms >= (int64_t) core->opt.dead_ms;
}

static void
tend (MuxCore *core, Worker *worker)
{
  bool first = members_ranked_first (core, worker->name, true);

  switch (worker->claim)
    {
    case CLAIM_NONE:
      if (first && worker->listed_state != MUX_INSTANCE_GONE && may_claim (core)
          && core->now_ms >= worker->next_call_ms)
        worker_claim (core, worker);
      break;
    case CLAIM_HELD:
      if (!first)
        worker_release (core, worker);
      if (worker->claim == CLAIM_HELD && !worker->renewing
          && core->now_ms >= worker->next_call_ms)
        worker_renew (core, worker);
      break;
    case CLAIM_REQUESTED:
    case CLAIM_RELEASING:
      break;
    }
}

void
workers_tick (MuxCore *core)
{
  if (core->now_ms < core->next_worker_check_ms)
    return;
  core->next_worker_check_ms = core->now_ms + WORKERS_LOOK_MS;
  for (Worker *w = core->workers; w != NULL; w = w->hh.next)
    if (w->local)
      tend (core, w);
}

int64_t
workers_wake_ms (const MuxCore *core)
{
  return core->workers == NULL ? INT64_MAX : core->next_worker_check_ms;
}

MuxSize
workers_largest (const MuxCore *core)
{
  MuxSize max = { 0 };

  for (const Worker *w = core->workers; w != NULL; w = w->hh.next)
    {
      if (w->claim != CLAIM_HELD)
        continue;
      if (w->capacity.cpu_milli > max.cpu_milli)
        max.cpu_milli = w->capacity.cpu_milli;
      if (w->capacity.mem_mib > max.mem_mib)
        max.mem_mib = w->capacity.mem_mib;
      if (w->capacity.accels > max.accels)
        max.accels = w->capacity.accels;
      if (w->capacity.slots > max.slots)
        max.slots = w->capacity.slots;
    }
  return max;
}

uint32_t
workers_held (const MuxCore *core)
{
  uint32_t held = 0;

  for (const Worker *w = core->workers; w != NULL; w = w->hh.next)
    if (w->claim == CLAIM_HELD || w->claim == CLAIM_RELEASING)
      held++;
  return held;
}

void
workers_free (MuxCore *core)
{
  Worker *worker, *next;

  HASH_ITER (hh, core->workers, worker, next)
  {
    HASH_DEL (core->workers, worker);
    free (worker);
  }
  free (core->by_index);
}
