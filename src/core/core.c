#include "call.h"
#include "commit.h"
#include "config.h"
#include "core_private.h"
#include "jobs.h"
#include "member.h"
#include "owner.h"
#include "show.h"
#include "sweep.h"
#include "task.h"
#include "ticket.h"
#include "timers.h"
#include "worker.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Number of waiting and booked tasks that the scheduler's tables are initially
 * sized for. */
#define TASKS_HINT 1024
/* Interval of checks for the end of a graceful shutdown. */
#define STOP_CHECK_INTERVAL_MS 20

uint64_t
core_random (MuxCore *core)
{
  /* splitmix64: every seed, including zero, gives a full-period sequence. */
  uint64_t z = core->rng += 0x9e3779b97f4a7c15u;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

int64_t
core_jitter (MuxCore *core, int64_t base_ms)
{
  return base_ms + (int64_t) (core_random (core) % (uint64_t) (base_ms + 1));
}

MuxId
core_new_task_id (MuxCore *core)
{
  MuxId incarnation = { mux_hash_name (core->name, 0), core->opt.incarnation };

  return mux_id_derive (incarnation, ++core->next_task);
}

void
core_log (MuxCore *core, int level, const char *event, const char *format, ...)
{
  char text[256];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  core->sink->state_log (core->sink, level, event, text);
}

static void
count_response (MuxCore *core, MuxOutcome outcome, MuxReason reason)
{
  switch (outcome)
    {
    case MUX_OUTCOME_DONE:
    case MUX_OUTCOME_FAILED:
      mux_count (core->counters, MUX_COUNT_ANSWERED, 1);
      break;
    case MUX_OUTCOME_NOT_RUN:
      mux_count (core->counters, MUX_COUNT_NOT_RUN, 1);
      break;
    case MUX_OUTCOME_UNKNOWN:
      mux_count (core->counters, MUX_COUNT_UNKNOWN, 1);
      break;
    case MUX_OUTCOME_INFO:
      break;
    }
  if (reason != MUX_REASON_NONE)
    mux_count_refused (core->counters, reason);
}

void
core_respond (MuxCore *core,
              uint64_t call_id,
              MuxOutcome outcome,
              MuxReason reason,
              uint32_t retry_ms,
              MuxId task,
              MuxBlob *body)
{
  MuxCoreResponse response = {
    .call_id = call_id,
    .outcome = outcome,
    .reason = reason,
    .status = mux_reason_status (reason),
    .retry_after_ms = mux_reason_is_transient (reason) ? retry_ms : 0,
    .task = task,
    .body = body,
  };

  count_response (core, outcome, reason);
  core->sink->respond (core->sink, &response);
}

void
core_respond_json (MuxCore *core,
                   uint64_t call_id,
                   uint32_t status,
                   json_t *json)
{
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);
  MuxCoreResponse response
      = { .call_id = call_id, .status = status, .is_json = true };

  json_decref (json);
  response.outcome = MUX_OUTCOME_INFO;
  response.body = text == NULL ? NULL : mux_blob_new (text, strlen (text));
  free (text);
  if (response.body == NULL)
    {
      core_respond (core, call_id, MUX_OUTCOME_INFO, MUX_REASON_INTERNAL, 0,
                    (MuxId){ 0, 0 }, NULL);
      return;
    }
  core->sink->respond (core->sink, &response);
  mux_blob_unref (response.body);
}

void
core_respond_findings (MuxCore *core,
                       uint64_t call_id,
                       const MuxFindings *findings)
{
  json_t *json = json_pack ("{s:s, s:s, s:s, s:o}", "outcome", "not_run",
                            "reason", mux_reason_name (MUX_REASON_BAD_FIELD),
                            "text", mux_reason_help (MUX_REASON_BAD_FIELD),
                            "findings", mux_findings_to_json (findings));
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);
  MuxCoreResponse response = {
    .call_id = call_id,
    .outcome = MUX_OUTCOME_NOT_RUN,
    .reason = MUX_REASON_BAD_FIELD,
    .status = mux_reason_status (MUX_REASON_BAD_FIELD),
    .is_json = true,
  };

  json_decref (json);
  response.body = text == NULL ? NULL : mux_blob_new (text, strlen (text));
  free (text);
  count_response (core, response.outcome, response.reason);
  core->sink->respond (core->sink, &response);
  mux_blob_unref (response.body);
}

static bool
check_options (const MuxCoreOptions *options, MuxError *err)
{
  if (!mux_name_valid (options->name) || !mux_name_valid (options->data_centre))
    return mux_error_set (err, MUX_ERROR_USAGE,
                          "invalid name of instance or data centre");
  if (options->lease_ms == 0 || options->heartbeat_ms == 0
      || options->suspect_ms <= options->heartbeat_ms
      || options->dead_ms <= options->suspect_ms || options->queue_max == 0
      || options->writes_per_s == 0)
    return mux_error_set (
        err, MUX_ERROR_USAGE,
        "heartbeat < suspect < dead required, limits must be positive");
  return true;
}

