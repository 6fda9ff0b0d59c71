#include "support/proof.h"

#include <string.h>

#define GIVE_UP_MS 8000

/* Steps until a row of a key is in the table. */
static void
until_row (Scenario *s)
{
  int64_t until_ms = s->net->now_ms + 5000;
  const MuxRow *row = NULL;

  while ((row == NULL || strncmp (row->key, "once/", 5) != 0)
         && s->net->now_ms < until_ms)
    {
      fake_net_next (s->net);
      row = fake_table_from (&s->net->table, "once/");
    }
  proof_expect (s, row != NULL && strncmp (row->key, "once/", 5) == 0,
                "no row was written");
}

/* A voucher is redeemed at two counters in two data centres at once, with
 * no connection between the two.  Each daemon uses its own workers; only
 * the row, written on condition that none exists, lets one of them start. */
static void
once_both_at_once (Scenario *s)
{
  uint32_t tag = scenario_work (s, SCENARIO_ONCE, true, 0, 500);
  uint32_t call = s->call_count;

  s->net->table.ignore_conditions = s->mechanism_off;
  scenario_cut (s, 0, 1, true);
  scenario_submit (s, 0, tag, GIVE_UP_MS);
  scenario_submit (s, 1, tag, GIVE_UP_MS);
  scenario_run (s, GIVE_UP_MS);
  proof_expect_all (s, call, 2, MUX_OUTCOME_DONE);
  scenario_heal_and_check (s, 30000);
}

/* A redemption is answered; its daemon dies; the caller, which lost the
 * answer, sends the same key through another data centre.  The row leads to
 * the worker, which still has the answer. */
static void
once_later (Scenario *s)
{
  uint32_t tag = scenario_work (s, SCENARIO_ONCE, true, 0, 500);

  s->net->table.ignore_conditions = s->mechanism_off;
  scenario_submit (s, 0, tag, GIVE_UP_MS);
  scenario_run (s, 3000);
  fake_net_kill (s->net, 0);
  scenario_run (s, 30000);
  scenario_submit (s, 1, tag, GIVE_UP_MS);
  scenario_run (s, GIVE_UP_MS);
  proof_expect_all (s, s->call_count - 1, 1, MUX_OUTCOME_DONE);
  scenario_heal_and_check (s, 30000);
}

/* The row is written and its home freezes before the start is sent.  The
 * key arrives again elsewhere and, since the attempt was never started, a
 * second one runs.  Then the first home resumes and sends the first start.
 * The tombstone that the second home left at the worker refuses it. */
static void
once_home_frozen (Scenario *s)
{
  uint32_t tag = scenario_work (s, SCENARIO_ONCE, true, 0, 300);

  s->workers[0].ignores_forget = s->workers[1].ignores_forget
      = s->mechanism_off;
  s->workers[0].ignores_not_after = s->workers[1].ignores_not_after = true;
  scenario_submit (s, 0, tag, 20000);
  until_row (s);
  fake_net_freeze (s->net, 0, 2500);
  scenario_run (s, 50);
  scenario_submit (s, 1, tag, 10000);
  scenario_run (s, 20000);
  proof_expect_all (s, s->call_count - 2, 2, MUX_OUTCOME_DONE);
  scenario_heal_and_check (s, 30000);
}

/* The home is killed between its row and its start, or between its start
 * and its answer.  The same key through another daemon gets one run's
 * answer. */
static void
once_home_killed (Scenario *s)
{
  for (uint32_t i = 0; i < 2; i++)
    {
      uint32_t tag = scenario_work (s, SCENARIO_ONCE, true, 0, 3000);

      s->net->table.ignore_conditions = s->mechanism_off;
      scenario_submit (s, 0, tag, 20000);
      if (i == 0)
        until_row (s);
      else
        scenario_until_running (s, tag);
      fake_net_kill (s->net, 0);
      scenario_run (s, 20);
      scenario_submit (s, 1, tag, 20000);
      scenario_run (s, 20000);
      proof_expect_all (s, s->call_count - 1, 1, MUX_OUTCOME_DONE);
      proof_expect (s, s->works[tag].runs == 1, "it did not run once");
      fake_net_start (s->net, 0);
      scenario_run (s, 12000);
    }
  scenario_heal_and_check (s, 30000);
}

