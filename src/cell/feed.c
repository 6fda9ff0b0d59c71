#include "cell_private.h"

#include <stdio.h>

/*
 * Feeds: copies of tables that are kept up to date.
 *
 * The platform's bounds: a change of the configuration is in force 2 s after it
 * was acknowledged, or, when made around an outage of the store, 3 s after the
 * outage ends. The same bounds hold for the end of a cancelled job's tasks and
 * for learning of a worker's drain. A call that is lost without an error times
 * out after FEED_WAIT_MS + CELL_REPLY_MAX_MS, and the next one is answered
 * within CELL_REPLY_MAX_MS: 2.2 s in all, counted from the end of an outage.
 */

/* How long a call waits for a change. The store charges for each call, and a
 * daemon makes one a second for each table without changes. */
#define FEED_WAIT_MS 1000
/* Least time from one call to the next if the first fails. */
#define RETRY_MS 250
/* Age at which a feed's copy counts as stale. If a change comes at the end of
 * one call's wait, a second call follows: twice FEED_WAIT_MS and the time of
 * the store's replies. */
#define STALE_MS 3000
/* A reply with more rows may have been cut short, and does not show that no
 * change followed them. */
#define COMPLETE_ROWS_MAX 16
/* Pause after a reply with changes: changes in quick succession then share one
 * call, as the store charges for each; a change is delayed by half of the pause
 * on average. */
#define BATCH_PAUSE_MS 30

static void feed_replied (MuxCell *cell,
                          const CellPending *pending,
                          const MuxCellReply *reply);

void
cell_feed_start (CellFeed *feed, uint64_t term, uint64_t version)
{
  feed->enabled = true;
  feed->term = term;
  feed->loaded = version != 0;
  feed->busy = false;
  feed->known_until_ms = 0;
  feed->lost = false;
  feed->part = 0;
  feed->from[0] = 0;
  feed->version = version;
  feed->next_ms = 0;
}

bool
cell_feed_is_fresh (const MuxCell *cell, const CellFeed *feed)
{
  return feed->known_until_ms != 0
         && cell->time.now_ms - feed->known_until_ms < STALE_MS;
}

static bool
is_at_start (const CellFeed *feed)
{
  return feed->from[0] == 0 && feed->part == 0;
}

static void
send_call (MuxCell *cell, CellFeed *feed, MuxCellCall *call)
{
  CellPending pending = { .on_reply = feed_replied,
                          .term = feed->term,
                          .context = (uint64_t) (feed - cell->feed) };

  feed->call_id = cell->next_call;
  feed->sent_ms = cell->time.now_ms;
  feed->wait_ms = call->wait_ms;
  feed->logs_loss
      = call->verb == MUX_CELL_FEED && cell->store_failing_since_ms == 0;
  feed->busy = cell_call (cell, call, &pending);
}

static void
send_scan (MuxCell *cell, CellFeed *feed)
{
  MuxCellCall *call = cell_scan_call (
      feed->table, feed->by_part ? cell->part[feed->part].name : "");

  if (call == NULL)
    return;
  snprintf (call->from, sizeof call->from, "%s", feed->from);
  if (is_at_start (feed) && feed->on_full_read != NULL)
    feed->on_full_read (cell, false);
  send_call (cell, feed, call);
}

static void
send_feed_call (MuxCell *cell, CellFeed *feed)
{
  MuxCellCall *call = mux_cell_call_new (MUX_CELL_FEED);

  if (call == NULL)
    return;
  call->table = feed->table;
  call->after = feed->version;
  /* While the store fails any reply shows that it is back. A call that waited
   * for a change would show so only after the wait, and callers would be
   * refused until then. */
  call->wait_ms = cell->store_failing_since_ms == 0 ? FEED_WAIT_MS : 0;
  if (call->wait_ms != 0 && feed->table == MUX_TABLE_JOBS)
    call->wait_ms = cell_jobs_feed_wait_ms (cell, FEED_WAIT_MS);
  call->timeout_ms = call->wait_ms + CELL_REPLY_MAX_MS;
  send_call (cell, feed, call);
}

static void
log_loss (MuxCell *cell, CellFeed *feed, const char *why)
{
  cell_start_gate_feed_lost (cell, feed);
  /* Calls without a wait that follow a lost one are not logged again. */
  if (!feed->logs_loss || (feed->wait_ms == 0 && feed->lost))
    return;
  feed->lost = feed->known_until_ms != 0;
  cell_log (cell, "feed_lost", "{s:s, s:s, s:I}", "feed", feed->name, "why",
            why, "out_ms", (json_int_t) (cell->time.now_ms - feed->sent_ms));
}

static void
log_recovery (MuxCell *cell, CellFeed *feed)
{
  if (feed->lost)
    cell_log (cell, "feed_back", "{s:s, s:I}", "feed", feed->name, "behind_ms",
              (json_int_t) (cell->time.now_ms - feed->known_until_ms));
  feed->lost = false;
}

