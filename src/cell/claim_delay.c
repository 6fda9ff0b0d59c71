#include "cell_private.h"

#include <string.h>

/* How long a daemon lets others claim first. */

/* Claims are spread over this time, so that the other daemons see the first
 * one before they try. */
#define JITTER_MS 250

bool
cell_is_successor (const MuxCell *cell)
{
  return cell->claim.incarnation == 0 && !cell->claim.unreadable
         && strcmp (cell->claim.successor, cell->options.name) == 0;
}

int64_t
cell_ability_delay_ms (const MuxCell *cell)
{
  return cell_is_successor (cell)
             ? 0
             : mux_ability_claim_delay_ms (cell_own_ability_milli (cell));
}

/* The jitter is a hash of name and claim version, so that it is not always
 * the same daemon that claims first. */
int64_t
cell_claim_delay_ms (const MuxCell *cell)
{
  return cell_ability_delay_ms (cell)
         + (int64_t) (mux_hash_name (cell->options.name,
                                     cell->options.seed ^ cell->claim.version)
                      % JITTER_MS);
}