/* The response to a write is lost: the row may exist, be absent, or appear
 * later.  Its home reads it back before it starts anything, so that the
 * callers get one run's answer or, correctly, "not run". */
static void
once_write_lost (Scenario *s)
{
  uint32_t tags[8];

  s->net->lost_ppm = 1000000;
  for (uint32_t i = 0; i < 8; i++)
    {
      tags[i] = scenario_work (s, SCENARIO_ONCE, true, 0, 300);
      scenario_submit (s, i % 2, tags[i], GIVE_UP_MS);
    }
  scenario_run (s, 3000);
  s->net->lost_ppm = 0;
  for (uint32_t i = 0; i < 8; i++)
    scenario_submit (s, (i + 1) % 2, tags[i], GIVE_UP_MS);
  scenario_run (s, 10000);
  proof_expect_all (s, s->call_count - 8, 8, MUX_OUTCOME_DONE);
  scenario_heal_and_check (s, 30000);
}

/* A caller times out while its row is being written and retries: the second
 * submission is granted another worker.  The response to the first write
 * must not start it there, or the row leads the next submission to a worker
 * where nothing ran, and the voucher is redeemed twice. */
static void
once_given_up_in_write (Scenario *s)
{
  for (uint32_t i = 0; i < 2; i++)
    {
      uint32_t tag = scenario_work (s, SCENARIO_ONCE, true, 0, 300);

      s->net->table_slow_ms = 700;
      scenario_submit (s, 0, tag, 40);
      scenario_run (s, 50);
      standin_worker_set_leaving (s->workers[i * 2].logic, true);
      s->workers[i * 2].state = MUX_INSTANCE_LEAVING;
      scenario_lists (s);
      scenario_submit (s, 0, tag, GIVE_UP_MS);
      s->net->table_slow_ms = 0;
      scenario_run (s, 3000);
      s->workers[i * 2].state = MUX_INSTANCE_LIVE;
      standin_worker_set_leaving (s->workers[i * 2].logic, false);
      scenario_submit (s, 1, tag, GIVE_UP_MS);
      scenario_run (s, GIVE_UP_MS);
      proof_expect_all (s, s->call_count - 2, 2, MUX_OUTCOME_DONE);
    }
  scenario_heal_and_check (s, 30000);
}

/* The response to a write is lost and its daemon is killed before it can
 * read the row back.  The write may take effect after its process has
 * ended. */
static void
write_lost_and_killed (Scenario *s)
{
  uint32_t tag = scenario_work (s, SCENARIO_ONCE, true, 0, 300);

  s->net->lost_ppm = 1000000;
  scenario_submit (s, 0, tag, GIVE_UP_MS);
  scenario_run (s, 30);
  fake_net_kill (s->net, 0);
  s->net->lost_ppm = 0;
  scenario_submit (s, 1, tag, 20000);
  scenario_run (s, 20000);
  proof_expect_all (s, s->call_count - 1, 1, MUX_OUTCOME_DONE);
  scenario_heal_and_check (s, 30000);
}

/* A redemption runs, its answer is lost with the connection, and the worker
 * restarts: it can no longer be found out whether it ran.  It must not run
 * again, and the caller is answered "unknown". */
static void
once_worker_restarted (Scenario *s)
{
  uint32_t tag = scenario_work (s, SCENARIO_ONCE, true, 0, 300);

  s->workers[0].ignores_incarnation = s->mechanism_off;
  s->workers[0].silent = false;
  scenario_submit (s, 0, tag, 20000);
  scenario_until_running (s, tag);
  s->workers[0].silent = true;
  scenario_run (s, 2000);
  scenario_restart_worker (s, 0);
  s->workers[0].silent = false;
  scenario_run (s, 20000);
  proof_expect_all (s, s->call_count - 1, 1, MUX_OUTCOME_UNKNOWN);
  scenario_heal_and_check (s, 30000);
}

/* A start is delayed in transit and taken for lost; its attempt is
 * superseded by a tombstone at the worker and another one runs.  When the
 * first arrives after all it is refused by the tombstone. */
