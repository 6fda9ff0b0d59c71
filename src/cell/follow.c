#include "cell_private.h"

#include <stdio.h>

/*
 * Feeds: copies of tables that are kept up to date.
 *
 * A change of the configuration is in force 2 s after it was acknowledged, and
 * one made around an outage of the store 3 s after the end of that (the
 * platform's bounds); a cancelled job's tasks have ended, and a worker's drain
 * is known, after as much. A call that is lost silently is given up after
 * FEED_WAIT_MS and CELL_REPLY_MAX_MS, and the next one answered within the
 * latter: 2.2 s, from the end of an outage on.
 */

/* How long a call waits for a change; each is paid for, and a daemon makes
 * one a second for each table without changes. */
#define FEED_WAIT_MS 1000
/* Between two calls if the first failed at once. */
#define RETRY_MS 250
/* Age at which a feed's copy counts as stale. If a change comes at the end of
 * one call's wait, a second call follows: twice FEED_WAIT_MS and the store's
 * answers. */
#define STALE_MS 3000
/* An answer with more rows may have been cut short, and does not show that
 * nothing came after them. */
#define COMPLETE_ROWS_MAX 16
/* Pause after an answer with changes: rows in quick succession then share one
 * call, which is paid for; a change is delayed by half of it on average. */
#define BATCH_PAUSE_MS 30

static void follow_replied (MuxCell *cell,
                            const CellPending *pending,
                            const MuxCellReply *reply);

void
cell_feed_start (CellFeed *follow, uint64_t term, uint64_t version)
{
  follow->enabled = true;
  follow->term = term;
  follow->loaded = version != 0;
  follow->busy = false;
  follow->known_until_ms = 0;
  follow->lost = false;
  follow->part = 0;
  follow->from[0] = 0;
  follow->version = version;
  follow->next_ms = 0;
}

bool
cell_feed_is_fresh (const MuxCell *cell, const CellFeed *follow)
{
  return follow->known_until_ms != 0
         && cell->time.now_ms - follow->known_until_ms < STALE_MS;
}

static bool
is_at_start (const CellFeed *follow)
{
  return follow->from[0] == 0 && follow->part == 0;
}

static void
send_call (MuxCell *cell, CellFeed *follow, MuxCellCall *call)
{
  CellPending pending = { .on_reply = follow_replied,
                          .term = follow->term,
                          .context = (uint64_t) (follow - cell->feed) };

  follow->call_id = cell->next_call;
  follow->sent_ms = cell->time.now_ms;
  follow->wait_ms = call->wait_ms;
  follow->busy = cell_call (cell, call, &pending);
}

static void
send_scan (MuxCell *cell, CellFeed *follow)
{
  MuxCellCall *call = cell_scan_call (
      follow->table, follow->by_part ? cell->part[follow->part].name : "");

  if (call == NULL)
    return;
  snprintf (call->from, sizeof call->from, "%s", follow->from);
  if (is_at_start (follow) && follow->on_full_read != NULL)
    follow->on_full_read (cell, false);
  send_call (cell, follow, call);
}

static void
send_follow (MuxCell *cell, CellFeed *follow)
{
  MuxCellCall *call = mux_cell_call_new (MUX_CELL_FEED);

  if (call == NULL)
    return;
  call->table = follow->table;
  call->after = follow->version;
  /* While the store fails any answer is news: a call that waited for a change
   * would leave callers refused for seconds after the store is back. */
  call->wait_ms = cell->store_failing_since_ms == 0 ? FEED_WAIT_MS : 0;
  call->timeout_ms = cell->store_failing_since_ms == 0
                         ? FEED_WAIT_MS + CELL_REPLY_MAX_MS
                         : CELL_REPLY_MAX_MS;
  send_call (cell, follow, call);
}

static void
log_loss (MuxCell *cell, CellFeed *follow, const char *why)
{
  /* Calls without a wait fail all through an outage. */
  if (follow->wait_ms == 0)
    return;
  follow->lost = follow->known_until_ms != 0;
  cell_log (cell, "feed_lost", "{s:s, s:s, s:I}", "feed", follow->name, "why",
            why, "out_ms", (json_int_t) (cell->time.now_ms - follow->sent_ms));
}

static void
log_answer (MuxCell *cell, CellFeed *follow)
{
  if (follow->lost)
    cell_log (cell, "feed_back", "{s:s, s:I}", "feed", follow->name,
              "behind_ms",
              (json_int_t) (cell->time.now_ms - follow->known_until_ms));
  follow->lost = false;
}