MuxCore *
mux_core_new (const MuxCoreOptions *options, MuxError *err)
{
  MuxCore *core;
  MuxSchedOptions sched = { .seed = options->seed,
                            .queue_max = options->queue_max,
                            .tasks_hint = TASKS_HINT };

  if (!check_options (options, err))
    return NULL;
  core = calloc (1, sizeof *core);
  if (core == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY, "out of memory for the core");
      return NULL;
    }
  core->opt = *options;
  mux_name_copy (core->name, options->name);
  mux_name_copy (core->data_centre, options->data_centre);
  snprintf (core->peer_addr, sizeof core->peer_addr, "%s", options->peer_addr);
  if (core->opt.ticket_key == NULL)
    core->opt.ticket_key = "";
  core->sink = options->sink;
  core->counters = options->counters;
  core->rng = options->seed;
  core->sched = mux_sched_new (&sched);
  core->timers = timers_new ();
  core->commit = commit_new ();
  core->config = config_new ();
  core->jobs = jobs_new ();
  core->sweep = sweep_new ();
  if (core->sched == NULL || core->timers == NULL || core->commit == NULL
      || core->config == NULL || core->jobs == NULL || core->sweep == NULL)
    {
      mux_core_free (core);
      mux_error_set (err, MUX_ERROR_MEMORY, "out of memory for the core");
      return NULL;
    }
  return core;
}

void
mux_core_free (MuxCore *core)
{
  if (core == NULL)
    return;
  config_abort_changes (core);
  tasks_free (core);
  owner_free (core);
  workers_free (core);
  members_free (core);
  calls_free (core);
  jobs_clear (core);
  jobs_free (core->jobs);
  config_free (core->config);
  commit_free (core->commit);
  sweep_free (core->sweep);
  timers_free (core->timers);
  mux_sched_free (core->sched);
  free (core);
}

static void
on_request (MuxCore *core, const MuxCoreRequest *request)
{
  if (request->wall_ms > core->wall_ms)
    core->wall_ms = request->wall_ms;
  switch (request->verb)
    {
    case MUX_CORE_RUN_TASK:
      if (request->ticket[0] != 0)
        ticket_redeem (core, request);
      else
        tasks_request (core, request);
      break;
    case MUX_CORE_ISSUE_TICKET:
      ticket_issue (core, request);
      break;
    case MUX_CORE_JOB_SUBMIT:
    case MUX_CORE_JOB_GET:
    case MUX_CORE_JOB_WAIT:
    case MUX_CORE_JOB_CANCEL:
    case MUX_CORE_JOB_LIST:
      jobs_request (core, request);
      break;
    case MUX_CORE_CONFIG_PUT:
    case MUX_CORE_CONFIG_REMOVE:
    case MUX_CORE_CONFIG_GET:
    case MUX_CORE_CONFIG_LIST:
    case MUX_CORE_CONFIG_HISTORY:
    case MUX_CORE_CONFIG_REVERT:
    case MUX_CORE_DRAIN:
      config_request (core, request);
      break;
    case MUX_CORE_STATUS:
      show_status (core, request->call_id);
      break;
    case MUX_CORE_WORKERS:
      show_workers (core, request->call_id);
      break;
    case MUX_CORE_RISK:
      show_risk (core, request->call_id);
      break;
    }
}

/*
 * True for a message to a daemon that had this address before, and for a late
 * message of a peer's previous incarnation. A late GRANT_END, for example,
 * would free room that is in use.
 */
static bool
misdirected (MuxCore *core, const MuxPeerMsg *msg)
{
  const Member *from = member_find (core, msg->from);

  return (msg->to[0] != 0 && strcmp (msg->to, core->name) != 0)
         || (from != NULL && msg->from_incarnation < from->incarnation);
}

static void
on_peer (MuxCore *core, const MuxPeerMsg *msg)
{
  if (misdirected (core, msg))
    {
      mux_count (core->counters, MUX_COUNT_EVENTS_DROPPED, 1);
      return;
    }
  switch (msg->verb)
    {
    case MUX_PEER_HEARTBEAT:
      members_heartbeat (core, msg);
      break;
    case MUX_PEER_BYE:
      members_stopping (core, msg);
      break;
    case MUX_PEER_GRANT_REQUEST:
      owner_request (core, msg);
      break;
    case MUX_PEER_GRANT_CANCEL:
      owner_cancel (core, msg);
      break;
    case MUX_PEER_GRANT_END:
      owner_task_ended (core, msg);
      break;
    case MUX_PEER_GRANT:
    case MUX_PEER_GRANT_REFUSED:
    case MUX_PEER_TASK_ENDED:
      tasks_peer_message (core, msg);
      break;
    case MUX_PEER_HANDOVER:
      workers_handover (core, msg);
      break;
    case MUX_PEER_CONFIG_HINT:
    case MUX_PEER_CONFIG_REQUEST:
    case MUX_PEER_CONFIG_ROWS:
      config_peer_message (core, msg);
      break;
    case MUX_PEER_MEMBERS:
      members_addresses_received (core, msg);
      break;
    case MUX_PEER_JOB_HINT:
      jobs_row_changed (core, msg->task);
      break;
    case MUX_PEER_HELLO:
    case MUX_PEER_HELLO_REPLY:
    case MUX_PEER_JOB_QUERY:
    case MUX_PEER_JOB_REPLY:
    case MUX_PEER_APPROVAL_QUERY:
    case MUX_PEER_APPROVAL_REPLY:
    case MUX_PEER_SUBMIT_REQUEST:
    case MUX_PEER_SUBMIT_REPLY:
    case MUX_PEER_PROXY_CALL:
    case MUX_PEER_PROXY_REPLY:
      /* Sent by daemons that serve stepped jobs, which are not members here. */
      mux_count (core->counters, MUX_COUNT_EVENTS_DROPPED, 1);
      break;
    case MUX_PEER_VERB_COUNT:
      break;
    }
}

