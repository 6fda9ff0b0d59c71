#include "cell_private.h"

/*
 * How long a planner orders without a proof of its claim, and so how long its
 * successor has to wait.
 *
 * A planner whose store fails it can't tell an outage from a cut that leaves
 * the store to the others, and to a successor.  It goes on for long only while
 * each daemon that has greeted it lately says that the store fails it, too.  A
 * daemon whose last greetings said otherwise, and were taken, knows that this
 * planner did not.
 */

/* Two signs of life and their answers from a slow store fit into it. */
#define TRUST_MS 2500
/* What a member says counts for so long: three of its greetings fit. */
#define SAID_MS 800
/* Members count that greeted so long before the last proof, or later. */
#define MEMBER_MS 3000
/* The same on a clock that differs from the planner's. */
#define MEMBER_SURELY_MS 2800

static bool
store_fails_all (const MuxCell *cell)
{
  const CellMember *member;
  const CellMember *next;

  HASH_ITER (hh, cell->members, member, next)
  {
    if (member->incarnation == cell->options.incarnation
        || member->last_contact_ms < cell->claim_renewed_ms - MEMBER_MS)
      continue;
    if (member->store_available
        || cell->time.now_ms - member->last_contact_ms > SAID_MS)
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
  return age_ms < TRUST_MS || store_fails_all (cell);
}

uint64_t
cell_hello_next (MuxCell *cell, bool table_ok)
{
  CellHellos *greetings = &cell->hellos;
  uint64_t number = ++greetings->number;

  greetings->sent_ms[number % CELL_HELLOS] = cell->time.now_ms;
  if (!table_ok)
    greetings->failing_number = number;
  return number;
}

/* Greetings that said that the store fails were all overtaken by one that the
 * planner has taken: an older one counts no more. */
static bool
says_served (const CellHellos *greetings)
{
  return greetings->acked_number > greetings->failing_number;
}

/*
 * Guards against a successor that takes the trust for short though the planner
 * went on for long until a moment ago: while this daemon said that the store
 * fails it, or had not been heard for so long that it did not count.
 */
void
cell_hello_acked (MuxCell *cell, uint64_t number)
{
  CellHellos *greetings = &cell->hellos;
  int64_t now_ms = cell->time.now_ms;

  if (number <= greetings->acked_number || number > greetings->number
      || greetings->number - number >= CELL_HELLOS)
    return;
  if (!says_served (greetings)
      || now_ms - greetings->acked_sent_ms > MEMBER_SURELY_MS)
    greetings->served_since_ms = now_ms;
  greetings->acked_number = number;
  greetings->acked_sent_ms = greetings->sent_ms[number % CELL_HELLOS];
}

bool
cell_claim_lease_was_short (const MuxCell *cell)
{
  const CellHellos *greetings = &cell->hellos;

  return says_served (greetings)
         && cell->claim_read_ms - greetings->acked_sent_ms <= MEMBER_SURELY_MS;
}

int64_t
cell_claim_lease_until_ms (const MuxCell *cell)
{
  int64_t short_ms = cell->claim_read_ms + TRUST_MS;
  int64_t long_ms = cell->claim_read_ms + CELL_CLAIM_LEASE_MAX_MS;
  int64_t served_ms = cell->hellos.served_since_ms;

  if (!cell_claim_lease_was_short (cell) || served_ms > long_ms)
    return long_ms;
  return served_ms > short_ms ? served_ms : short_ms;
}