static void
once_start_overtaken (Scenario *s)
{
  uint32_t tag = scenario_work (s, SCENARIO_BATCH, true, 1, 300);

  s->workers[0].ignores_forget = s->mechanism_off;
  s->workers[0].ignores_not_after = true;
  s->workers[0].late_starts = 1;
  s->workers[0].late_ms = 5000;
  scenario_submit (s, 0, tag, 1500);
  scenario_run (s, 1000);
  scenario_heal_and_check (s, 30000);
}

/* The caller retries with the same key long after the worker has dropped
 * its record of the run: that the worker has none no longer proves
 * anything. */
static void
once_worker_forgot (Scenario *s)
{
  uint32_t tag = scenario_work (s, SCENARIO_ONCE, true, 0, 300);

  scenario_submit (s, 0, tag, GIVE_UP_MS);
  scenario_run (s, 1500000);
  scenario_submit (s, 1, tag, GIVE_UP_MS);
  scenario_heal_and_check (s, 30000);
}

/* No worker has room before the deadline: the row is read, none exists, the
 * caller is answered "not run", and it never runs.  With the store down the
 * row can't be read: a first submission may have run, so nobody is told
 * "not run".  One that did run and whose answer was lost is retried during
 * the outage. */
static void
not_run_is_true (Scenario *s)
{
  uint32_t tag = scenario_work (s, SCENARIO_ONCE, true, 0, 100);

  scenario_submit (s, 0, tag, GIVE_UP_MS);
  scenario_run (s, 1000);
  proof_fill (s, 0, SCENARIO_ONCE, 10, 2500);
  scenario_run (s, 50);
  for (uint32_t i = 0; i < 4; i++)
    scenario_request (s, i % 2, SCENARIO_ONCE, 100, 1000);
  scenario_run (s, 1500);
  proof_expect_all (s, s->call_count - 4, 4, MUX_OUTCOME_NOT_RUN);
  s->store_fails = s->net->table.down = true;
  scenario_run (s, 1500);
  for (uint32_t i = 0; i < 4; i++)
    scenario_request (s, i % 2, SCENARIO_ONCE, 100, 1000);
  scenario_submit (s, 1, tag, 1000);
  scenario_run (s, 2000);
  proof_expect_all (s, s->call_count - 5, 5, MUX_OUTCOME_UNKNOWN);
  scenario_heal_and_check (s, 30000);
}

/* A settlement runs for longer than keys are kept.  If its row's age were
 * counted from its submission, the row would be swept as soon as it ends;
 * its caller retries with the key, and all of it would run a second time
 * once the worker has dropped its record, too. */
static void
long_job_remembered (Scenario *s)
{
  uint32_t tag = scenario_work (s, SCENARIO_BATCH, true, 1, 700000);

  s->sends_time = true;
  scenario_submit (s, 0, tag, 10000);
  scenario_run (s, 710000);
  for (uint32_t i = 0; i < 4; i++)
    {
      scenario_call (s, 0, &(MuxCoreRequest){ .verb = MUX_CORE_STATUS });
      scenario_run (s, 65000);
    }
  scenario_restart_worker (s, 0);
  scenario_run (s, 10000);
  scenario_submit (s, 0, tag, 10000);
  scenario_run (s, 5000);
  proof_expect (s, s->run_count == 1, "the job did not run once");
}

static const Proof proofs[] = {
  { "once_both_at_once", once_both_at_once, true, 2, 2, 2 },
  { "once_later", once_later, true, 2, 2, 2 },
  { "once_home_frozen", once_home_frozen, true, 2, 2, 2 },
  { "once_home_killed", once_home_killed, true, 2, 2, 2 },
  { "once_write_lost", once_write_lost, false, 2, 2, 1 },
  { "once_given_up_in_write", once_given_up_in_write, false, 2, 4, 2 },
  { "write_lost_and_killed", write_lost_and_killed, false, 2, 2, 2 },
  { "once_worker_restarted", once_worker_restarted, true, 1, 1, 1 },
  { "once_start_overtaken", once_start_overtaken, true, 1, 1, 1 },
  { "once_worker_forgot", once_worker_forgot, false, 2, 1, 1 },
  { "long_job_remembered", long_job_remembered, false, 1, 1, 1 },
  { "not_run_is_true", not_run_is_true, false, 2, 1, 1 },
};

int
main (void)
{
  return proof_main (proofs, sizeof proofs / sizeof proofs[0]);
}
