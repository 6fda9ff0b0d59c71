#include "support/proof.h"

#include <stdlib.h>
#include <string.h>

#define GIVE_UP_MS 10000
#define LEAVING_MS 2000

static uint32_t
starts_seen (const Scenario *s, uint32_t worker)
{
  return s->workers[worker].starts_seen;
}

/* One request every 50 ms at each daemon that runs. */
static uint32_t
load (Scenario *s, int64_t ms, ScenarioClass class_id)
{
  int64_t until_ms = s->net->now_ms + ms;
  uint32_t first = s->call_count;

  while (s->net->now_ms < until_ms)
    {
      for (uint32_t i = 0; i < s->net->node_count; i++)
        if (s->net->nodes[i].core != NULL)
          scenario_request (s, i, class_id, 100, GIVE_UP_MS);
      scenario_run (s, 50);
    }
  return first;
}

static uint32_t
count_told (const Scenario *s, uint32_t first, MuxOutcome outcome)
{
  uint32_t count = 0;

  for (uint32_t i = first; i < s->call_count; i++)
    count += scenario_has_outcome (s, i, outcome);
  return count;
}

/* An instance is to be replaced: the platform lists it as leaving.  A
 * request started there afterwards would be cut off.  From 2 s after the
 * listing no daemon sends a start there. */
static void
leaving_worker (Scenario *s)
{
  uint32_t seen;

  load (s, 1000, SCENARIO_MANY);
  s->workers[0].state = MUX_INSTANCE_LEAVING;
  s->lists_withheld = s->mechanism_off;
  load (s, LEAVING_MS, SCENARIO_MANY);
  seen = starts_seen (s, 0);
  load (s, 3000, SCENARIO_MANY);
  proof_expect (s, starts_seen (s, 0) == seen, "a leaving worker got a start");
  scenario_heal_and_check (s, 20000);
}

/* The worker leaves while the links to it are silent: it can't report that
 * itself, and starts sent to it get no answer.  Nothing new goes there
 * after 2 s, also once the links work again, and every caller gets an
 * answer. */
static void
leaving_and_silent (Scenario *s)
{
  uint32_t seen;

  load (s, 500, SCENARIO_MANY);
  memset (s->workers[0].cut, 1, sizeof s->workers[0].cut);
  s->workers[0].state = MUX_INSTANCE_LEAVING;
  s->lists_withheld = s->mechanism_off;
  load (s, LEAVING_MS, SCENARIO_MANY);
  memset (s->workers[0].cut, 0, sizeof s->workers[0].cut);
  seen = starts_seen (s, 0);
  load (s, 3000, SCENARIO_MANY);
  proof_expect (s, starts_seen (s, 0) == seen, "a leaving worker got a start");
  scenario_heal_and_check (s, 20000);
}

/* A daemon is stopped gracefully, under load.  Each of its callers gets the
 * answer, its workers are used by other daemons within a second, and
 * callers of other daemons are not affected. */
static void
graceful_stop (Scenario *s)
{
  uint32_t old = s->owner[0];
  uint32_t first = load (s, 1000, SCENARIO_MANY);
  int64_t stop_ms = s->net->now_ms;

  proof_fill (s, old, SCENARIO_MANY, 3, 2500);
  scenario_run (s, 100);

  if (s->mechanism_off)
    fake_net_kill (s->net, old);
  else
    scenario_stop (s, old);
  while (s->net->nodes[old].core != NULL
         && !mux_core_stopped (s->net->nodes[old].core)
         && s->net->now_ms < stop_ms + GIVE_UP_MS)
    fake_net_next (s->net);
  proof_expect (s, s->net->now_ms < stop_ms + 5000, "the stop took over 5 s");
  if (s->net->nodes[old].core != NULL)
    fake_net_kill (s->net, old);
  scenario_run (s, 1000);
  proof_expect (s, s->owner[0] != old, "nobody took the claim");
  load (s, 1000, SCENARIO_MANY);
  scenario_run (s, 3000);
  proof_expect_all (s, first, s->call_count - first, MUX_OUTCOME_DONE);
  scenario_heal_and_check (s, 20000);
}

/* A daemon dies under load with the store down.  Its workers are used again
 * once the others have declared it dead; callers of the others get their
 * answers. */