static void
run_timers (MuxCore *core)
{
  int64_t at_ms;
  MuxId subject;

  while (timers_pop (core->timers, core->now_ms, &at_ms, &subject))
    tasks_timer (core, at_ms, subject);
}

static void
begin_stop (MuxCore *core)
{
  if (core->stopping)
    return;
  core->stopping = true;
  core_log (core, MUX_LOG_NOTICE, "stopping", "held=%u waiting=%u",
            workers_held (core), tasks_waiting_count (core));
  owner_refuse_all (core, MUX_REASON_STOPPING);
  members_announce_stop (core);
  workers_members_changed (core);
}

static void
check_stopped (MuxCore *core)
{
  if (!core->stopping || core->stopped)
    return;
  if (tasks_waiting_count (core) > 0 || workers_held (core) > 0
      || config_pending_changes (core) > 0 || !jobs_all_recorded (core))
    return;
  core->stopped = true;
  core_log (core, MUX_LOG_NOTICE, "stopped", "tasks=%u",
            HASH_COUNT (core->tasks));
}

void
mux_core_step (MuxCore *core, const MuxEvent *event, int64_t now_ms)
{
  if (now_ms > core->now_ms)
    core->now_ms = now_ms;
  if (core->started_ms == 0)
    core->started_ms = core->last_step_ms = core->now_ms;
  members_after_pause (core, core->now_ms - core->last_step_ms);
  if (core->wall_ms != 0)
    core->wall_ms += core->now_ms - core->last_step_ms;
  core->last_step_ms = core->now_ms;
  mux_count (core->counters, MUX_COUNT_EVENTS, 1);
  switch (event->kind)
    {
    case MUX_EVENT_TICK:
      break;
    case MUX_EVENT_REQUEST:
      on_request (core, event->u.request);
      break;
    case MUX_EVENT_CALLER_DISCONNECTED:
      jobs_caller_disconnected (core, event->u.call_id);
      break;
    case MUX_EVENT_WORKER_REPLY:
      call_worker_reply (core, event->u.worker_reply);
      break;
    case MUX_EVENT_TABLE_REPLY:
      call_table_reply (core, event->u.table_reply);
      break;
    case MUX_EVENT_PEER:
      on_peer (core, event->u.peer);
      break;
    case MUX_EVENT_INSTANCES:
      members_update_list (core, event->u.instances);
      workers_update_list (core, event->u.instances);
      break;
    case MUX_EVENT_STOP:
      begin_stop (core);
      break;
    }
  run_timers (core);
  calls_tick (core);
  members_tick (core);
  workers_tick (core);
  owner_recheck (core);
  config_tick (core);
  /* Before the ticks that write rows: intents of new placements are written in
   * the same step. */
  owner_process_placements (core);
  jobs_tick (core);
  sweep_tick (core);
  commit_tick (core);
  check_stopped (core);
}

static int64_t
earlier (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

int64_t
mux_core_wake_ms (const MuxCore *core)
{
  int64_t at = timers_next_ms (core->timers);

  at = earlier (at, members_wake_ms (core));
  at = earlier (at, workers_wake_ms (core));
  at = earlier (at, config_wake_ms (core));
  at = earlier (at, jobs_wake_ms (core));
  at = earlier (at, commit_wake_ms (core));
  at = earlier (at, sweep_wake_ms (core));
  at = earlier (at, mux_sched_wake_ms (core->sched));
  if (core->stopping)
    at = earlier (at, core->now_ms + STOP_CHECK_INTERVAL_MS);
  return at;
}

bool
mux_core_ready (const MuxCore *core)
{
  return !core->stopping && config_loaded (core);
}

bool
mux_core_stopped (const MuxCore *core)
{
  return core->stopped;
}

const char *
mux_outcome_name (MuxOutcome outcome)
{
  static const char *const names[]
      = { "done", "not_run", "unknown", "failed", "info" };

  return names[outcome];
}
