#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* How soon daemons learn of changes in the store's tables around short silent
 * outages of the store. */

#define CELLS 3
#define WORKERS 2
/* Let the daemons settle; a feed's call may be at any point of its wait. */
#define SETTLE_MS 3000
#define PHASES_MS 5000
#define PHASE_MS 350
#define OUTAGE_MS 1500
/* Time of the next change after the store's return. */
#define NEXT_MS 500
/* After the end of an outage a daemon is held to all bounds again. */
#define CONTACT_MS 3000
/* A cancelled job's tasks are gone by then. */
#define CANCEL_MS 3000
/* A silent store is noticed within this time, also by a daemon without
 * callers. */
#define NOTICE_MS 2300
/* After this time a feed's copy is stale. */
#define UNKNOWN_MS 3500
/* Longer than any test, and short enough that its progress shows. */
#define LONG_TASK_MS 60000

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
 * A change is put in force, and some ms later the store goes silent for 1.5 s:
 * the call that waits for the next change is lost with its connection. The
 * store serves again, and the next change, a new queue, is written. Daemons
 * must learn of it within the bound, and not give the lost call up only 6.5 s
 * after it was sent while their other calls are answered: callers would be
 * told for seconds that there is no such queue.
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

static uint32_t
running (const World *world)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    n += world->start[i].ended_ms == 0;
  return n;
}

/*
 * A caller cancels a job just after a short outage, and its tasks must not run
 * on for seconds. The daemon that took the cancel stored it; the planner,
 * another one, learns of it by its feed of the jobs table, whose call was lost
 * in the outage.
 */
static void
test_cancel_behind_a_short_outage_stops_its_tasks (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < PHASES_MS; phase_ms += PHASE_MS)
    {
      World *world = world_new (CELLS, WORKERS);
      uint64_t job;
      uint64_t cancel;

      world->task_ms = LONG_TASK_MS;
      world_run (world, SETTLE_MS);
      job = world_submit (world, 0, world_job (1, 4, 1000), "job");
      world_run (world, 600 + phase_ms);
      assert_int_equal (world->response[job].outcome, MUX_RESPONSE_ACCEPTED);
      assert_int_equal (running (world), 4);
      silent_for (world, OUTAGE_MS);
      world_run (world, NEXT_MS);
      cancel = world_request (world, (world_planner (world) + 1) % CELLS,
                              MUX_REQUEST_CANCEL, "job");
      world_run (world, CANCEL_MS);
      assert_int_equal (world->response[cancel].outcome,
                        MUX_RESPONSE_CANCELLED);
      assert_int_equal (running (world), 0);
      world_free (world);
    }
}

/*
 * The store is silent, and a daemon must not go on to accept callers, whom it
 * holds until they give up. It had no caller before, so that all its calls
 * were waiting for changes, and none of them was due.
 */
static void
test_silence_is_noticed_without_callers (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < PHASES_MS; phase_ms += PHASE_MS)
    {
      World *world = world_new (CELLS, WORKERS);

      world_run (world, SETTLE_MS + phase_ms);
      for (uint32_t i = 0; i < CELLS; i++)
        assert_true (mux_cell_ready (world->cell[i].cell));
      world->peers_cut = true;
      all_stores (world, WORLD_SILENT);
      world_run (world, NOTICE_MS);
      for (uint32_t i = 0; i < CELLS; i++)
        assert_false (mux_cell_ready (world->cell[i].cell));
      world_free (world);
    }
}

/*
 * Calls that were lost just before the store's return time out one after the
 * other until 1.5 s after the end of the outage. They must not count as
 * failures of that moment: the log would say that the store fails, and callers
 * be refused, while it serves.
 */
static void
test_time_out_behind_an_outage_is_no_failure (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world_run (world, SETTLE_MS);
  all_stores (world, WORLD_SILENT);
  world_run (world, OUTAGE_MS - 100);
  for (uint32_t i = 0; i < CELLS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, i, world_job (1, 1, 1000), id);
      (void) world_request (world, i, MUX_REQUEST_QUERY, "other");
    }
  world_run (world, 100);
  all_stores (world, WORLD_SERVES);
  world_run (world, CONTACT_MS);
  for (uint32_t i = 0; i < CELLS; i++)
    assert_int_equal (world->cell[i].store_failing, 1);
  world_free (world);
}