static void
daemon_dies (Scenario *s)
{
  uint32_t old = s->owner[0];
  uint32_t first;

  s->store_fails = s->net->table.down = true;
  load (s, 500, SCENARIO_MANY);
  fake_net_kill (s->net, old);
  scenario_run (s, 6500);
  proof_expect (s, s->owner[0] != old, "its worker was not claimed");
  first = proof_fill (s, s->owner[0], SCENARIO_MANY, 15, 1000);
  scenario_run (s, 4000);
  proof_expect (s, scenario_runs_on (s, 0, s->calls[first].asked_ms) > 0,
                "its worker is not placed on");
  proof_expect_all (s, first, s->call_count - first, MUX_OUTCOME_DONE);
  scenario_heal_and_check (s, 20000);
}

/* An instance fails without notice.  Idempotent requests that ran there run
 * again elsewhere once the platform lists it as gone; new ones go elsewhere
 * after a moment. */
static void
instance_fails (Scenario *s)
{
  uint32_t first = proof_fill (s, 0, SCENARIO_MANY, 8, 1500);

  scenario_run (s, 500);
  s->workers[0].silent = true;
  scenario_incarnation_ended (s, 0);
  scenario_run (s, 1000);
  s->workers[0].state = MUX_INSTANCE_GONE;
  scenario_run (s, 9000);
  proof_expect_all (s, first, 8, MUX_OUTCOME_DONE);
  first = load (s, 500, SCENARIO_MANY);
  scenario_run (s, 3000);
  proof_expect_all (s, first, s->call_count - first, MUX_OUTCOME_DONE);
}

/* Work that no worker can ever hold is refused at once with that reason,
 * and so is a job of it; work that declares 100 ms and takes 4 s still gets
 * its whole answer. */
static void
wrong_sizes (Scenario *s)
{
  uint32_t huge = proof_fill (s, 0, SCENARIO_HUGE, 3, 100);
  uint32_t slow = proof_fill (s, 0, SCENARIO_MANY, 3, 4000);

  scenario_run (s, 300);
  proof_expect_all (s, huge, 3, MUX_OUTCOME_NOT_RUN);
  proof_expect (s, s->calls[huge].answer.reason == MUX_REASON_NEVER_FITS,
                "the reason is not that it never fits");
  scenario_run (s, 9000);
  proof_expect_all (s, slow, 3, MUX_OUTCOME_DONE);
  scenario_heal_and_check (s, 10000);
}

/* Forty jobs are cancelled in one burst, some running, some waiting.  All
 * end, none of their tasks runs on, and later requests find the room free. */
static void
cancel_wave (Scenario *s)
{
  uint32_t tags[40];
  uint32_t first;

  for (uint32_t i = 0; i < 40; i++)
    {
      tags[i] = scenario_work (s, SCENARIO_BATCH + i % 3, true, 3, 60000);
      scenario_submit (s, i % s->net->node_count, tags[i], GIVE_UP_MS);
    }
  scenario_run (s, 3000);
  for (uint32_t i = 0; i < 40; i++)
    scenario_cancel (s, (i + 1) % s->net->node_count, tags[i]);
  scenario_run (s, 12000);
  for (uint32_t i = 0; i < 40; i++)
    proof_expect (s, s->works[tags[i]].running == 0, "cancelled work runs on");
  first = proof_fill (s, 0, SCENARIO_MANY, 8, 200);
  scenario_run (s, 3000);
  proof_expect_all (s, first, 8, MUX_OUTCOME_DONE);
  scenario_heal_and_check (s, 60000);
}

/* A worker fails whatever it starts, and so is always free.  Idempotent
 * requests are answered by other workers, and it soon gets next to nothing;
 * repaired, it is used again, also when only work that must not run twice
 * is left. */
static void
fails_everything (Scenario *s)
{
  uint32_t first;
  uint32_t seen;

  load (s, 2000, SCENARIO_MANY);
  standin_worker_set_fail_all (s->workers[0].logic, true);
  load (s, 2000, SCENARIO_MANY);
  seen = starts_seen (s, 0);
  first = load (s, 4000, SCENARIO_MANY);
  proof_expect (s, starts_seen (s, 0) - seen < 20, "it still gets many starts");
  scenario_run (s, GIVE_UP_MS + 1000);
  proof_expect_all (s, first, s->call_count - first, MUX_OUTCOME_DONE);
  standin_worker_set_fail_all (s->workers[0].logic, false);
  scenario_run (s, 60000);
  seen = starts_seen (s, 0);
  load (s, 15000, SCENARIO_ONCE);
  proof_expect (s, starts_seen (s, 0) > seen, "mended, it is not used");
  scenario_heal_and_check (s, 20000);
}

