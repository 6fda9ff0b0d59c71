#include "cell_private.h"

/*
 * How long a claim is valid without renewal, and so how long a successor has
 * to wait.
 *
 * A planner whose store calls fail can't tell an outage of the store from a
 * partition that leaves the store to the other daemons, and to a successor. It
 * keeps its claim for the longer time only while each daemon that has sent it
 * hellos lately reports that the store fails as well. A daemon whose last
 * hellos reported otherwise, and were acknowledged, knows that this planner
 * did not keep it.
 */

/* Two heartbeats and their replies from a slow store fit into it. */
#define CLAIM_LEASE_MS 2500
/* How long a member's report counts; three of its hellos fit. */
#define REPORT_VALID_MS 800
/* Members count whose last hello came no earlier than this before the last
 * renewal. */
#define MEMBER_WINDOW_MS 3000
/* The same less the drift between two daemons' clocks. */
#define MEMBER_WINDOW_MIN_MS 2800

static bool
store_fails_all_members (const MuxCell *cell)
{
  const CellMember *member;
  const CellMember *next;

  HASH_ITER (hh, cell->members, member, next)
  {
    if (member->incarnation == cell->options.incarnation
        || member->last_contact_ms < cell->claim_renewed_ms - MEMBER_WINDOW_MS)
      continue;
    if (member->store_available
        || cell->time.now_ms - member->last_contact_ms > REPORT_VALID_MS)
      return false;
  }
  return true;
}

bool
cell_claim_is_valid (const MuxCell *cell)
{
  int64_t age_ms = cell->time.now_ms - cell->claim_renewed_ms;

  if (cell->claim_renewed_ms == 0 || age_ms >= CELL_CLAIM_LEASE_MAX_MS)
    return false;
  return age_ms < CLAIM_LEASE_MS || store_fails_all_members (cell);
}

uint64_t
cell_hello_next (MuxCell *cell, bool store_available)
{
  CellHellos *hellos = &cell->hellos;
  uint64_t number = ++hellos->number;

  hellos->sent_ms[number % CELL_HELLOS] = cell->time.now_ms;
  if (!store_available)
    hellos->failing_number = number;
  return number;
}

/* All hellos that reported the store as failing were sent before one that the
 * planner has acknowledged: older ones no longer count. */
static bool
store_reported_served (const CellHellos *hellos)
{
  return hellos->acked_number > hellos->failing_number;
}

/*
 * The planner's claim was possibly extended until a moment ago if this daemon
 * had reported the store as failing, or its last hello was so old that it did
 * not count. A successor must not assume the short time then.
 */
void
cell_hello_acked (MuxCell *cell, uint64_t number)
{
  CellHellos *hellos = &cell->hellos;
  int64_t now_ms = cell->time.now_ms;

  if (number <= hellos->acked_number || number > hellos->number
      || hellos->number - number >= CELL_HELLOS)
    return;
  if (!store_reported_served (hellos)
      || now_ms - hellos->acked_sent_ms > MEMBER_WINDOW_MIN_MS)
    hellos->served_since_ms = now_ms;
  hellos->acked_number = number;
  hellos->acked_sent_ms = hellos->sent_ms[number % CELL_HELLOS];
  hellos->round_trip_ms = cell->time.processed_ms - hellos->acked_sent_ms;
}

/* A hello whose reply is still awaited counts with its age, if that is more. */
uint32_t
cell_hello_round_trip_ms (const MuxCell *cell)
{
  const CellHellos *hellos = &cell->hellos;
  uint64_t next = hellos->acked_number + 1;
  int64_t round_trip_ms = hellos->round_trip_ms;
  int64_t waits_ms = 0;

  if (hellos->acked_number == 0)
    return 0;
  if (hellos->number - hellos->acked_number >= CELL_HELLOS)
    next = hellos->number - CELL_HELLOS + 1;
  if (next <= hellos->number)
    waits_ms = cell->time.processed_ms - hellos->sent_ms[next % CELL_HELLOS];
  if (waits_ms > round_trip_ms)
    round_trip_ms = waits_ms;
  return round_trip_ms > 0 ? (uint32_t) round_trip_ms : 1;
}

bool
cell_claim_lease_was_short (const MuxCell *cell)
{
  const CellHellos *hellos = &cell->hellos;

  return store_reported_served (hellos)
         && cell->claim_read_ms - hellos->acked_sent_ms <= MEMBER_WINDOW_MIN_MS;
}

int64_t
cell_claim_lease_until_ms (const MuxCell *cell)
{
  int64_t short_ms = cell->claim_read_ms + CLAIM_LEASE_MS;
  int64_t long_ms = cell->claim_read_ms + CELL_CLAIM_LEASE_MAX_MS;
  int64_t served_ms = cell->hellos.served_since_ms;

  if (!cell_claim_lease_was_short (cell) || served_ms > long_ms)
    return long_ms;
  return served_ms > short_ms ? served_ms : short_ms;
}