static MuxResponseOutcome
ask_elsewhere (World *world, uint64_t call)
{
  MuxRequest *question = calloc (1, sizeof *question);

  assert_non_null (question);
  question->verb = MUX_REQUEST_QUERY;
  question->call_id = call;
  question->host = strdup ("cell.example");
  question->path = strdup ("/unheard-of/x");
  mux_cell_request (
      world->cell[0].cell,
      (MuxCellTime){ world->now_ms, world->now_ms, world->now_ms }, question);
  assert_true (world->answered[call]);
  return world->response[call].outcome;
}

/*
 * A caller of a queue that was added a moment ago must not be told that there
 * is none, after which it does not come back, by a daemon that has not reached
 * the store for seconds.
 */
static void
test_no_queue_is_not_said_on_old_knowledge (void **state)
{
  World *world = world_new (1, 1);

  (void) state;
  world_run (world, SETTLE_MS);
  assert_int_equal (ask_elsewhere (world, 200), MUX_RESPONSE_NO_QUEUE);
  all_stores (world, WORLD_SILENT);
  world_run (world, UNKNOWN_MS);
  assert_int_equal (ask_elsewhere (world, 201), MUX_RESPONSE_REFUSED);
  all_stores (world, WORLD_SERVES);
  world_run (world, CONTACT_MS);
  assert_int_equal (ask_elsewhere (world, 202), MUX_RESPONSE_NO_QUEUE);
  world_free (world);
}

/* One daemon whose calls the test answers itself. */

#define CALLS_MAX 16
#define CLAIM_VERSION 5
#define NEWER_VERSION 20
#define TICK_MS 10

typedef struct
{
  MuxCellSink sink; /* first */
  MuxCounters *counters;
  MuxCell *cell;
  int64_t now_ms;
  uint32_t count;
  MuxCellCall *call[CALLS_MAX]; /* not answered yet */
  uint32_t store_failing;       /* lines of the log */
  uint64_t config_version;      /* in force */
} Lone;

static bool
lone_call (MuxCellSink *sink, MuxCellCall *call)
{
  Lone *lone = (Lone *) sink;

  assert_true (lone->count < CALLS_MAX);
  lone->call[lone->count++] = call;
  return true;
}

static void
lone_answer (MuxCellSink *sink, const MuxResponse *reply)
{
  (void) sink;
  (void) reply;
}

static bool
lone_peer_send (MuxCellSink *sink, const char *addr, const MuxPeerMsg *msg)
{
  (void) sink;
  (void) addr;
  (void) msg;
  return true;
}

static void
lone_log (MuxCellSink *sink, const char *event, json_t *fields)
{
  Lone *lone = (Lone *) sink;

  if (strcmp (event, "store_failing") == 0)
    lone->store_failing++;
  if (strcmp (event, "config_in_force") == 0)
    lone->config_version
        = (uint64_t) json_integer_value (json_object_get (fields, "version"));
  json_decref (fields);
}

static void
lone_run (Lone *lone, int64_t ms)
{
  for (int64_t i = 0; i < ms; i += TICK_MS)
    {
      lone->now_ms += TICK_MS;
      (void) mux_cell_tick (
          lone->cell,
          (MuxCellTime){ lone->now_ms, lone->now_ms, lone->now_ms });
    }
}

static uint32_t
lone_waiting (const Lone *lone, MuxCellVerb verb, MuxCellTable table)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < lone->count; i++)
    n += lone->call[i]->verb == verb && lone->call[i]->table == table;
  return n;
}

/* The oldest of that kind. */
static MuxCellCall *
lone_take (Lone *lone, MuxCellVerb verb, MuxCellTable table)
{
  for (uint32_t i = 0; i < lone->count; i++)
    if (lone->call[i]->verb == verb && lone->call[i]->table == table)
      {
        MuxCellCall *call = lone->call[i];

        lone->call[i] = lone->call[--lone->count];
        return call;
      }
  fail_msg ("no such call waits");
  return NULL;
}

