#include "show.h"

#include "commit.h"
#include "config.h"
#include "member.h"
#include "task.h"
#include "worker.h"

#include <stdlib.h>

/* Maximum classes in one response. */
#define RISKS_MAX 1024

static const char *
member_state_name (MemberState state)
{
  static const char *const names[] = { "live", "suspect", "dead" };

  return names[state];
}

static json_t *
member_json (const MuxCore *core, const Member *member)
{
  return json_pack (
      "{s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:o, s:o}", "instance",
      member->name, "data_centre", member->data_centre, "state",
      member_state_name (member->state), "stopping", member->stopping,
      "revision", (json_int_t) member->revision, "incarnation",
      (json_int_t) member->incarnation, "silent_ms",
      (json_int_t) (core->now_ms - member->last_contact_ms), "queued",
      (json_int_t) member->queued, "free", mux_size_to_json (member->free),
      "total", mux_size_to_json (member->total));
}

void
show_status (MuxCore *core, uint64_t call_id)
{
  json_t *members = json_array ();
  json_t *unconfirmed = json_array ();
  uint64_t revision = config_revision (core);
  MuxSchedStats stats = mux_sched_stats (core->sched, core->now_ms);

  for (const Member *m = core->members; m != NULL; m = m->hh.next)
    {
      json_array_append_new (members, member_json (core, m));
      if (m->revision < revision || m->state == MEMBER_DEAD)
        json_array_append_new (unconfirmed, json_string (m->name));
    }
  core_respond_json (
      core, call_id, 200,
      json_pack ("{s:s, s:s, s:I, s:b, s:b, s:b, s:I, s:I, s:I, s:I, s:o, "
                 "s:o, s:o, s:o}",
                 "instance", core->name, "data_centre", core->data_centre,
                 "revision", (json_int_t) revision, "ready",
                 mux_core_ready (core), "stopping", core->stopping,
                 "store_down", commit_store_down (core), "workers_held",
                 (json_int_t) workers_held (core), "queued",
                 (json_int_t) stats.queued, "booked", (json_int_t) stats.booked,
                 "tasks", (json_int_t) HASH_COUNT (core->tasks), "free",
                 mux_size_to_json (stats.free), "total",
                 mux_size_to_json (stats.total), "members", members,
                 "not_confirmed", unconfirmed));
}

static const char *
worker_state_name (const Worker *worker)
{
  if (worker->listed_state == MUX_INSTANCE_GONE)
    return "gone";
  if (worker->listed_state == MUX_INSTANCE_LEAVING || worker->leaving)
    return "leaving";
  if (worker->unanswered_calls > 0)
    return "silent";
  return "live";
}

static json_t *
worker_json (MuxCore *core, const Worker *worker)
{
  MuxSize free = { 0 };

  if (worker->index != MUX_NO_WORKER)
    free = mux_sched_worker_free (core->sched, worker->index);
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:o, s:o, s:b, s:b}", "worker",
      worker->name, "data_centre", worker->data_centre, "rack", worker->rack,
      "state", worker_state_name (worker), "owner",
      worker->claim == CLAIM_HELD ? core->name : worker->owner, "epoch",
      (json_int_t) worker->epoch, "incarnation",
      (json_int_t) worker->incarnation, "capacity",
      mux_size_to_json (worker->capacity), "free", mux_size_to_json (free),
      "held", worker->claim == CLAIM_HELD, "drained",
      config_drained (core, worker->name));
}

void
show_workers (MuxCore *core, uint64_t call_id)
{
  json_t *workers = json_array ();

  for (const Worker *w = core->workers; w != NULL; w = w->hh.next)
    json_array_append_new (workers, worker_json (core, w));
  core_respond_json (
      core, call_id, 200,
      json_pack ("{s:s, s:o}", "instance", core->name, "workers", workers));
}

static json_t *
risk_json (const MuxRisk *risk)
{
  return json_pack (
      "{s:s, s:I, s:I, s:b, s:s, s:o, s:I, s:I}", "class", risk->class_name,
      "target_ppm", (json_int_t) risk->target_ppm, "forecast_ppm",
      (json_int_t) risk->forecast_ppm, "at_risk", risk->at_risk, "cause",
      mux_risk_cause_name (risk->cause), "cure",
      mux_size_to_json (risk->shortfall), "queued", (json_int_t) risk->queued,
      "p99_wait_ms", (json_int_t) risk->p99_wait_ms);
}

void
show_risk (MuxCore *core, uint64_t call_id)
{
  MuxRisk *risks = calloc (RISKS_MAX, sizeof *risks);
  json_t *classes = json_array ();
  uint32_t count = 0;

  if (risks != NULL)
    count = mux_sched_risk (core->sched, core->now_ms, risks, RISKS_MAX);
  for (uint32_t i = 0; i < count; i++)
    {
      if (commit_store_down (core) && risks[i].cause == MUX_RISK_NONE)
        risks[i].cause = MUX_RISK_STORE_DOWN;
      json_array_append_new (classes, risk_json (&risks[i]));
    }
  free (risks);
  core_respond_json (
      core, call_id, 200,
      json_pack ("{s:s, s:o}", "instance", core->name, "classes", classes));
}
