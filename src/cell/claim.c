#include "cell_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time between greetings to the planner; six of them fit into dead_ms. */
#define HELLO_MS 250
/* Daemons claim one after the other, spread over this time, so that the first
 * is seen by the others before they try. */
#define SPREAD_MS 250
/* An instance of a quarter of a processor, which carries 48 workers with 0.08
 * of it, claims first; one of none would wait so much longer. */
#define STRONG_MILLI 250
#define WEAK_WAIT_MS 800
/* After a failed try. */
#define RETRY_MS 300
/* A planner that the store turns away while it serves others is replaced after
 * this time, */
#define STORE_BAD_MS 600
/* in which the store has answered this daemon at least this often. */
#define PROBE_MS 200
#define PROBES_APART_MS 500
/* A planner whose term has ended is told of the claim that ended it within this
 * time, a waiting call's second and some 100 ms; its own is void until then. */
#define OWN_CLAIM_MS 1500
/* The heir of a claim given up has so much of a start before the others. */
#define HEIR_MS 350

void
cell_step_down (MuxCell *cell, const char *why)
{
  CellJob *job;
  CellJob *next_job;
  CellEndedJob *ended;
  CellEndedJob *next_ended;

  if (cell->role == CELL_FOLLOWER)
    return;
  cell_log (cell, "planner_ended", "{s:s, s:I}", "why", why, "term",
            (json_int_t) cell->term);
  cell->role = CELL_FOLLOWER;
  cell->term = 0;
  cell->claim_after_ms = cell->time.now_ms + OWN_CLAIM_MS;
  cell->follow[FOLLOW_JOBS].enabled = false;
  cell->follow[FOLLOW_WORKERS].enabled = false;
  HASH_ITER (hh, cell->jobs, job, next_job)
  cell_job_remove (cell, job);
  HASH_ITER (hh, cell->ended_jobs, ended, next_ended)
  {
    HASH_DEL (cell->ended_jobs, ended);
    free (ended);
  }
  cell_workers_free (cell);
  cell_members_free (cell);
  cell_approval_queries_free (cell);
  cell_unreadable_free (cell);
  cell->late = false;
  for (uint32_t i = 0; i < CELL_PARTS; i++)
    {
      cell->part[i].dirty = NULL;
      cell->part[i].fenced = false;
      cell->part[i].committing = false;
      cell->part[i].reading_fence = false;
      cell->part[i].load_busy = false;
    }
}

static void
begin_term (MuxCell *cell)
{
  if (cell->role != CELL_FOLLOWER)
    cell_step_down (cell, "claimed_again");
  cell->role = CELL_LOADING;
  cell->term = cell->claim.version;
  cell->term_began_ms = cell->time.now_ms;
  cell->reply_latency = (CellReplyLatency){ .count = 0 };
  cell->late_starts_until_ms = 0;
  cell_heartbeat_begin (cell);
  cell_admission_blob_reset (cell);
  cell_yield_begin (cell);
  cell->change_seq = 0;
  cell->worker_slots = 0;
  cell_log (cell, "planner_began", "{s:I, s:i}", "term",
            (json_int_t) cell->term, "count", (int) cell->claim.term_count);
  cell_sweep_begin (cell);
  cell_load_begin (cell);
}

/* Planning costs a few thousandths of a processor for each worker; a weak
 * instance leaves it to a stronger one, which claims earlier. */
static int64_t
weakness_ms (const MuxCell *cell)
{
  uint32_t strength = cell->options.strength_milli;

  return strength < STRONG_MILLI
             ? (int64_t) WEAK_WAIT_MS * (STRONG_MILLI - strength) / STRONG_MILLI
             : 0;
}

/* The order in which daemons claim: by chance, but the same daemon does not
 * always come first. */
static int64_t
spread (const MuxCell *cell)
{
  return weakness_ms (cell)
         + (int64_t) (mux_hash_name (cell->options.name,
                                     cell->options.seed ^ cell->claim.version)
                      % SPREAD_MS);
}

/*
 * The row alone says who plans, whatever a commit's answer said: a claim whose
 * answer was lost, or that was carried out late, is found here with our
 * incarnation in it.
 */