static void
add_claim (MuxCellReply *reply, uint64_t version)
{
  static const char other[] = "{\"name\":\"entry-2\",\"addr\":\"10.0.0.2:7000"
                              "\",\"incarnation\":9,\"term\":1}";
  MuxCellRow *row;

  assert_true (mux_cell_reply_alloc_rows (reply, 1));
  row = &reply->row[reply->row_count++];
  row->version = version;
  if (reply->version < version)
    reply->version = version;
  snprintf (row->key, sizeof row->key, "claim");
  row->value = mux_blob_new (other, strlen (other));
}

static void
add_config (MuxCellReply *reply, uint64_t version)
{
  MuxCellRow *row;

  assert_true (mux_cell_reply_alloc_rows (reply, 1));
  row = &reply->row[reply->row_count++];
  row->version = version;
  reply->version = version;
  row->table = MUX_TABLE_CONFIG;
  snprintf (row->key, sizeof row->key, "config");
  row->config = mux_queue_config_new (0);
  assert_non_null (row->config);
  row->config->version = version;
}

static void
lone_reply (Lone *lone, MuxCellCall *call, MuxCellReply *reply)
{
  mux_cell_call_free (call);
  mux_cell_reply (lone->cell,
                  (MuxCellTime){ lone->now_ms, lone->now_ms, lone->now_ms },
                  reply);
}

/* It knows the configuration and the planner, and waits for changes. */
static Lone *
lone_new (void)
{
  Lone *lone = calloc (1, sizeof *lone);
  MuxCellOptions options = { .name = "entry-1",
                             .data_centre = "nizwa-hall",
                             .peer_addr = "10.0.0.1:7000",
                             .incarnation = 1,
                             .lease_ms = 4000,
                             .dead_ms = 60000,
                             .cpu_share_milli = 1000,
                             .ended_retention_s = 60 };
  MuxCellCall *call;
  MuxCellReply *reply;

  assert_non_null (lone);
  lone->sink
      = (MuxCellSink){ lone_call, lone_answer, lone_peer_send, lone_log };
  lone->counters = mux_counters_new ();
  options.sink = &lone->sink;
  options.counters = lone->counters;
  lone->now_ms = 1000;
  lone->cell = mux_cell_new (&options, NULL);
  assert_non_null (lone->cell);
  lone_run (lone, TICK_MS);
  call = lone_take (lone, MUX_CELL_SCAN, MUX_TABLE_CONFIG);
  reply = mux_cell_reply_new (call, MUX_CELL_OK);
  add_config (reply, CLAIM_VERSION);
  lone_reply (lone, call, reply);
  call = lone_take (lone, MUX_CELL_SCAN, MUX_TABLE_CLAIM);
  reply = mux_cell_reply_new (call, MUX_CELL_OK);
  add_claim (reply, CLAIM_VERSION);
  lone_reply (lone, call, reply);
  lone_run (lone, 2 * TICK_MS);
  return lone;
}

static void
lone_free (Lone *lone)
{
  mux_cell_free (lone->cell);
  for (uint32_t i = 0; i < lone->count; i++)
    mux_cell_call_free (lone->call[i]);
  mux_counters_free (lone->counters);
  free (lone);
}

/* The store shows by another call that it fails, and serves again: the call
 * that waited for a new configuration is abandoned, the next one answered.
 *
 * Return: the abandoned call. */
static MuxCellCall *
lone_over_an_outage (Lone *lone)
{
  MuxCellCall *old;
  MuxCellCall *call;
  MuxCellReply *reply;

  lone_run (lone, OUTAGE_MS);
  call = lone_take (lone, MUX_CELL_FEED, MUX_TABLE_CLAIM);
  lone_reply (lone, call, mux_cell_reply_new (call, MUX_CELL_UNKNOWN));
  lone_run (lone, TICK_MS);
  assert_int_equal (lone_waiting (lone, MUX_CELL_FEED, MUX_TABLE_CONFIG), 2);
  old = lone_take (lone, MUX_CELL_FEED, MUX_TABLE_CONFIG);
  call = lone_take (lone, MUX_CELL_FEED, MUX_TABLE_CONFIG);
  assert_int_equal (call->wait_ms, 0);
  reply = mux_cell_reply_new (call, MUX_CELL_OK);
  add_config (reply, NEWER_VERSION);
  lone_reply (lone, call, reply);
  lone_run (lone, 10 * TICK_MS);
  assert_int_equal (lone->config_version, NEWER_VERSION);
  assert_int_equal (lone->store_failing, 1);
  return old;
}

