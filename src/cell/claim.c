#include "job_memory.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval of hellos to the planner; six fit into dead_ms. */
#define HELLO_INTERVAL_MS 250
#define RETRY_MS 300
/* A planner that can't reach the store is replaced once this daemon could for
 * this long, without a gap of more than PROBE_GAP_MAX_MS between replies. */
#define PLANNER_FAILING_MS 600
#define PROBE_INTERVAL_MS 200
#define PROBE_GAP_MAX_MS 500
/* A planner that steps down claims again only after this time. A pending feed
 * call, which waits up to a second, shows the claim that ended the term
 * within it and some 100 ms; until then the claim known here is our own,
 * which is void. */
#define STEP_DOWN_WAIT_MS 1500
/* Head start of the successor that a released claim names. */
#define SUCCESSOR_HEAD_START_MS 350

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
  cell->claim_after_ms = cell->time.now_ms + STEP_DOWN_WAIT_MS;
  cell->feed[CELL_FEED_JOBS].enabled = false;
  cell->feed[CELL_FEED_WORKERS].enabled = false;
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
  cell_jobs_left_out_free (cell);
  cell->starts_unanswered = 0;
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

/*
 * The row alone decides who the planner is, whatever the reply to the commit
 * was: a claim whose reply was lost, or that was applied late, is found here
 * by our incarnation in it.
 */
