#include "job_memory.h"
#include "stage_tasks.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The scheduler's life cycle, its events and its periodic work. */

/* Interval of ticks: of a planner, which renews leases and sends stops, and of
 * a daemon that only sends hellos. */
#define PLANNER_TICK_MS 20
#define FOLLOWER_TICK_MS 50
/* While there is something to plan. */
#define REPLAN_TICK_MS 4
/* Interval of checks whose cost grows with the number of jobs. */
#define PERIODIC_MS 50

static void
set_config_unreadable (MuxCell *cell, bool unreadable)
{
  cell->config_unreadable = unreadable;
  mux_gauge_set (cell->options.counters, MUX_GAUGE_CONFIG_UNREADABLE,
                 unreadable);
}

/* A line for each; the other queues are in force. */
static void
report_unusable_queues (MuxCell *cell)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < cell->config->count; i++)
    {
      const MuxQueueSpec *queue = &cell->config->item[i];

      if (queue->bad_field == NULL)
        continue;
      count++;
      cell_log (cell, "queue_unusable", "{s:s, s:i, s:s, s:I}", "queue",
                queue->name, "index", (int) i, "what", queue->bad_field,
                "version", (json_int_t) cell->config->version);
    }
  mux_gauge_set (cell->options.counters, MUX_GAUGE_QUEUES_UNUSABLE, count);
}

static void
report_unusable_limits (MuxCell *cell)
{
  for (uint32_t i = 0; i < cell->config->pool_count; i++)
    {
      const MuxPoolSpec *pool = &cell->config->pool[i];

      if (pool->bad_field != NULL)
        cell_log (cell, "pool_limit_unusable", "{s:s, s:s, s:I}", "pool",
                  pool->name, "what", pool->bad_field, "version",
                  (json_int_t) cell->config->version);
    }
}

static void
config_row (MuxCell *cell, const MuxCellRow *row)
{
  MuxQueueConfig *config;

  if (row->part[0] != 0 || row->removed
      || strcmp (row->key, MUX_CONFIG_KEY) != 0)
    return;
  if (row->config == NULL)
    {
      /* The one in force stays, so that callers of its queues are served. */
      set_config_unreadable (cell, true);
      cell_report_bad_row (cell, row,
                           row->bad_field != NULL ? CELL_ROW_BAD_FIELD
                                                  : CELL_ROW_BAD_VALUE,
                           row->bad_field != NULL ? row->bad_field : "value");
      return;
    }
  set_config_unreadable (cell, false);
  if ((cell->config != NULL && row->config->version <= cell->config->version))
    return;
  config = mux_queue_config_copy (row->config);
  if (config == NULL)
    {
      cell_log (cell, "config_dropped", "{s:s}", "why", "out of memory");
      set_config_unreadable (cell, true);
      return;
    }
  mux_queue_config_free (cell->config);
  cell->config = config;
  cell_workspaces_configure (cell);
  for (uint32_t i = 0; i < config->count; i++)
    cell_service_add (cell, config->item[i].service);
  report_unusable_queues (cell);
  report_unusable_limits (cell);
  mux_gauge_set (cell->options.counters, MUX_GAUGE_CONFIG_VERSION,
                 config->version);
  cell_log (
      cell, "config_in_force", "{s:I, s:i, s:i, s:i}", "version",
      (json_int_t) config->version, "queues", (int) config->count, "workspaces",
      config->workspaces != NULL ? (int) config->workspaces->count : 0, "keys",
      config->workspaces != NULL ? (int) config->workspaces->key_count : 0);
}

static void
init_follows (MuxCell *cell)
{
  cell->feed[CELL_FEED_CONFIG] = (CellFeed){ .name = "config",
                                             .table = MUX_TABLE_CONFIG,
                                             .on_row = config_row,
                                             .enabled = true };
  cell->feed[CELL_FEED_CLAIM]
      = (CellFeed){ .name = "claim",
                    .table = MUX_TABLE_CLAIM,
                    .on_row = cell_claim_row,
                    .on_full_read = cell_claim_full_read,
                    .enabled = true };
  cell->feed[CELL_FEED_WORKERS]
      = (CellFeed){ .name = "workers",
                    .table = MUX_TABLE_WORKERS,
                    .on_row = cell_worker_row,
                    .on_full_read = cell_workers_full_read };
  cell->feed[CELL_FEED_JOBS] = (CellFeed){ .name = "jobs",
                                           .table = MUX_TABLE_JOBS,
                                           .on_row = cell_jobs_row,
                                           .on_reply = cell_cancels_apply,
                                           .on_full_read = cell_jobs_full_read,
                                           .by_part = true };
}

