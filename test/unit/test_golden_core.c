#include "support/core_record.h"
#include "support/golden.h"
#include "support/scenario.h"
#include "support/test.h"

#define SEED 11
#define GIVE_UP_MS 8000

/* One recorded scenario: a cell of its own and its record. */
typedef struct
{
  Scenario *s;
  CoreRecord *record;
} Session;

static Session
begin (uint32_t nodes, uint32_t workers, uint32_t centres)
{
  Session session = { .s = scenario_new (SEED, nodes, workers, centres) };

  /* Makes delays independent of how many random numbers the start of the
   * cell drew. */
  session.s->net->random.state = SEED;
  session.record = core_record_new (session.s->net);
  return session;
}

static char *
end (Session *session)
{
  char *text = core_record_end (session->record);

  if (session->s->violations > 0)
    fail_msg ("%s", session->s->first_violation);
  scenario_free (session->s);
  return text;
}

typedef struct
{
  const char *file;
  char *(*play) (void);
} RecordedScenario;

/* Runs the scenario twice: the same seed must give the same bytes, or a
 * difference from the golden file would mean nothing. */
static void
test_story (void **state)
{
  const RecordedScenario *scenario = *state;
  char *first = scenario->play (), *second = scenario->play ();

  assert_string_equal (first, second);
  free (second);
  golden_assert (scenario->file, first);
  free (first);
}

/* The node's own workers accept nothing, so that it must request room from
 * another owner. */
static void
leave_own (Scenario *s, uint32_t node)
{
  for (uint32_t i = 0; i < s->worker_count; i++)
    if (s->owner[i] == node)
      s->workers[i].state = MUX_INSTANCE_LEAVING;
  scenario_run (s, 1100);
}

/* A seat is booked at a daemon whose own workers are draining: the owner of
 * another worker grants room, the row of the key is written, and only then
 * is the start sent.  A grant after the start, or a start before the row,
 * would let the same key run twice. */
static char *
booking_scenario (void)
{
  Session session = begin (2, 2, 2);
  Scenario *s = session.s;
  uint32_t call;

  core_record_note (session.record, "entry-0's own workers are leaving");
  leave_own (s, 0);
  core_record_note (session.record, "a keyed booking at entry-0");
  call = scenario_request (s, 0, SCENARIO_ONCE, 50, GIVE_UP_MS);
  scenario_run (s, 300);
  assert_true (scenario_has_outcome (s, call, MUX_OUTCOME_DONE));
  return end (&session);
}

/* A voucher is redeemed at two counters at once.  Both daemons request room
 * and write the key's row; the one whose write fails must wait at the
 * other's worker for its answer and not start a second run. */
static char *
same_key_scenario (void)
{
  Session session = begin (2, 2, 2);
  Scenario *s = session.s;
  uint32_t tag = scenario_work (s, SCENARIO_ONCE, true, 0, 200);
  uint32_t call;

  core_record_note (session.record, "one key at both daemons");
  call = scenario_submit (s, 0, tag, GIVE_UP_MS);
  scenario_submit (s, 1, tag, GIVE_UP_MS);
  scenario_run (s, 300);
  assert_true (scenario_has_outcome (s, call, MUX_OUTCOME_DONE));
  assert_true (scenario_has_outcome (s, call + 1, MUX_OUTCOME_DONE));
  assert_int_equal (s->works[tag].runs, 1);
  return end (&session);
}

/* A start takes effect and its response is lost.  The home resolves it at
 * the worker and returns the one run's answer; a home that started it anew
 * elsewhere would book the seat twice. */
static char *
lost_start_scenario (void)
{
  Session session = begin (2, 2, 2);
  Scenario *s = session.s;
  uint32_t tag = scenario_work (s, SCENARIO_ONCE, true, 0, 300);
  uint32_t call;

  core_record_note (session.record, "the answer of the next start is lost");
  s->workers[0].lose_starts = s->workers[1].lose_starts = 1;
  call = scenario_submit (s, 0, tag, GIVE_UP_MS);
  scenario_run (s, 1000);
  assert_true (scenario_has_outcome (s, call, MUX_OUTCOME_DONE));
  assert_int_equal (s->works[tag].runs, 1);
  return end (&session);
}

/* A settlement batch is stored before its caller is answered, placed and
 * closed; a forecast's gang needs the workers of two owners at the same
 * time and starts only when every task has room. */