/*
 * After a short outage a feed's call may be lost without an error on its
 * connection, while the daemon's other calls are answered again. So whenever
 * one of these shows that the store begins or stops to fail, the calls sent
 * before are abandoned and sent again; late replies to the old ones are
 * ignored, as they may be older than what is known by then. A call sent less
 * than CELL_REPLY_MAX_MS ago is left alone, so that with a slow store that
 * fails now and then not every call is abandoned before its reply.
 */
static void
abandon_suspect_call (MuxCell *cell, CellFeed *feed)
{
  int64_t now = cell->time.now_ms;

  if (!feed->busy || !feed->loaded || feed->sent_ms >= cell->store_changed_ms
      || now - feed->sent_ms < CELL_REPLY_MAX_MS)
    return;
  cell_call_abandon (cell, feed->call_id);
  feed->busy = false;
  feed->next_ms = now;
  log_loss (cell, feed,
            cell->store_failing_since_ms != 0 ? "store_failing" : "store_back");
}

void
cell_feed_tick (MuxCell *cell, CellFeed *feed)
{
  if (!feed->enabled)
    return;
  abandon_suspect_call (cell, feed);
  if (feed->busy || cell->time.now_ms < feed->next_ms)
    return;
  feed->next_ms = cell->time.now_ms + RETRY_MS;
  if (feed->loaded)
    send_feed_call (cell, feed);
  else
    send_scan (cell, feed);
}

/* Returns the latest time for which the reply is known to be true: the end of
 * the wait if it came after that without changes; else the time of sending, as
 * the store may have read the table at any time since. */
static int64_t
reply_as_of_ms (const MuxCell *cell,
                const CellFeed *feed,
                const MuxCellReply *reply)
{
  int64_t waited_ms = feed->sent_ms + feed->wait_ms;

  return reply->row_count == 0 && cell->time.now_ms >= waited_ms
             ? waited_ms
             : feed->sent_ms;
}

static void
call_failed (MuxCell *cell, CellFeed *feed, const MuxCellReply *reply)
{
  int64_t now = cell->time.now_ms;

  feed->next_ms = feed->sent_ms + RETRY_MS;
  if (feed->next_ms < now)
    feed->next_ms = now;
  if (reply->status == MUX_CELL_UNKNOWN)
    log_loss (cell, feed, "silent");
}

/*
 * The configuration known by now was the newest when the call was sent. No
 * later time is sure: the store may have replied long after it read the table.
 */
static void
confirm_config (MuxCell *cell, const CellFeed *feed, const MuxCellReply *reply)
{
  if (feed->table == MUX_TABLE_CONFIG && reply->row_count <= COMPLETE_ROWS_MAX
      && !reply->more && is_at_start (feed))
    cell_config_confirmed (cell, feed->sent_ms);
}

/* A full read of the table by scan calls takes the version of its first page:
 * what changed while the others were read is delivered again, which does no
 * harm. */
static void
page_received (MuxCell *cell, CellFeed *feed, const MuxCellReply *reply)
{
  if (is_at_start (feed))
    feed->version = reply->version;
  if (cell_next_page (feed->from, reply))
    return;
  if (feed->by_part && feed->part + 1 < CELL_PARTS)
    {
      feed->part++;
      return;
    }
  feed->loaded = true;
  if (feed->on_full_read != NULL)
    feed->on_full_read (cell, true);
}

/*
 * If the store has dropped the changes after the version known
 * (MUX_CELL_HISTORY_GONE), a feed will never deliver them. The table is read
 * in full again.
 */
static void
feed_replied (MuxCell *cell,
              const CellPending *pending,
              const MuxCellReply *reply)
{
  CellFeed *feed = &cell->feed[pending->context];

  feed->busy = false;
  if (reply->status == MUX_CELL_HISTORY_GONE)
    {
      feed->loaded = false;
      feed->part = 0;
      feed->from[0] = 0;
      feed->next_ms = cell->time.now_ms;
      cell_log (cell, "history_lost", "{s:i, s:I}", "table", (int) feed->table,
                "after", (json_int_t) feed->version);
      return;
    }
  if (reply->status != MUX_CELL_OK)
    {
      call_failed (cell, feed, reply);
      return;
    }
  log_recovery (cell, feed);
  feed->known_until_ms = reply_as_of_ms (cell, feed, reply);
  if (feed->on_reply != NULL)
    feed->on_reply (cell, reply);
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      feed->on_row (cell, &reply->row[i]);
      /* The row may have ended the term, and this feed. */
      if (pending->term != 0 && pending->term != cell->term)
        return;
    }
  feed->next_ms = cell->time.now_ms
                  + (reply->row_count > 0 && feed->loaded ? BATCH_PAUSE_MS : 0);
  confirm_config (cell, feed, reply);
  cell_start_gate_feed (cell, feed, reply);
  if (reply->verb == MUX_CELL_SCAN)
    page_received (cell, feed, reply);
  else if (reply->version > feed->version)
    feed->version = reply->version;
}