/*
 * After a short outage a feed's call may be lost without a sign on its
 * connection, while the daemon's other calls are answered again. So whenever
 * one of these shows that the store begins or stops to fail, the calls sent
 * before are abandoned and sent anew; late answers to the old ones are
 * ignored, as they may be older than what is known by then. A call that has
 * been out for less time than an answer takes is left alone, so that with a
 * slow store that fails now and then not every call is abandoned before its
 * answer.
 */
static void
abandon_suspect_call (MuxCell *cell, CellFeed *follow)
{
  int64_t now = cell->time.now_ms;

  if (!follow->busy || !follow->loaded
      || follow->sent_ms >= cell->store_changed_ms
      || now - follow->sent_ms < CELL_REPLY_MAX_MS)
    return;
  cell_call_abandon (cell, follow->call_id);
  follow->busy = false;
  follow->next_ms = now;
  log_loss (cell, follow,
            cell->store_failing_since_ms != 0 ? "store_failing" : "store_back");
}

void
cell_feed_tick (MuxCell *cell, CellFeed *follow)
{
  if (!follow->enabled)
    return;
  abandon_suspect_call (cell, follow);
  if (follow->busy || cell->time.now_ms < follow->next_ms)
    return;
  follow->next_ms = cell->time.now_ms + RETRY_MS;
  if (follow->loaded)
    send_follow (cell, follow);
  else
    send_scan (cell, follow);
}

/* When the store gave the answer: for one without changes that came after its
 * wait, at the end of the wait; for any other it is only known to be after
 * the call was sent. */
static int64_t
answered_ms (const MuxCell *cell,
             const CellFeed *follow,
             const MuxCellReply *reply)
{
  int64_t waited_ms = follow->sent_ms + follow->wait_ms;

  return reply->row_count == 0 && cell->time.now_ms >= waited_ms
             ? waited_ms
             : follow->sent_ms;
}

static void
call_failed (MuxCell *cell, CellFeed *follow, const MuxCellReply *reply)
{
  int64_t now = cell->time.now_ms;

  follow->next_ms = follow->sent_ms + RETRY_MS;
  if (follow->next_ms < now)
    follow->next_ms = now;
  if (reply->status == MUX_CELL_UNKNOWN)
    log_loss (cell, follow, "silent");
}

/*
 * The configuration known by now was the newest when the call was sent; the
 * store may have answered long after it read the table.
 */
static void
confirm_config (MuxCell *cell,
                const CellFeed *follow,
                const MuxCellReply *reply)
{
  if (follow->table == MUX_TABLE_CONFIG && reply->row_count <= COMPLETE_ROWS_MAX
      && !reply->more && is_at_start (follow))
    cell_config_confirmed (cell, follow->sent_ms);
}

/* A full read has the version of its first page: what changed while the
 * others were read is delivered again, which does no harm. */
static void
page_read (MuxCell *cell, CellFeed *follow, const MuxCellReply *reply)
{
  if (is_at_start (follow))
    follow->version = reply->version;
  if (cell_next_page (follow->from, reply))
    return;
  if (follow->by_part && follow->part + 1 < CELL_PARTS)
    {
      follow->part++;
      return;
    }
  follow->loaded = true;
  if (follow->on_full_read != NULL)
    follow->on_full_read (cell, true);
}

/*
 * If the store has dropped the changes after the version known
 * (MUX_CELL_HISTORY_GONE), a feed will never deliver them. The table is read
 * in full again.
 */
static void
follow_replied (MuxCell *cell,
                const CellPending *pending,
                const MuxCellReply *reply)
{
  CellFeed *follow = &cell->feed[pending->context];

  follow->busy = false;
  if (reply->status == MUX_CELL_HISTORY_GONE)
    {
      follow->loaded = false;
      follow->part = 0;
      follow->from[0] = 0;
      follow->next_ms = cell->time.now_ms;
      cell_log (cell, "history_lost", "{s:i, s:I}", "table",
                (int) follow->table, "after", (json_int_t) follow->version);
      return;
    }
  if (reply->status != MUX_CELL_OK)
    {
      call_failed (cell, follow, reply);
      return;
    }
  log_answer (cell, follow);
  follow->known_until_ms = answered_ms (cell, follow, reply);
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      follow->on_row (cell, &reply->row[i]);
      /* The row may have ended the term, and this feed. */
      if (pending->term != 0 && pending->term != cell->term)
        return;
    }
  follow->next_ms
      = cell->time.now_ms
        + (reply->row_count > 0 && follow->loaded ? BATCH_PAUSE_MS : 0);
  confirm_config (cell, follow, reply);
  if (reply->verb == MUX_CELL_SCAN)
    page_read (cell, follow, reply);
  else if (reply->version > follow->version)
    follow->version = reply->version;
}