MuxCell *
mux_cell_new (const MuxCellOptions *options, MuxError *err)
{
  MuxCell *cell = calloc (1, sizeof *cell);

  if (cell == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY, "out of memory for the scheduler");
      return NULL;
    }
  cell->options = *options;
  /*
   * Numbers begin at the incarnation, so that this process does not reuse those
   * of an earlier one.  Replies to that one's proxied calls still arrive at
   * this address: one whose number matched a call of this process would end
   * that call, and a start that was carried out would count as refused.  The
   * incarnation grows by 65536 each millisecond, faster than calls are made.
   */
  cell->next_call = options->incarnation;
  cell->last_approval_query = options->incarnation;
  cell->hellos.number = options->incarnation;
  cell->scan_round = 1;
  cell_plan_order_init (&cell->plan_order);
  for (uint32_t i = 0; i < CELL_PARTS; i++)
    snprintf (cell->part[i].name, sizeof cell->part[i].name, "p%u",
              (unsigned) i);
  init_follows (cell);
  return cell;
}

void
mux_cell_free (MuxCell *cell)
{
  if (cell == NULL)
    return;
  cell_step_down (cell, "end");
  cell_submit_free (cell);
  cell_job_queries_free (cell);
  cell_pending_free (cell);
  cell_services_free (cell);
  cell_bad_rows_free (cell);
  cell_speed_rows_begin (cell);
  mux_blob_unref (cell->admission_blob);
  free (cell->worker_by_slot);
  cell_workspaces_free (cell);
  mux_queue_config_free (cell->config);
  free (cell);
}

void
mux_cell_peer (MuxCell *cell, MuxCellTime time, const MuxPeerMsg *msg)
{
  cell_set_time (cell, time);
  switch (msg->verb)
    {
    case MUX_PEER_HELLO:
    case MUX_PEER_HELLO_REPLY:
      cell_claim_peer (cell, msg);
      break;
    case MUX_PEER_JOB_QUERY:
    case MUX_PEER_JOB_REPLY:
      cell_job_query_peer (cell, msg);
      break;
    case MUX_PEER_APPROVAL_QUERY:
    case MUX_PEER_APPROVAL_REPLY:
      cell_approval_peer (cell, msg);
      break;
    case MUX_PEER_SUBMIT_REQUEST:
    case MUX_PEER_SUBMIT_REPLY:
      cell_relay_peer (cell, msg);
      break;
    case MUX_PEER_PROXY_CALL:
    case MUX_PEER_PROXY_REPLY:
      cell_proxy_peer (cell, msg);
      break;
    default:
      mux_count (cell->options.counters, MUX_COUNT_PEER_BAD, 1);
    }
}

static void
planner_tick (MuxCell *cell)
{
  cell_load_tick (cell);
  if (cell->role != CELL_PLANNING)
    return;
  cell_stops_tick_all (cell);
  cell_progress_tick (cell);
  cell_proxy_tick (cell);
  if (cell->time.now_ms >= cell->next_periodic_ms)
    {
      cell->next_periodic_ms = cell->time.now_ms + PERIODIC_MS;
      cell_late_tick (cell);
      cell_need_tick (cell);
      cell_start_gate_tick (cell);
      cell_traffic_tick (cell);
      cell_quota_tick (cell);
      cell_admission_tick (cell);
      cell_roster_tick (cell);
      cell_losses_tick (cell);
      cell_jobs_tick (cell);
      cell_unreadable_tick (cell);
      cell_jobs_left_out_tick (cell);
      cell_approval_queries_tick (cell);
      cell_wait_log_tick (cell);
      cell_run_times_tick (cell);
      cell_speeds_tick (cell);
      cell_load_log_tick (cell);
      cell_sweep_tick (cell);
    }
  cell_workers_tick (cell);
  cell_plan (cell);
}

int64_t
mux_cell_tick (MuxCell *cell, MuxCellTime time)
{
  cell_set_time (cell, time);
  cell_tasks_tick (cell);
  if (cell->last_event_ms == 0)
    cell->last_event_ms = time.now_ms;
  cell_claim_tick (cell);
  cell_pending_tick (cell, time.now_ms - cell->last_event_ms);
  cell->last_event_ms = time.now_ms;
  for (uint32_t i = 0; i < CELL_FEED_COUNT; i++)
    cell_feed_tick (cell, &cell->feed[i]);
  cell_keys_tick (cell);
  cell_submit_tick (cell);
  cell_job_queries_tick (cell);
  if (cell->role != CELL_FOLLOWER)
    planner_tick (cell);
  if (cell->role != CELL_FOLLOWER)
    return time.now_ms + (cell->replan ? REPLAN_TICK_MS : PLANNER_TICK_MS);
  return time.now_ms + FOLLOWER_TICK_MS;
}

bool
mux_cell_ready (const MuxCell *cell)
{
  return cell->config != NULL && cell->claim.known && !cell->stopping
         && cell_keys_are_fresh (cell)
         && (cell_store_available (cell)
             || (cell->role == CELL_FOLLOWER
                 && cell_planner_is_reachable (cell)));
}

void
mux_cell_stop (MuxCell *cell, MuxCellTime time)
{
  cell_set_time (cell, time);
  if (cell->stopping)
    return;
  cell->stopping = true;
  cell_release_claim (cell);
}

bool
mux_cell_stopped (const MuxCell *cell)
{
  if (!cell->claim_released || cell->job_queries != NULL)
    return false;
  for (uint32_t i = 0; i < CELL_PARTS; i++)
    if (cell->part[i].submissions != NULL)
      return false;
  return true;
}