void
cell_claim_row (MuxCell *cell, const MuxCellRow *row)
{
  CellClaim claim;
  bool ours;

  if (row->part[0] != 0)
    {
      cell_report_bad_row (cell, row, CELL_ROW_KEY, "part");
      return;
    }
  if (row->table == MUX_TABLE_CLAIM
      && strcmp (row->key, CELL_HEARTBEAT_KEY) == 0
      && row->version > cell->heartbeat_version)
    {
      cell->heartbeat_version = row->version;
      cell->heartbeat_exists = !row->removed;
      cell->planner_last_contact_ms = cell->time.now_ms;
      cell->claim_read_ms = cell->time.now_ms;
      cell_heartbeat_read (cell, row);
      if (cell->role == CELL_FOLLOWER && row->value != NULL
          && !cell_planner_is_reachable (cell))
        cell_admission_receive (cell, row->value);
    }
  if (strcmp (row->key, CELL_CLAIM_KEY) != 0
      || row->version <= cell->claim.version)
    return;
  cell_claim_read (cell, &claim, row);
  /* The copy beside the jobs only hastens what its own table tells. */
  if (claim.unreadable && row->table == MUX_TABLE_JOBS)
    {
      cell_claim_doubt (cell, "claim_unreadable");
      return;
    }
  ours = claim.incarnation == cell->options.incarnation;
  if (ours)
    cell_predecessor_begin (cell);
  cell->claim = claim;
  cell->claim_read_ms = cell->time.now_ms;
  cell->hellos.acked_number = 0;
  cell->planner_last_contact_ms = cell->time.now_ms;
  cell->planner_store_failing_ms = 0;
  cell->planner_late_ms = 0;
  cell->only_planner_failing_ms = 0;
  cell->planner_restarted = false;
  cell->planner_hello_reply_ms = 0;
  cell->next_hello_ms = 0;
  if (!ours)
    cell_log (cell, "planner_is", "{s:s, s:I}", "name", cell->claim.name,
              "term", (json_int_t) cell->claim.version);
  if (ours && cell->term != cell->claim.version)
    begin_term (cell);
  else if (!ours)
    cell_step_down (cell, "other_claim");
  cell->claim_after_ms = cell->time.now_ms + spread (cell);
  if (cell->claim.incarnation == 0 && !cell->claim.unreadable
      && strcmp (cell->claim.successor, cell->options.name) != 0)
    cell->claim_after_ms += HEIR_MS;
}

void
cell_claim_full_read (MuxCell *cell, bool ended)
{
  if (!ended || cell->claim.known)
    return;
  cell->claim.known = true;
  cell->claim_read_ms = cell->time.now_ms;
  cell->claim_after_ms = cell->time.now_ms + spread (cell);
}

static void look_before_claim (MuxCell *cell);

/*
 * Guards against a cell without a planner: the claim stands, its answer is
 * lost, and its owner knows of it by nothing but a feed that may hang for as
 * long.  So the row is read back.
 */
static void
claim_written (MuxCell *cell,
               const CellPending *pending,
               const MuxCellReply *reply)
{
  MuxCellRow row = { .table = MUX_TABLE_CLAIM,
                     .version = reply->version,
                     .key = CELL_CLAIM_KEY };

  (void) pending;
  cell->claiming = false;
  cell->claim_after_ms = cell->time.now_ms + RETRY_MS + spread (cell);
  cell->claim_retry_ms = cell->time.now_ms + RETRY_MS;
  if (reply->status == MUX_CELL_UNKNOWN && !cell->stopping)
    look_before_claim (cell);
  if (reply->status != MUX_CELL_OK || cell->stopping)
    return;
  row.value = cell_blob_from_json (cell_next_claim (cell));
  if (row.value == NULL)
    return;
  cell_claim_row (cell, &row);
  if (cell->term == reply->version)
    cell_claim_renewed (cell, pending->sent_ms);
  mux_blob_unref (row.value);
}

/* The claim stands beside the jobs too: whoever follows the jobs sees a new
 * planner before any job that was accepted after it. */