/* The store is down for a minute.  Idempotent requests are served, keyed
 * ones that must not run twice are answered "unknown"; stored jobs go on
 * and end once it is back. */
static void
store_down_long (Scenario *s)
{
  uint32_t job = scenario_work (s, SCENARIO_REDO, true, 3, 4000);
  uint32_t many, once;

  scenario_submit (s, 0, job, GIVE_UP_MS);
  scenario_run (s, 1000);
  s->store_fails = s->net->table.down = true;
  scenario_run (s, 30000);
  many = proof_fill (s, 0, SCENARIO_MANY, 6, 200);
  once = proof_fill (s, 0, SCENARIO_ONCE, 6, 200);
  scenario_run (s, 3000);
  proof_expect_all (s, many, 6, MUX_OUTCOME_DONE);
  proof_expect_all (s, once, 6, MUX_OUTCOME_UNKNOWN);
  scenario_run (s, 30000);
  scenario_heal_and_check (s, 60000);
  proof_expect (s, s->works[job].runs == 3, "a job's task ran again");
}

/* Each call to the store takes up to 1.4 s.  Work that must not run twice
 * is slower but correct, and work without a key does not wait for the
 * store. */
static void
store_slow (Scenario *s)
{
  uint32_t first;

  s->store_fails = true;
  s->net->table_slow_ms = 700;
  first = proof_fill (s, 0, SCENARIO_ONCE, 6, 200);
  scenario_submit (s, 0, scenario_work (s, SCENARIO_ONCE, false, 0, 200), 1500);
  scenario_run (s, GIVE_UP_MS + 1000);
  proof_expect_all (s, first, 7, MUX_OUTCOME_DONE);
  scenario_heal_and_check (s, 20000);
}

/* The connection on which an answer is due goes silent for good while new
 * ones work.  The caller gets the answer over another connection, and
 * nothing is started again. */
static void
silent_connection (Scenario *s)
{
  uint32_t first;

  s->workers[0].lose_starts = s->workers[1].lose_starts = 3;
  first = proof_fill (s, 0, SCENARIO_ONCE, 6, 500);
  scenario_run (s, 9000);
  proof_expect_all (s, first, 6, MUX_OUTCOME_DONE);
  proof_expect (s, s->run_count == 6, "something ran again");
  scenario_heal_and_check (s, 20000);
}

/* Messages from one daemon to another are lost, those in the other
 * direction arrive.  The daemon that is not heard from soon gets no more
 * requests from its peer; callers get answers. */
static void
silent_one_way (Scenario *s)
{
  uint32_t first;

  s->net->cut[0][1] = true;
  first = load (s, 8000, SCENARIO_MANY);
  scenario_run (s, GIVE_UP_MS);
  proof_expect (s,
                count_told (s, first, MUX_OUTCOME_DONE) * 100
                    >= (s->call_count - first) * 99,
                "over 1 % of the callers got no answer");
  scenario_heal_and_check (s, 30000);
}

/* The first attempt of a request is delayed in transit, superseded and made
 * anew.  When the worker then refuses the first, its answer must not be
 * taken for that of the second, which runs: the work would be started a
 * third time. */
static void
superseded_reply (Scenario *s)
{
  s->workers[0].late_starts = 1;
  s->workers[0].late_ms = 6000;
  scenario_submit (s, 0, scenario_work (s, SCENARIO_ONCE, false, 0, 4000),
                   20000);
  scenario_run (s, 1000);
  s->workers[0].cut[0] = true;
  scenario_run (s, 1600);
  s->workers[0].cut[0] = false;
  scenario_run (s, 15000);
  proof_expect_all (s, s->call_count - 1, 1, MUX_OUTCOME_DONE);
  proof_expect (s, s->run_count == 1, "it did not run once");
  scenario_heal_and_check (s, 10000);
}

/* Answers arrive out of order, some are lost, attempts are superseded.
 * Each caller gets one answer, whole, and its own; the checker compares
 * each. */
static void
own_whole_answer (Scenario *s)
{
  uint32_t first;

  for (uint32_t i = 0; i < s->worker_count; i++)
    {
      s->workers[i].slow_ms = 900;
      s->workers[i].lost_ppm = 200000;
      s->workers[i].late_starts = 3;
      s->workers[i].late_ms = 2500;
    }
  first = load (s, 4000, SCENARIO_MANY);
  scenario_heal_and_check (s, 40000);
  proof_expect (s, count_told (s, first, MUX_OUTCOME_DONE) > 50,
                "hardly a caller got its answer");
}

