#include "cell_private.h"

#include <stdio.h>

/*
 * How old what a feed says may be.  A change of the configuration is in force
 * 2 s after it was acknowledged, and for one made around an outage of the store
 * 3 s after the end of that (the platform's bounds); a cancelled job's tasks
 * are gone, and what a draining worker says is known, after as much.  A call
 * that is lost without a sign is given up after WAIT_MS and CELL_ANSWER_MS, and
 * the next one answered within the latter: 2.2 s, from the end of an outage on.
 */

/* A call waits so long for a change, in ms; each is paid for, and a daemon
 * makes one a second for each table where nothing changes. */
#define WAIT_MS 1000
/* Between two calls of which the first failed at once, in ms. */
#define RETRY_MS 250
/* What a feed says counts as unknown at this age, in ms.  Two calls follow each
 * other when a change comes at the end of the first one's wait: twice WAIT_MS,
 * and the store's answers. */
#define UNKNOWN_MS 3000
/* An answer with more rows than this may have been cut short, so that it does
 * not prove that nothing came after them. */
#define WHOLE_ROWS 16
/* Between two answers with changes, in ms: rows that come closely together then
 * share one call, which is paid for; it delays a change by half of it. */
#define REST_MS 30

static void
followed (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply);

void
cell_follow_start (CellFollow *follow, uint64_t term, uint64_t version)
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
cell_follow_is_fresh (const MuxCell *cell, const CellFollow *follow)
{
  return follow->known_until_ms != 0
         && cell->time.now_ms - follow->known_until_ms < UNKNOWN_MS;
}

static bool
begins (const CellFollow *follow)
{
  return follow->from[0] == 0 && follow->part == 0;
}

static void
send_call (MuxCell *cell, CellFollow *follow, MuxCellCall *call)
{
  CellPending pending = { .on_reply = followed,
                          .term = follow->term,
                          .context = (uint64_t) (follow - cell->follow) };

  follow->call_id = cell->next_call;
  follow->sent_ms = cell->time.now_ms;
  follow->wait_ms = call->wait_ms;
  follow->busy = cell_call (cell, call, &pending);
}

static void
send_scan (MuxCell *cell, CellFollow *follow)
{
  MuxCellCall *call = cell_scan_call (
      follow->table, follow->by_part ? cell->part[follow->part].name : "");

  if (call == NULL)
    return;
  snprintf (call->from, sizeof call->from, "%s", follow->from);
  if (begins (follow) && follow->on_full_read != NULL)
    follow->on_full_read (cell, false);
  send_call (cell, follow, call);
}

static void
send_follow (MuxCell *cell, CellFollow *follow)
{
  MuxCellCall *call = mux_cell_call_new (MUX_CELL_FEED);

  if (call == NULL)
    return;
  call->table = follow->table;
  call->after = follow->version;
  /* While the store fails the answer itself is the news: one that waited for
   * a change would leave callers refused for seconds after its return. */
  call->wait_ms = cell->store_failing_ms == 0 ? WAIT_MS : 0;
  call->timeout_ms
      = cell->store_failing_ms == 0 ? WAIT_MS + CELL_ANSWER_MS : CELL_ANSWER_MS;
  send_call (cell, follow, call);
}

static void
note_loss (MuxCell *cell, CellFollow *follow, const char *why)
{
  /* Those that waited for nothing fail all through an outage. */
  if (follow->wait_ms == 0)
    return;
  follow->lost = follow->known_until_ms != 0;
  cell_log (cell, "feed_lost", "{s:s, s:s, s:I}", "feed", follow->name, "why",
            why, "out_ms", (json_int_t) (cell->time.now_ms - follow->sent_ms));
}

static void
note_answer (MuxCell *cell, CellFollow *follow)
{
  if (follow->lost)
    cell_log (cell, "feed_back", "{s:s, s:I}", "feed", follow->name,
              "behind_ms",
              (json_int_t) (cell->time.now_ms - follow->known_until_ms));
  follow->lost = false;
}