static char *
jobs_scenario (void)
{
  Session session = begin (2, 2, 2);
  Scenario *s = session.s;
  uint32_t batch = scenario_work (s, SCENARIO_BATCH, true, 2, 100);
  uint32_t gang = scenario_work (s, SCENARIO_GANG, true, 6, 100);

  core_record_note (session.record, "a batch job of 2 tasks at entry-0");
  scenario_submit (s, 0, batch, GIVE_UP_MS);
  scenario_run (s, 1000);
  core_record_note (session.record,
                    "a gang of 6 at entry-1; a worker holds 4 at once");
  scenario_submit (s, 1, gang, GIVE_UP_MS);
  scenario_run (s, 2500);
  assert_int_equal (s->works[batch].runs, 2);
  assert_int_equal (s->works[gang].runs, 6);
  assert_int_equal (s->works[batch].running + s->works[gang].running, 0);
  assert_int_not_equal (s->owner[0], s->owner[1]);
  return end (&session);
}

/* A daemon dies with a job's task running on its worker.  The other claims
 * the worker at a higher epoch, finds the task in the worker's list and the
 * job in the table, and ends it; a job that nobody adopts would stay open
 * for ever. */
static char *
owner_killed_scenario (void)
{
  Session session = begin (2, 2, 1);
  Scenario *s = session.s;
  uint32_t tag = scenario_work (s, SCENARIO_REDO, true, 1, 8000);
  uint32_t call;

  scenario_submit (s, 1, tag, GIVE_UP_MS);
  scenario_until_running (s, tag);
  scenario_run (s, 500);
  core_record_note (session.record, "entry-1 is killed");
  fake_net_kill (s->net, 1);
  scenario_run (s, 14000);
  assert_int_equal (s->owner[0], 0);
  assert_int_equal (s->owner[1], 0);
  assert_int_equal (s->works[tag].running, 0);
  core_record_note (session.record, "the job's caller asks at entry-0");
  call = scenario_submit (s, 0, tag, GIVE_UP_MS);
  scenario_run (s, 50);
  assert_true (s->calls[call].answers == 1);
  return end (&session);
}

static uint32_t
put_cell (Scenario *s, uint32_t node, const char *who, const char *value)
{
  uint32_t call;
  MuxCoreRequest ask = { .verb = MUX_CORE_CONFIG_PUT,
                         .sort = MUX_CONFIG_CELL,
                         .name = "cell",
                         .has_expected = true };

  mux_name_copy (ask.author, who);
  ask.body = mux_blob_new (value, strlen (value));
  ask.change_id = (MuxId){ 1, node + 1 };
  call = scenario_call (s, node, &ask);
  mux_blob_unref (ask.body);
  return call;
}

/* Two operators change the same object at two daemons at once, each based
 * on the revision it read.  One change is committed and in force at both;
 * the other operator gets the current value, and its own never takes
 * effect. */
static char *
change_scenario (void)
{
  Session session = begin (2, 2, 2);
  Scenario *s = session.s;
  uint32_t first, second;

  core_record_note (session.record, "both operators saw no cell object");
  first = put_cell (s, 0, "hajar", "{\"idle_ppm\":50000}");
  second = put_cell (s, 1, "derby", "{\"idle_ppm\":90000}");
  scenario_run (s, 600);
  assert_int_equal ((s->calls[first].answer.status == 200)
                        + (s->calls[second].answer.status == 200),
                    1);
  assert_int_equal ((s->calls[first].answer.status == 409)
                        + (s->calls[second].answer.status == 409),
                    1);
  return end (&session);
}

/* A daemon is stopped with a booking in flight.  Its caller still gets the
 * whole answer, new callers are referred to other daemons, its workers are
 * handed over, and only then does it end. */
static char *
graceful_stop_scenario (void)
{
  Session session = begin (2, 2, 1);
  Scenario *s = session.s;
  uint32_t call = scenario_request (s, 0, SCENARIO_ONCE, 1500, GIVE_UP_MS);
  uint32_t late;

  scenario_run (s, 100);
  core_record_note (session.record, "entry-0 is to stop");
  scenario_stop (s, 0);
  scenario_run (s, 100);
  core_record_note (session.record, "a caller who comes too late");
  late = scenario_request (s, 0, SCENARIO_ONCE, 50, GIVE_UP_MS);
  scenario_run (s, 2000);
  assert_true (scenario_has_outcome (s, call, MUX_OUTCOME_DONE));
  assert_true (scenario_has_outcome (s, late, MUX_OUTCOME_UNKNOWN));
  assert_true (mux_core_stopped (s->net->nodes[0].core));
  assert_int_equal (s->owner[0], 1);
  assert_int_equal (s->owner[1], 1);
  return end (&session);
}

#define SCENARIO(title)                                         \
  {                                                             \
    "test_" #title, test_story, NULL, NULL, &(RecordedScenario) \
    {                                                           \
      "core_" #title, title##_scenario                          \
    }                                                           \
  }

int
main (void)
{
  const struct CMUnitTest tests[] = {
    SCENARIO (booking),       SCENARIO (same_key),     SCENARIO (lost_start),
    SCENARIO (jobs),          SCENARIO (owner_killed), SCENARIO (change),
    SCENARIO (graceful_stop),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