bool
cell_write_claim (MuxCell *cell, json_t *value, CellReplyHandler done)
{
  MuxCellCall *call = cell_commit_call ("", 4);
  CellPending pending = { .on_reply = done, .context = cell->term };
  MuxBlob *blob = cell_blob_from_json (value);

  if (call == NULL || blob == NULL)
    {
      mux_blob_unref (blob);
      mux_cell_call_free (call);
      return false;
    }
  cell_call_expect (call, MUX_TABLE_CLAIM, CELL_CLAIM_KEY, cell->claim.version);
  /* No later sign of life of the former planner than the one known here. */
  if (cell->role == CELL_FOLLOWER)
    cell_call_expect (call, MUX_TABLE_CLAIM, CELL_HEARTBEAT_KEY,
                      cell->heartbeat_exists ? cell->heartbeat_version : 0);
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_CLAIM, CELL_CLAIM_KEY)
      ->value
      = blob;
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_JOBS, CELL_CLAIM_KEY)
      ->value
      = mux_blob_ref (blob);
  return cell_call (cell, call, &pending);
}

static void
claim (MuxCell *cell, const char *why)
{
  cell_log (cell, "claiming", "{s:s, s:s}", "why", why, "from",
            cell->claim.name);
  cell->claiming
      = cell_write_claim (cell, cell_next_claim (cell), claim_written);
  if (!cell->claiming)
    cell->claim_after_ms = cell->time.now_ms + RETRY_MS;
}

static bool
planner_is_silent (const MuxCell *cell)
{
  return cell->time.now_ms - cell->planner_last_contact_ms
         > cell->options.dead_ms + spread (cell);
}

/*
 * Guards against a takeover at the end of each outage of the store: all daemons
 * hear from the planner that the store fails it, which is as true of
 * themselves, and the first one that is served again would replace it.  What
 * the planner says counts from the moment on at which the store answers this
 * daemon, and only while it goes on to answer.
 */
static bool
is_turned_away_alone (MuxCell *cell)
{
  int64_t now = cell->time.now_ms;

  if (cell->planner_store_failing_ms == 0)
    return false;
  if (cell->only_planner_failing_ms == 0
      || now - cell->probed_ms > PROBES_APART_MS)
    cell->only_planner_failing_ms = now;
  cell->probed_ms = now;
  return now - cell->only_planner_failing_ms > STORE_BAD_MS + spread (cell);
}

static void
looked (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  uint64_t version = cell->claim.version;

  (void) pending;
  cell->claiming = false;
  cell->next_probe_ms = cell->time.now_ms + PROBE_MS;
  for (uint32_t i = 0; i < reply->row_count; i++)
    cell_claim_row (cell, &reply->row[i]);
  if (reply->status != MUX_CELL_OK)
    {
      cell->only_planner_failing_ms = 0;
      cell->claim_after_ms = cell->time.now_ms + RETRY_MS;
      return;
    }
  if (cell->claim.version != version || cell->stopping)
    return;
  if (planner_is_silent (cell))
    claim (cell, "silent");
  else if (is_turned_away_alone (cell))
    claim (cell, "store_turns_it_away");
}

/*
 * Guards against a takeover at the end of each cut: a daemon that was cut off
 * has not heard the planner for seconds, and the call that follows the claim
 * may hang on a dead connection while others are answered again.  The table is
 * read first; a sign of life there that is newer than the last one known shows
 * that the silence was our own.  A claim is so never sent into a cut, either,
 * where it would lie until the cut ends.
 */
static void
look_before_claim (MuxCell *cell)
{
  CellPending pending = { .on_reply = looked };

  cell->claiming
      = cell_call (cell, cell_scan_call (MUX_TABLE_CLAIM, ""), &pending);
}

static void
hello (MuxCell *cell)
{
  MuxPeerMsg msg = cell_message (cell, MUX_PEER_HELLO, cell->claim.name);

  cell->next_hello_ms = cell->time.now_ms + HELLO_MS;
  msg.table_ok = cell_store_available (cell);
  msg.epoch = cell->claim.version;
  msg.call_id = cell_hello_next (cell, msg.table_ok);
  msg.cpu_share_milli = cell->options.strength_milli;
  msg.stopping = cell->stopping;
  msg.wall_ms = cell->own_wall_ms;
  (void) cell->options.sink->peer_send (cell->options.sink, cell->claim.addr,
                                        &msg);
}

/*
 * Where all processes were killed at once, each finds the claim of one that is
 * gone.  Waiting out its silence would leave the jobs of all callers standing
 * for over a second; the daemon that bears its name knows better, and tells
 * those that greet it (see welcome()).
 */
