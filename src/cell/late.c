#include "cell_private.h"

/*
 * Overload of the planner.  A late planner is one whose events wait for long
 * before they are processed: it works off the jobs accepted so far, and new
 * ones are refused meanwhile.
 */

/* Event delay above which new jobs are refused.  A job waits for it four times
 * before it starts: for its row, the reply of the policy service, the record
 * of that, and the start. */
#define ACCEPT_LATE_MAX_MS 500
/* Contact with the planner is no older than this even if it is by the heartbeat
 * in the store alone. */
#define PLANNER_CONTACT_MS 1500

/* The mean latency is over this many calls at most, */
#define LATENCY_SAMPLES_MAX 64
/* is not used below this many, */
#define LATENCY_SAMPLES_MIN 8
/* and after this long and the mean without a reply: calls of one moment that
 * wait for a second are answered together, as late as the last ones. */
#define LATENCY_EXPIRY_MS 1500
#define US_PER_MS 1000

static bool
is_expired (const MuxCell *cell)
{
  const CellReplyLatency *answers = &cell->reply_latency;

  return cell->time.now_ms - answers->last_ms
         > LATENCY_EXPIRY_MS + answers->mean_us / US_PER_MS;
}

void
cell_reply_latency_record (MuxCell *cell, const CellPending *pending)
{
  CellReplyLatency *answers = &cell->reply_latency;
  int64_t took_ms
      = cell->time.processed_ms - pending->sent_ms - pending->wait_ms;

  /* Replies to proxied calls may wait on their way, where this daemon does not
   * see it.  A call made by this daemon itself is only late if its worker is.
   * The latency of a reply that came before its wait was over is not known. */
  if (!pending->proxied || took_ms < 0)
    return;
  if (is_expired (cell))
    answers->count = 0;
  if (answers->count < LATENCY_SAMPLES_MAX)
    answers->count++;
  if (answers->count == 1)
    answers->mean_us = 0;
  answers->last_ms = cell->time.now_ms;
  answers->mean_us
      += (took_ms * US_PER_MS - answers->mean_us) / (int64_t) answers->count;
}

int64_t
cell_reply_latency_ms (const MuxCell *cell)
{
  const CellReplyLatency *answers = &cell->reply_latency;

  if (cell->role != CELL_PLANNING || !cell_uses_proxies (cell)
      || answers->count < LATENCY_SAMPLES_MIN || is_expired (cell))
    return 0;
  return answers->mean_us / US_PER_MS;
}

/* The larger of the delay of events here and the latency of proxied calls,
 * which also grows when connections are not read in time.  The latter does not
 * count while all pools are full: jobs wait for room then. */
int64_t
cell_late_ms (const MuxCell *cell)
{
  int64_t late_ms = cell->time.now_ms - cell->time.processed_ms;
  int64_t answers_ms = cell->pool_has_room ? cell_reply_latency_ms (cell) : 0;

  if (late_ms < answers_ms)
    late_ms = answers_ms;
  return late_ms > 0 ? late_ms : 0;
}

/* A job that would wait until the planner knows all cancels again is refused
 * like one that would wait for the planner's processor. */
int64_t
cell_reported_late_ms (const MuxCell *cell)
{
  int64_t late_ms = cell_late_ms (cell);
  int64_t held_ms = cell_starts_held_ms (cell);

  return late_ms > held_ms ? late_ms : held_ms;
}

int64_t
cell_planner_late_ms (const MuxCell *cell)
{
  if (cell->role == CELL_PLANNING)
    return cell_reported_late_ms (cell);
  return cell->time.now_ms - cell->planner_last_contact_ms < PLANNER_CONTACT_MS
             ? cell->planner_late_ms
             : 0;
}

/*
 * Guards against congestion collapse: beyond the capacity of the planner's
 * processor each further job delays all others until none starts in time, and
 * callers without a definite response add retries to the load.  The cause of
 * the delay does not matter: too many jobs, workers or calls.
 */
bool
cell_accepts_jobs (const MuxCell *cell)
{
  return cell_planner_late_ms (cell) <= ACCEPT_LATE_MAX_MS;
}

void
cell_late_tick (MuxCell *cell)
{
  bool late = !cell_accepts_jobs (cell);

  mux_observe (cell->options.counters, MUX_HIST_PLANNER_LATE,
               cell_late_ms (cell));
  if (late != cell->late)
    cell_log (cell, late ? "planner_late" : "planner_in_time",
              "{s:I, s:i, s:i}", "late_ms",
              (json_int_t) cell_reported_late_ms (cell), "workers",
              (int) HASH_COUNT (cell->workers), "jobs",
              (int) HASH_COUNT (cell->jobs));
  cell->late = late;
}
