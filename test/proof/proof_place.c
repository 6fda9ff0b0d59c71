#include "support/proof.h"

#include <string.h>

/* A daemon is frozen past its lease; others claim its worker and fill it.
 * It resumes, still believes that it holds the worker, and grants room by
 * its stale accounting.  Tasks would crash for lack of memory.  The worker
 * refuses starts of an older claim. */
static void
two_owners (Scenario *s)
{
  uint32_t old = s->owner[0];

  s->workers[0].ignores_epoch = s->mechanism_off;
  fake_net_freeze (s->net, old, 9000);
  scenario_run (s, 8500);
  proof_expect (s, s->owner[0] != old, "nobody took the worker over");
  proof_fill (s, s->owner[0], SCENARIO_MANY, 4, 6000);
  scenario_run (s, 300);
  fake_net_freeze (s->net, old, 0);
  proof_fill (s, old, SCENARIO_MANY, 4, 6000);
  scenario_heal_and_check (s, 30000);
}

/* The same while the store is down: only the worker can tell the two owners
 * apart, and the requests go on. */
static void
frozen_store_down (Scenario *s)
{
  s->store_fails = true;
  s->net->table.down = true;
  scenario_run (s, 3000);
  two_owners (s);
}

/* A start is delayed in transit for longer than its grant is valid.  Its
 * room is given to others; then it arrives after all and would exceed the
 * capacity.  The worker refuses it by the grant's last moment, on its own
 * clock. */
static void
late_start (Scenario *s)
{
  s->workers[0].ignores_not_after = s->mechanism_off;
  s->workers[0].late_starts = 1;
  s->workers[0].late_ms = 6000;
  proof_fill (s, 0, SCENARIO_MANY, 1, 8000);
  scenario_run (s, 5000);
  proof_fill (s, 0, SCENARIO_MANY, 4, 8000);
  scenario_heal_and_check (s, 30000);
}

/* A worker restarts while a start is in transit to its previous
 * incarnation.  In the new one, filled by others, no room is booked for it.
 * The worker refuses calls meant for another incarnation, and starts under
 * a claim of that one. */
static void
restart_start_on_way (Scenario *s)
{
  s->workers[0].ignores_incarnation = s->mechanism_off;
  s->workers[0].ignores_epoch = s->mechanism_off;
  s->workers[0].late_starts = 1;
  s->workers[0].late_ms = 2900;
  proof_fill (s, 0, SCENARIO_MANY, 1, 8000);
  scenario_run (s, 100);
  scenario_restart_worker (s, 0);
  scenario_run (s, 2000);
  proof_fill (s, 0, SCENARIO_MANY, 4, 8000);
  scenario_heal_and_check (s, 30000);
}

/* Two submissions of one key at daemons of one data centre run one task:
 * both request room under the same id.  When the second one times out, its
 * release must not free the room of the first, whose start is in transit,
 * as others would fill that room. */
static void
second_asker_gives_up (Scenario *s)
{
  uint32_t tag = scenario_work (s, SCENARIO_MANY, true, 0, 5000);
  uint32_t home = s->owner[0];

  s->net->table_slow_ms = 300;
  scenario_submit (s, home, tag, 9000);
  scenario_submit (s, 1 - home, tag, 60);
  scenario_run (s, 100);
  s->net->table_slow_ms = 0;
  proof_fill (s, home, SCENARIO_MANY, 4, 5000);
  scenario_heal_and_check (s, 30000);
}

/* A daemon is frozen for long and resumes.  From its side all others have
 * been silent for as long; if it declared them dead, it would claim every
 * worker, and every start that they have in transit would be refused.
 * Links to it work again only after a second.  Its own pause is no evidence
 * of their death, so it does not claim workers for which others come first. */
static void
wakes_quietly (Scenario *s)
{
  uint32_t old = s->owner[0];
  uint32_t owner[SCENARIO_WORKERS_MAX];
  uint32_t claims[SCENARIO_WORKERS_MAX];

  memcpy (owner, s->owner, sizeof owner);
  fake_net_freeze (s->net, old, 9000);
  for (uint32_t i = 0; i < s->net->node_count; i++)
    s->net->cut[i][old] = true;
  scenario_run (s, 8990);
  memcpy (claims, s->claims, sizeof claims);
  scenario_run (s, 1000);
  for (uint32_t i = 0; i < s->worker_count; i++)
    proof_expect (s, owner[i] == old || s->claims[i] == claims[i],
                  "it claimed a worker of others");
  scenario_heal_and_check (s, 20000);
}

static const Proof proofs[] = {
  { "two_owners", two_owners, true, 3, 1, 1 },
  { "frozen_store_down", frozen_store_down, true, 3, 1, 1 },
  { "late_start", late_start, true, 1, 1, 1 },
  { "restart_start_on_way", restart_start_on_way, true, 1, 1, 1 },
  { "wakes_quietly", wakes_quietly, false, 3, 4, 1 },
  { "second_asker_gives_up", second_asker_gives_up, false, 2, 1, 1 },
};

int
main (void)
{
  return proof_main (proofs, sizeof proofs / sizeof proofs[0]);
}