static bool
is_our_former_life (const MuxCell *cell)
{
  return cell->claim.incarnation != 0
         && cell->claim.incarnation != cell->options.incarnation
         && strcmp (cell->claim.name, cell->options.name) == 0;
}

/*
 * Guards against a cell without a planner: one that was taken in by a row of
 * another writer ends its term, no other claim stands, and as it goes on to
 * answer greetings nobody else claims.
 */
static bool
is_own_claim (const MuxCell *cell)
{
  return cell->claim.incarnation == cell->options.incarnation;
}

static void
follower_tick (MuxCell *cell)
{
  int64_t now = cell->time.now_ms;

  if (cell->claim.incarnation != 0 && now >= cell->next_hello_ms)
    hello (cell);
  if (cell->claiming || cell->stopping || !cell->claim.known
      || !cell_store_available (cell))
    return;
  if (is_our_former_life (cell) && now >= cell->claim_retry_ms
      && (weakness_ms (cell) == 0 || now >= cell->claim_after_ms))
    claim (cell, "own_former_life");
  if (cell->claiming || now < cell->claim_after_ms)
    return;
  if (cell->claim.incarnation == 0 && !cell->claim.unreadable)
    claim (cell, "vacant");
  else if (is_own_claim (cell))
    claim (cell, "own_claim");
  else if (cell->planner_restarted)
    claim (cell, "restarted");
  else if (planner_is_silent (cell)
           || (cell->planner_store_failing_ms != 0
               && now >= cell->next_probe_ms))
    look_before_claim (cell);
}

void
cell_claim_tick (MuxCell *cell)
{
  int64_t paused_ms = cell->time.now_ms - cell->last_event_ms;

  if (cell->role == CELL_FOLLOWER)
    {
      /* Silence that was our own is not held against the planner. */
      if (paused_ms > CELL_PAUSE_MS)
        cell->planner_last_contact_ms = cell->time.now_ms;
      follower_tick (cell);
    }
  else
    cell_heartbeat_tick (cell, paused_ms);
}

/* Also from one that does not plan: its incarnation tells that the planner of
 * its name is gone. */
static void
welcome (MuxCell *cell, const MuxPeerMsg *hello, bool taken)
{
  MuxPeerMsg msg = cell_message (cell, MUX_PEER_HELLO_REPLY, hello->from);

  msg.epoch = cell->term;
  msg.call_id = taken ? hello->call_id : 0;
  msg.table_ok = cell_store_available (cell);
  if (cell->role != CELL_FOLLOWER)
    {
      msg.wall_ms = cell->time.wall_ms;
      msg.body = cell_admission_blob (cell);
    }
  msg.late_ms = (uint32_t) cell_late_ms (cell);
  (void) cell->options.sink->peer_send (cell->options.sink, hello->from_addr,
                                        &msg);
  mux_blob_unref (msg.body);
}

static void
hear_planner (MuxCell *cell, const MuxPeerMsg *msg)
{
  if (strcmp (msg->from, cell->claim.name) != 0)
    return;
  if (msg->from_incarnation > cell->claim.incarnation
      && !cell->planner_restarted)
    {
      cell->planner_restarted = true;
      cell->claim_after_ms = cell->time.now_ms + spread (cell);
    }
  if (msg->from_incarnation != cell->claim.incarnation)
    return;
  cell->planner_last_contact_ms = cell->time.now_ms;
  cell->planner_hello_reply_ms = cell->time.now_ms;
  if (msg->epoch == cell->claim.version)
    cell_hello_acked (cell, msg->call_id);
  cell_admission_receive (cell, msg->body);
  cell->planner_late_ms = msg->late_ms;
  cell_planner_wall_time_received (cell, msg->wall_ms);
  if (msg->table_ok)
    {
      cell->planner_store_failing_ms = 0;
      cell->only_planner_failing_ms = 0;
    }
  else if (cell->planner_store_failing_ms == 0)
    cell->planner_store_failing_ms = cell->time.now_ms;
}

void
cell_claim_peer (MuxCell *cell, const MuxPeerMsg *msg)
{
  bool taken = false;

  if (msg->verb == MUX_PEER_HELLO_REPLY)
    {
      hear_planner (cell, msg);
      return;
    }
  if (cell->role != CELL_FOLLOWER)
    {
      taken = cell_member_hello_received (cell, msg);
      cell_predecessor_hello (cell, msg);
    }
  welcome (cell, msg, taken);
}
