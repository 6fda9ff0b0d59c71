#include "worker_private.h"

#include "config.h"
#include "lease.h"
#include "member.h"
#include "owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Interval of checks for due claims and renewals. */
#define WORKERS_CHECK_INTERVAL_MS 50

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
is_usable (MuxCore *core, const Worker *worker)
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
  bool was_usable = worker->usable;

  worker->usable = worker->index != MUX_NO_WORKER && is_usable (core, worker);
  if (worker->index != MUX_NO_WORKER)
    mux_sched_worker_set_usable (core->sched, worker->index, worker->usable);
  if (was_usable && !worker->usable)
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
update_listed (MuxCore *core, const MuxInstance *instance)
{
  Worker *worker = worker_find (core, instance->name);

  if (worker == NULL)
    {
      worker = calloc (1, sizeof *worker);
      if (worker == NULL)
        return;
      mux_name_copy (worker->name, instance->name);
      worker->index = MUX_NO_WORKER;
      HASH_ADD_STR (core->workers, name, worker);
    }
  snprintf (worker->addr, sizeof worker->addr, "%s", instance->addr);
  mux_name_copy (worker->rack, instance->rack);
  mux_name_copy (worker->data_centre, instance->data_centre);
  worker->local = strcmp (instance->data_centre, core->data_centre) == 0;
  if (worker->listed_state == instance->state)
    return;
  worker->listed_state = instance->state;
  if (instance->state == MUX_INSTANCE_GONE && worker->claim == CLAIM_HELD)
    {
      core_log (core, MUX_LOG_WARNING, "worker_gone", "worker=%s",
                worker->name);
      worker_claim_ended (core, worker, true);
    }
  worker_update_usable (core, worker);
}

void
workers_update_list (MuxCore *core, const MuxInstanceList *list)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (list->item[i].role == MUX_ROLE_WORKER)
      update_listed (core, &list->item[i]);
}

void
workers_members_changed (MuxCore *core)
{
  Worker *worker, *next;

  HASH_ITER (hh, core->workers, worker, next)
  {
    if (!worker->local || worker->claim != CLAIM_NONE)
      continue;
    /* The previous owner has died or stops, so there is no contention to back
     * off from. */
    if (members_ranked_first (core, worker->name, true))
      worker->next_call_ms = core->now_ms;
  }
  workers_update_usable (core);
}

/*
 * A daemon that has just started has not received any heartbeat and would
 * claim all workers of its data centre from live owners. It claims none for
 * dead_ms, the silence after which a peer counts as dead.
 */
static bool
may_claim (const MuxCore *core)
{
  return core->now_ms - core->started_ms >= (int64_t) core->opt.dead_ms;
}

static void
drive_claim (MuxCore *core, Worker *worker)
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
  core->next_worker_check_ms = core->now_ms + WORKERS_CHECK_INTERVAL_MS;
  for (Worker *w = core->workers; w != NULL; w = w->hh.next)
    if (w->local)
      drive_claim (core, w);
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
