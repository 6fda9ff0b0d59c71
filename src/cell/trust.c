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
        || member->heard_ms < cell->trusted_ms - MEMBER_MS)
      continue;
    if (member->table_ok || cell->time.now_ms - member->heard_ms > SAID_MS)
      return false;
  }
  return true;
}

bool
cell_claim_is_trusted (const MuxCell *cell)
{
  int64_t age_ms = cell->time.now_ms - cell->trusted_ms;

  if (cell->trusted_ms == 0 || age_ms >= CELL_TRUST_MS)
    return false;
  return age_ms < TRUST_MS || store_fails_all (cell);
}

uint64_t
cell_greeting_next (MuxCell *cell, bool table_ok)
{
  CellGreetings *greetings = &cell->greetings;
  uint64_t number = ++greetings->number;

  greetings->sent_ms[number % CELL_GREETINGS] = cell->time.now_ms;
  if (!table_ok)
    greetings->failing_number = number;
  return number;
}

/* Greetings that said that the store fails were all overtaken by one that the
 * planner has taken: an older one counts no more. */
static bool
says_served (const CellGreetings *greetings)
{
  return greetings->taken_number > greetings->failing_number;
}

/*
 * Guards against a successor that takes the trust for short though the planner
 * went on for long until a moment ago: while this daemon said that the store
 * fails it, or had not been heard for so long that it did not count.
 */
void
cell_greeting_taken (MuxCell *cell, uint64_t number)
{
  CellGreetings *greetings = &cell->greetings;
  int64_t now_ms = cell->time.now_ms;

  if (number <= greetings->taken_number || number > greetings->number
      || greetings->number - number >= CELL_GREETINGS)
    return;
  if (!says_served (greetings)
      || now_ms - greetings->taken_sent_ms > MEMBER_SURELY_MS)
    greetings->served_ms = now_ms;
  greetings->taken_number = number;
  greetings->taken_sent_ms = greetings->sent_ms[number % CELL_GREETINGS];
}

bool
cell_trust_was_short (const MuxCell *cell)
{
  const CellGreetings *greetings = &cell->greetings;

  return says_served (greetings)
         && cell->sign_seen_ms - greetings->taken_sent_ms <= MEMBER_SURELY_MS;
}

int64_t
cell_trust_until_ms (const MuxCell *cell)
{
  int64_t short_ms = cell->sign_seen_ms + TRUST_MS;
  int64_t long_ms = cell->sign_seen_ms + CELL_TRUST_MS;
  int64_t served_ms = cell->greetings.served_ms;

  if (!cell_trust_was_short (cell) || served_ms > long_ms)
    return long_ms;
  return served_ms > short_ms ? served_ms : short_ms;
}
