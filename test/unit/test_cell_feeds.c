#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* What a daemon hears of the store's tables, and how soon, around short silent
 * outages of the store. */

#define CELLS 3
#define WORKERS 2
/* Let the daemons settle; a feed's call may be at any point of its wait. */
#define SETTLE_MS 3000
#define PHASES_MS 5000
#define PHASE_MS 350
#define OUTAGE_MS 1500
/* The operators' and callers' next word after the store's return. */
#define NEXT_MS 500
/* After the end of an outage a daemon is held to all bounds again. */
#define CONTACT_MS 3000

static void
all_stores (World *world, WorldFault fault)
{
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].store = fault;
}

static void
silent_for (World *world, int64_t ms)
{
  all_stores (world, WORLD_SILENT);
  world_run (world, ms);
  all_stores (world, WORLD_SERVES);
}

static void
assert_config (const World *world, uint64_t version)
{
  for (uint32_t i = 0; i < CELLS; i++)
    assert_int_equal (world->cell[i].config_version, version);
}

/*
 * Operators add a queue and its callers are told for seconds that there is no
 * such queue.  A change was put in force, and some ms later the store went
 * silent for 1.5 s: the call that waits for the next change was lost with its
 * connection.  The store served again, the change after was written, and no
 * daemon heard of it: the lost call was given up only 6.5 s after it was sent,
 * whatever the daemon's other calls were answered meanwhile.
 */
static void
test_change_behind_a_short_outage_is_in_force (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < PHASES_MS; phase_ms += PHASE_MS)
    {
      World *world = world_new (CELLS, WORKERS);

      world_run (world, SETTLE_MS + phase_ms);
      world_change_config (world);
      world_run (world, 50);
      assert_config (world, 2);
      silent_for (world, OUTAGE_MS);
      world_run (world, NEXT_MS);
      world_change_config (world);
      world_run (world, CONTACT_MS - NEXT_MS);
      assert_config (world, 3);
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_change_behind_a_short_outage_is_in_force),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