/* A job's daemon pauses with a start delayed in transit.  When it resumes,
 * it polls the worker and puts a tombstone at once: the poll finds nothing,
 * the start arrives, the tombstone finds it running, and the two answers
 * arrive out of order.  If the older one were taken for the newer, the task
 * would be started elsewhere while it runs. */
static void
stale_absence (Scenario *s)
{
  for (uint32_t round = 0; round < 6; round++)
    {
      for (uint32_t i = 0; i < s->worker_count; i++)
        {
          s->workers[i].slow_ms = 900;
          s->workers[i].late_starts = 4;
          s->workers[i].late_ms = 1600;
        }
      scenario_submit (s, 0, scenario_work (s, SCENARIO_REDO, false, 8, 4000),
                       GIVE_UP_MS);
      scenario_run (s, 100);
      fake_net_freeze (s->net, 0, 1250);
      scenario_run (s, 8000);
    }
  scenario_heal_and_check (s, 60000);
}

/* A worker falls silent with a start in transit, and its owner is stopped.
 * The owner must end: the worker refuses the start once its last moment has
 * passed, so there is nothing to wait for.  Until then the owner sleeps
 * between events and does not spin. */
static void
stops_beside_silence (Scenario *s)
{
  FakeNode *node = &s->net->nodes[0];
  uint64_t events;

  s->workers[0].silent = true;
  proof_fill (s, 0, SCENARIO_ONCE, 1, 500);
  scenario_run (s, 100);
  scenario_stop (s, 0);
  events = mux_counter_value (node->counters, MUX_COUNT_EVENTS);
  scenario_run (s, 70000);
  events = mux_counter_value (node->counters, MUX_COUNT_EVENTS) - events;
  proof_expect (s, events < 10000, "it spun while it stopped");
  proof_expect (s, mux_core_stopped (node->core), "it never stopped");
}

/* A cancel is accepted, and the read that would show the job to the
 * operator finds the ring to the table full.  The operator is answered all
 * the same. */
static void
cancel_ring_full (Scenario *s)
{
  FakeNode *node = &s->net->nodes[0];
  uint32_t tag, cancels = 0;

  for (uint32_t at_ms = 0; at_ms < 16; at_ms++)
    {
      tag = scenario_work (s, SCENARIO_REDO, false, 1, 500);
      scenario_submit (s, 1, tag, GIVE_UP_MS);
      scenario_run (s, 100);
      scenario_cancel (s, 0, tag);
      scenario_run (s, at_ms);
      node->sink.full = true;
      scenario_run (s, 20);
      node->sink.full = false;
      scenario_run (s, 100);
      cancels += s->calls[s->call_count - 1].answers;
    }
  proof_expect (s, cancels == 16, "a cancel was not answered once");
}

static const Proof proofs[] = {
  { "leaving_worker", leaving_worker, true, 3, 3, 1 },
  { "leaving_and_silent", leaving_and_silent, true, 3, 3, 1 },
  { "graceful_stop", graceful_stop, true, 3, 4, 1 },
  { "daemon_dies", daemon_dies, false, 3, 4, 1 },
  { "instance_fails", instance_fails, false, 1, 3, 1 },
  { "wrong_sizes", wrong_sizes, false, 2, 2, 1 },
  { "cancel_wave", cancel_wave, false, 3, 4, 2 },
  { "fails_everything", fails_everything, false, 2, 4, 1 },
  { "store_down_long", store_down_long, false, 2, 2, 1 },
  { "store_slow", store_slow, false, 1, 2, 1 },
  { "silent_connection", silent_connection, false, 1, 2, 1 },
  { "silent_one_way", silent_one_way, false, 3, 3, 1 },
  { "superseded_reply", superseded_reply, false, 1, 1, 1 },
  { "stale_absence", stale_absence, false, 2, 4, 1 },
  { "stops_beside_silence", stops_beside_silence, false, 1, 1, 1 },
  { "cancel_ring_full", cancel_ring_full, false, 2, 1, 1 },
  { "own_whole_answer", own_whole_answer, false, 2, 4, 1 },
};

int
main (void)
{
  return proof_main (proofs, sizeof proofs / sizeof proofs[0]);
}