/*
 * Guards against a feed that says nothing of changes behind a short outage: its
 * call was lost in it, with no sign of that on its connection, while the
 * daemon's other calls are answered again.  Whenever one of these shows that
 * the store begins or ends to fail, the calls sent before are sent anew; what
 * the old ones are still answered is not heard, as it may be older than what is
 * known by then.  A call that is not out for longer than an answer takes is
 * left alone, so that a store that is slow and fails now and then does not
 * have each call given up before its answer.
 */
static void
give_up_doubtful (MuxCell *cell, CellFollow *follow)
{
  int64_t now = cell->time.now_ms;

  if (!follow->busy || !follow->loaded
      || follow->sent_ms >= cell->store_changed_ms
      || now - follow->sent_ms < CELL_ANSWER_MS)
    return;
  cell_call_abandon (cell, follow->call_id);
  follow->busy = false;
  follow->next_ms = now;
  note_loss (cell, follow,
             cell->store_failing_ms != 0 ? "store_failing" : "store_back");
}

void
cell_follow_tick (MuxCell *cell, CellFollow *follow)
{
  if (!follow->enabled)
    return;
  give_up_doubtful (cell, follow);
  if (follow->busy || cell->time.now_ms < follow->next_ms)
    return;
  follow->next_ms = cell->time.now_ms + RETRY_MS;
  if (follow->loaded)
    send_follow (cell, follow);
  else
    send_scan (cell, follow);
}

/* An answer without changes that came when its wait was over was given then;
 * of any other it is known only that it was given after the call was sent. */
static int64_t
given_ms (const MuxCell *cell,
          const CellFollow *follow,
          const MuxCellReply *reply)
{
  int64_t waited_ms = follow->sent_ms + follow->wait_ms;

  return reply->row_count == 0 && cell->time.now_ms >= waited_ms
             ? waited_ms
             : follow->sent_ms;
}

static void
failed (MuxCell *cell, CellFollow *follow, const MuxCellReply *reply)
{
  int64_t now = cell->time.now_ms;

  follow->next_ms = follow->sent_ms + RETRY_MS;
  if (follow->next_ms < now)
    follow->next_ms = now;
  if (reply->status == MUX_CELL_UNKNOWN)
    note_loss (cell, follow, "silent");
}

/*
 * All that is known of the configuration by now holds up to the moment at which
 * the call was sent: when it was answered may be long after it was looked at.
 */
static void
prove (MuxCell *cell, const CellFollow *follow, const MuxCellReply *reply)
{
  if (follow->table == MUX_TABLE_CONFIG && reply->row_count <= WHOLE_ROWS
      && !reply->more && begins (follow))
    cell_config_confirmed (cell, follow->sent_ms);
}

/* The version of a whole reading is that of its first page: what changed
 * while the others were read is then seen again, which does no harm. */
static void
page_read (MuxCell *cell, CellFollow *follow, const MuxCellReply *reply)
{
  if (begins (follow))
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
 * Guards against a store that forgot the changes after the version known
 * (MUX_CELL_HISTORY_GONE): they will never be told, so that a follower would go
 * on with what it has for good.  The table is read whole again instead.
 */
static void
followed (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  CellFollow *follow = &cell->follow[pending->context];

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
      failed (cell, follow, reply);
      return;
    }
  note_answer (cell, follow);
  follow->known_until_ms = given_ms (cell, follow, reply);
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      follow->on_row (cell, &reply->row[i]);
      /* The row may have ended the term, and with it this reading. */
      if (pending->term != 0 && pending->term != cell->term)
        return;
    }
  follow->next_ms = cell->time.now_ms
                    + (reply->row_count > 0 && follow->loaded ? REST_MS : 0);
  prove (cell, follow, reply);
  if (reply->verb == MUX_CELL_SCAN)
    page_read (cell, follow, reply);
  else if (reply->version > follow->version)
    follow->version = reply->version;
}