void
cell_claim_row (MuxCell *cell, const MuxCellRow *row)
{
  CellClaim claim;
  bool ours;

  if (row->part[0] != 0)
    {
      cell_report_bad_row (cell, row, CELL_ROW_BAD_KEY, "part");
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
  /* The copy in the jobs table only brings the news earlier. */
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
  if (cell->heartbeat_version <= claim.version)
    cell->need.planner_sends = false;
  cell->planner_last_contact_ms = cell->time.now_ms;
  cell->planner_store_failing_since_ms = 0;
  cell->planner_late_ms = 0;
  cell->only_planner_failing_since_ms = 0;
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
  cell->claim_after_ms = cell->time.now_ms + cell_claim_delay_ms (cell);
  if (cell->claim.incarnation == 0 && !cell->claim.unreadable
      && !cell_is_successor (cell))
    cell->claim_after_ms += SUCCESSOR_HEAD_START_MS;
}

void
cell_claim_full_read (MuxCell *cell, bool ended)
{
  if (!ended || cell->claim.known)
    return;
  cell->claim.known = true;
  cell->claim_read_ms = cell->time.now_ms;
  cell->claim_after_ms = cell->time.now_ms + cell_claim_delay_ms (cell);
}

/*
 * If the reply to a successful claim is lost, its owner learns of the claim
 * only from a feed, which may hang for as long, and the cell has no planner
 * meanwhile. So the row is read back.
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
  cell->claim_after_ms
      = cell->time.now_ms + RETRY_MS + cell_claim_delay_ms (cell);
  cell->claim_retry_ms = cell->time.now_ms + RETRY_MS;
  if (reply->status == MUX_CELL_UNKNOWN && !cell->stopping)
    cell_claim_check (cell);
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

/* A copy of the claim goes into the jobs table: a daemon that follows the
 * jobs sees a new planner before any job accepted after it. */
bool
cell_write_claim (MuxCell *cell, json_t *value, CellReplyHandler on_reply)
{
  MuxCellCall *call = cell_commit_call ("", 4);
  CellPending pending = { .on_reply = on_reply, .context = cell->term };
  MuxBlob *blob = cell_blob_from_json (value);

  if (call == NULL || blob == NULL)
    {
      mux_blob_unref (blob);
      mux_cell_call_free (call);
      return false;
    }
  cell_call_expect (call, MUX_TABLE_CLAIM, CELL_CLAIM_KEY, cell->claim.version);
  if (cell->role != CELL_FOLLOWER)
    call->timeout_ms = cell_release_timeout_ms (cell);
  /* The predecessor has written no heartbeat later than the one known here. */
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
send_claim (MuxCell *cell, const char *why)
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
         > cell->options.dead_ms + cell_claim_delay_ms (cell);
}

/*
 * After an outage of the store all daemons have heard from the planner that
 * the store fails, which is true of themselves too, and the first one served
 * again would replace it. So what the planner reports counts only from the
 * moment the store answers this daemon, and only while it keeps answering.
 */
static bool
only_planner_is_failing (MuxCell *cell)
{
  int64_t now = cell->time.now_ms;

  if (cell->planner_store_failing_since_ms == 0)
    return false;
  if (cell->only_planner_failing_since_ms == 0
      || now - cell->probed_ms > PROBE_GAP_MAX_MS)
    cell->only_planner_failing_since_ms = now;
  cell->probed_ms = now;
  return now - cell->only_planner_failing_since_ms
         > PLANNER_FAILING_MS + cell_claim_delay_ms (cell);
}

/*
 * A daemon misled by a row of another writer ends its term while its own claim
 * still exists; as it goes on to answer hellos, nobody else claims. So it has
 * to claim again.
 */
static bool
is_own_claim (const MuxCell *cell)
{
  return cell->claim.incarnation == cell->options.incarnation;
}

static void
claim_table_read (MuxCell *cell,
                  const CellPending *pending,
                  const MuxCellReply *reply)
{
  uint64_t version = cell->claim.version;

  (void) pending;
  cell->claiming = false;
  cell->next_probe_ms = cell->time.now_ms + PROBE_INTERVAL_MS;
  for (uint32_t i = 0; i < reply->row_count; i++)
    cell_claim_row (cell, &reply->row[i]);
  if (reply->status != MUX_CELL_OK)
    {
      cell->only_planner_failing_since_ms = 0;
      cell->claim_after_ms = cell->time.now_ms + RETRY_MS;
      return;
    }
  /* A feed may have brought our claim before this reply. */
  if (cell->claim.version != version || cell->stopping
      || cell->role != CELL_FOLLOWER)
    return;
  if (is_own_claim (cell))
    send_claim (cell, "own_claim");
  else if (planner_is_silent (cell))
    send_claim (cell, "silent");
  else if (only_planner_is_failing (cell))
    send_claim (cell, "store_turns_it_away");
}

/*
 * A daemon that was partitioned has not heard from the planner for seconds, and
 * its feed of the claim may hang on a dead connection while others are answered
 * again. So the table is read before claiming; a heartbeat newer than the last
 * one known shows that this daemon was cut off, not the planner. It also means
 * that no claim is sent into a partition, where it would be delivered at its
 * end.
 */
void
cell_claim_check (MuxCell *cell)
{
  CellPending pending = { .on_reply = claim_table_read };

  cell->claiming
      = cell_call (cell, cell_scan_call (MUX_TABLE_CLAIM, ""), &pending);
}

static void
send_hello (MuxCell *cell)
{
  MuxPeerMsg msg = cell_message (cell, MUX_PEER_HELLO, cell->claim.name);

  cell->next_hello_ms = cell->time.now_ms + HELLO_INTERVAL_MS;
  msg.table_ok = cell_store_available (cell);
  msg.epoch = cell->claim.version;
  msg.call_id = cell_hello_next (cell, msg.table_ok);
  msg.cpu_share_milli = cell->options.cpu_share_milli;
  if (cell->need.planner_sends)
    {
      msg.link_kbps = cell->options.link_kbps;
      msg.memory_mib = cell->options.memory_mib;
      msg.late_ms = cell_hello_round_trip_ms (cell);
      msg.loop_ms = (uint32_t) (cell->time.now_ms - cell->time.processed_ms);
    }
  msg.stopping = cell->stopping;
  msg.wall_ms = cell->own_wall_ms;
  (void) cell->options.sink->peer_send (cell->options.sink, cell->claim.addr,
                                        &msg);
}

/*
 * If all processes were killed at once, each finds the claim of a process that
 * is gone, and waiting for the planner's timeout would stop all jobs for over
 * a second. The daemon with the same name as the holder knows that it is gone
 * and claims at once; it also tells the daemons that send it hellos (see
 * send_hello_reply()).
 */
static bool
is_own_previous_incarnation (const MuxCell *cell)
{
  return cell->claim.incarnation != 0
         && cell->claim.incarnation != cell->options.incarnation
         && strcmp (cell->claim.name, cell->options.name) == 0;
}

static void
follower_tick (MuxCell *cell)
{
  int64_t now = cell->time.now_ms;

  if (cell->claim.incarnation != 0 && now >= cell->next_hello_ms)
    send_hello (cell);
  if (cell->claiming || cell->stopping || !cell->claim.known
      || !cell_store_available (cell))
    return;
  if (is_own_previous_incarnation (cell) && now >= cell->claim_retry_ms
      && (cell_ability_delay_ms (cell) == 0 || now >= cell->claim_after_ms))
    send_claim (cell, "own_former_life");
  if (cell->claiming || now < cell->claim_after_ms)
    return;
  if (cell->claim.incarnation == 0 && !cell->claim.unreadable)
    send_claim (cell, "vacant");
  else if (is_own_claim (cell))
    send_claim (cell, "own_claim");
  else if (cell->planner_restarted)
    send_claim (cell, "restarted");
  else if (planner_is_silent (cell)
           || (cell->planner_store_failing_since_ms != 0
               && now >= cell->next_probe_ms))
    cell_claim_check (cell);
}

void
cell_claim_tick (MuxCell *cell)
{
  int64_t paused_ms = cell->time.now_ms - cell->last_event_ms;

  if (cell->role == CELL_FOLLOWER)
    {
      /* If this process was paused, the missing contact is not the planner's
       * fault. */
      if (paused_ms > CELL_PAUSE_MAX_MS)
        cell->planner_last_contact_ms = cell->time.now_ms;
      follower_tick (cell);
    }
  else
    cell_heartbeat_tick (cell, paused_ms);
}

/* Also sent by a daemon that is not the planner: its incarnation shows that
 * an earlier process of its name, which held the claim, is gone. */
static void
send_hello_reply (MuxCell *cell, const MuxPeerMsg *hello, bool accepted)
{
  MuxPeerMsg msg = cell_message (cell, MUX_PEER_HELLO_REPLY, hello->from);

  msg.epoch = cell->term;
  msg.call_id = accepted ? hello->call_id : 0;
  msg.table_ok = cell_store_available (cell);
  if (cell->role != CELL_FOLLOWER)
    {
      msg.wall_ms = cell->time.wall_ms;
      msg.body = cell_admission_blob (cell);
    }
  msg.late_ms = (uint32_t) cell_reported_late_ms (cell);
  (void) cell->options.sink->peer_send (cell->options.sink, hello->from_addr,
                                        &msg);
  mux_blob_unref (msg.body);
}

static void
hello_reply_received (MuxCell *cell, const MuxPeerMsg *msg)
{
  if (strcmp (msg->from, cell->claim.name) != 0)
    return;
  if (msg->from_incarnation > cell->claim.incarnation
      && !cell->planner_restarted)
    {
      cell->planner_restarted = true;
      cell->claim_after_ms = cell->time.now_ms + cell_claim_delay_ms (cell);
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
      cell->planner_store_failing_since_ms = 0;
      cell->only_planner_failing_since_ms = 0;
    }
  else if (cell->planner_store_failing_since_ms == 0)
    cell->planner_store_failing_since_ms = cell->time.now_ms;
}

void
cell_claim_peer (MuxCell *cell, const MuxPeerMsg *msg)
{
  bool accepted = false;

  if (msg->verb == MUX_PEER_HELLO_REPLY)
    {
      hello_reply_received (cell, msg);
      return;
    }
  if (cell->role != CELL_FOLLOWER)
    {
      accepted = cell_member_hello_received (cell, msg);
      cell_predecessor_hello (cell, msg);
    }
  send_hello_reply (cell, msg, accepted);
}