/*
 * A feed's call is abandoned and sent anew, the new one is answered, and then
 * the old one is: with rows older than those known, with "that history is
 * gone", or with its time-out. Such an answer must be ignored: it would have
 * callers refused, or a table read in full, for what the store said long ago.
 */
static void
test_late_answer_of_a_call_given_up_is_not_heard (void **state)
{
  static const MuxCellStatus late[] = { MUX_CELL_OK, MUX_CELL_HISTORY_GONE,
                                        MUX_CELL_UNKNOWN, MUX_CELL_NOT_DONE };

  (void) state;
  for (uint32_t i = 0; i < sizeof late / sizeof late[0]; i++)
    {
      Lone *lone = lone_new ();
      MuxCellCall *old = lone_over_an_outage (lone);
      MuxCellReply *reply = mux_cell_reply_new (old, late[i]);
      MuxCellCall *call;

      if (late[i] == MUX_CELL_OK)
        add_config (reply, CLAIM_VERSION + 1);
      lone_reply (lone, old, reply);
      lone_run (lone, 10 * TICK_MS);
      assert_int_equal (lone->config_version, NEWER_VERSION);
      assert_int_equal (lone->store_failing, 1);
      assert_int_equal (lone_waiting (lone, MUX_CELL_SCAN, MUX_TABLE_CONFIG),
                        0);
      assert_int_equal (lone_waiting (lone, MUX_CELL_FEED, MUX_TABLE_CONFIG),
                        1);
      call = lone_take (lone, MUX_CELL_FEED, MUX_TABLE_CONFIG);
      assert_int_equal (call->after, NEWER_VERSION);
      mux_cell_call_free (call);
      lone_free (lone);
    }
}

static char other_prefix[] = "/other/";

/* Guards against a queue that can't be used taking the others out of force, or
 * taking jobs that it can't run. */
static void
test_unusable_queue_takes_no_jobs_and_harms_no_other (void **state)
{
  World *world = world_new (CELLS, 2);
  MuxQueueSpec queue[2];
  uint64_t call;

  (void) state;
  world_add_queue (world);
  world_run (world, 1000);
  (void) world_submit (world, 0, world_job (1, 1, 1000), "job-a");
  world_run (world, 500);
  queue[0] = world_queue (world);
  queue[1] = queue[0];
  snprintf (queue[1].name, sizeof queue[1].name, "other");
  queue[1].prefix = other_prefix;
  queue[0].bad_field = "priority";
  world_set_queues (world, queue, 2);
  world_run (world, 500);
  assert_int_equal (
      mux_gauge_value (world->counters, MUX_GAUGE_QUEUES_UNUSABLE), 1);
  assert_int_equal (world_logged (world, "queue_unusable"), CELLS);
  call = world_submit (world, 0, world_job (1, 1, 1000), "job-b");
  world_run (world, 500);
  assert_int_equal (world->response[call].outcome, MUX_RESPONSE_REFUSED);
  snprintf (world->queue, sizeof world->queue, "other");
  call = world_submit (world, 0, world_job (1, 1, 1000), "job-c");
  world_run (world, 3000);
  assert_int_equal (world->response[call].outcome, MUX_RESPONSE_ACCEPTED);
  world->queue[0] = 0;
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
  assert_int_equal (world_starts (world, "job-b"), 0);
  assert_int_equal (world_starts (world, "job-c"), 1);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_change_behind_a_short_outage_is_in_force),
    cmocka_unit_test (test_cancel_behind_a_short_outage_stops_its_tasks),
    cmocka_unit_test (test_silence_is_noticed_without_callers),
    cmocka_unit_test (test_time_out_behind_an_outage_is_no_failure),
    cmocka_unit_test (test_no_queue_is_not_said_on_old_knowledge),
    cmocka_unit_test (test_late_answer_of_a_call_given_up_is_not_heard),
    cmocka_unit_test (test_unusable_queue_takes_no_jobs_and_harms_no_other),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
