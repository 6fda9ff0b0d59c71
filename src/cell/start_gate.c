#include "cell_private.h"

/*
 * Holds starts back while this planner's knowledge of cancels is too old.
 *
 * It learns of cancels by its feed of the jobs table alone. A feed that waits
 * for changes gets a reply each second, and its knowledge is up to a second and
 * two replies' way old on a quiet day; that is no reason to hold anything back.
 * What is held back stays planned, and is started once a reply shows that no
 * cancel was missed.
 *
 * A reply with a change proves nothing later than its call, which may have
 * waited for most of a second. The next call then waits for the rest of that
 * second only, so that the age does not reach two.
 */

/* Knowledge that is younger than this as a call is sent is as good as new: a
 * store's reply takes so long. */
#define YOUNG_MS 100
/* While replies take longer than SLOW_MS in all, the feed waits for changes for
 * SHORT_WAIT_MS only: starts are not held back for the wait then. */
#define SLOW_MS 1000
#define SHORT_WAIT_MS 250
/* Replies with up to this many rows are whole; a store may cut longer ones
 * short without saying so. */
#define WHOLE_ROWS_MIN 16

/* Calls lost at two workers within this time show that orders are slow; those
 * of a single worker only that it may be down. As long as this they count, as
 * the starts at an age of 3 s are held back in any case. */
#define LOST_ORDERS_MS 3000

void
cell_start_gate_begin (MuxCell *cell)
{
  CellStartGate *gate = &cell->start_gate;

  *gate = (CellStartGate){ .held = false };
  /* The jobs of this term were read, with their cancels, after the claim. */
  gate->known_until_ms = cell->term_began_ms;
}

/* A store cuts all replies at the same number of rows: one shorter than an
 * earlier one is whole. */
static bool
is_whole (CellStartGate *gate, const MuxCellReply *reply)
{
  bool whole
      = reply->row_count <= WHOLE_ROWS_MIN || reply->row_count < gate->rows_max;

  if (reply->row_count > gate->rows_max)
    gate->rows_max = reply->row_count;
  return whole && !reply->more;
}

void
cell_start_gate_feed (MuxCell *cell,
                      const CellFeed *feed,
                      const MuxCellReply *reply)
{
  CellStartGate *gate = &cell->start_gate;
  int64_t took_ms = cell->time.now_ms - feed->sent_ms;
  int64_t beyond_wait_ms = took_ms - feed->wait_ms;

  if (feed->table != MUX_TABLE_JOBS || reply->verb != MUX_CELL_FEED)
    return;
  gate->feed_lost = false;
  mux_delay_add (&gate->feed, cell->time.now_ms, beyond_wait_ms,
                 reply->row_count > 0 ? took_ms : beyond_wait_ms);
  if (is_whole (gate, reply) && feed->known_until_ms > gate->known_until_ms)
    gate->known_until_ms = feed->known_until_ms;
}

void
cell_start_gate_feed_lost (MuxCell *cell, const CellFeed *feed)
{
  if (feed->table == MUX_TABLE_JOBS)
    cell->start_gate.feed_lost = true;
}

static bool
is_recent (const MuxCell *cell, int64_t at_ms)
{
  return at_ms != 0 && cell->time.now_ms - at_ms <= LOST_ORDERS_MS;
}

/* A lost call took at least until its time-out. That is no sample for the mean,
 * which the replies to other calls would lower again. */
static void
order_lost (MuxCell *cell, const CellPending *pending, int64_t took_ms)
{
  CellStartGate *gate = &cell->start_gate;
  uint64_t worker = mux_hash_name (pending->worker, 0);

  if (worker != gate->lost_worker && is_recent (cell, gate->lost_ms))
    {
      if (!is_recent (cell, gate->orders_lost_ms)
          || took_ms > gate->lost_order_ms)
        gate->lost_order_ms = took_ms;
      gate->orders_lost_ms = cell->time.now_ms;
    }
  gate->lost_worker = worker;
  gate->lost_ms = cell->time.now_ms;
}

void
cell_start_gate_order (MuxCell *cell,
                       const CellPending *pending,
                       const MuxCellReply *reply)
{
  int64_t took_ms = cell->time.processed_ms - pending->sent_ms;

  if (cell->role != CELL_PLANNING || pending->peer[0] != 0
      || reply->status == MUX_CELL_NOT_DONE)
    return;
  if (reply->status == MUX_CELL_UNKNOWN)
    {
      order_lost (cell, pending, took_ms - pending->wait_ms);
      return;
    }
  mux_delay_add (&cell->start_gate.order, cell->time.now_ms,
                 took_ms - pending->wait_ms, took_ms);
}

/* A call whose reply is overdue, or was lost, is followed by one that is
 * answered within CELL_REPLY_MAX_MS if any is, and processed here after the
 * delay of all events. Without this limit a single late reply would hold starts
 * back until the mean has forgotten it. */
static int64_t
feed_delay_ms (const MuxCell *cell)
{
  const CellStartGate *gate = &cell->start_gate;
  const CellFeed *feed = &cell->feed[CELL_FEED_JOBS];
  int64_t most_ms
      = CELL_REPLY_MAX_MS + (cell->time.now_ms - cell->time.processed_ms);
  int64_t delay_ms = mux_delay_ms (&gate->feed);
  int64_t late_ms = 0;

  if (feed->busy)
    late_ms = cell->time.now_ms - feed->sent_ms - (int64_t) feed->wait_ms;
  if (late_ms > delay_ms)
    delay_ms = late_ms;
  return gate->feed_lost || delay_ms > most_ms ? most_ms : delay_ms;
}

static int64_t
order_delay_ms (const MuxCell *cell)
{
  const CellStartGate *gate = &cell->start_gate;
  int64_t delay_ms = mux_delay_ms (&gate->order);

  return is_recent (cell, gate->orders_lost_ms)
                 && gate->lost_order_ms > delay_ms
             ? gate->lost_order_ms
             : delay_ms;
}

static MuxCancelAge
known (const MuxCell *cell)
{
  const CellStartGate *gate = &cell->start_gate;

  return (MuxCancelAge){ .age_ms = cell->time.now_ms - gate->known_until_ms,
                         .feed_ms = feed_delay_ms (cell),
                         .order_ms = order_delay_ms (cell) };
}

bool
cell_starts_are_allowed (const MuxCell *cell)
{
  MuxCancelAge age = known (cell);

  return mux_cancel_allows_start (&age);
}

int64_t
cell_cancel_stop_ms (const MuxCell *cell)
{
  MuxCancelAge age = known (cell);

  return mux_cancel_stop_ms (&age);
}

uint32_t
cell_jobs_feed_wait_ms (const MuxCell *cell, uint32_t usual_ms)
{
  MuxCancelAge age = known (cell);
  int64_t order_ms = mux_delay_ms (&cell->start_gate.order);

  /* Not after lost calls: with two workers down the store would be asked four
   * times a second until they are back. */
  if (age.feed_ms + order_ms > SLOW_MS)
    usual_ms = SHORT_WAIT_MS;
  if (age.age_ms <= YOUNG_MS)
    return usual_ms;
  return age.age_ms < (int64_t) usual_ms ? usual_ms - (uint32_t) age.age_ms : 0;
}

int64_t
cell_starts_held_ms (const MuxCell *cell)
{
  const CellStartGate *gate = &cell->start_gate;

  return cell->role == CELL_PLANNING && gate->held
                 && cell->store_failing_since_ms == 0
             ? cell->time.now_ms - gate->held_since_ms
             : 0;
}

void
cell_start_gate_tick (MuxCell *cell)
{
  CellStartGate *gate = &cell->start_gate;
  MuxCancelAge age = known (cell);
  bool held = !mux_cancel_allows_start (&age);

  mux_observe (cell->options.counters, MUX_HIST_CANCEL_AGE, age.age_ms);
  if (held == gate->held)
    return;
  gate->held = held;
  if (held)
    gate->held_since_ms = cell->time.now_ms;
  else
    cell->replan = true;
  mux_count (cell->options.counters, MUX_COUNT_STARTS_HELD, held);
  cell_log (cell, held ? "starts_held" : "starts_resumed",
            "{s:I, s:I, s:I, s:I}", "cancels_known_ms", (json_int_t) age.age_ms,
            "feed_ms", (json_int_t) age.feed_ms, "order_ms",
            (json_int_t) age.order_ms, "held_ms",
            (json_int_t) (held ? 0 : cell->time.now_ms - gate->held_since_ms));
}
