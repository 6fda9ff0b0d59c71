#include "support/config_cell.h"
#include "support/test.h"

#define NODES 3

/* Sets up a cell with the product "kiosk" and the class "desk", in force on
 * all nodes. */
static uint64_t
begin (ConfigCell *cell, uint64_t seed)
{
  uint64_t revision = config_cell_begin (cell, seed, NODES, 100);

  fake_net_run (cell->net, 1000);
  return revision;
}

static void
ask (ConfigCell *cell,
     uint32_t node,
     MuxCoreVerb verb,
     MuxConfigSort sort,
     const char *name)
{
  MuxCoreRequest it = { .verb = verb, .sort = sort };

  mux_name_copy (it.name, name);
  config_cell_request (cell, node, &it);
}

/* Returns the revision of the class "desk" that a node shows. */
static uint64_t
shown (ConfigCell *cell, uint32_t node)
{
  ask (cell, node, MUX_CORE_CONFIG_GET, MUX_CONFIG_CLASS, "desk");
  return config_cell_number (cell, "revision");
}

static size_t
listed (ConfigCell *cell, uint32_t node, MuxConfigSort sort)
{
  ask (cell, node, MUX_CORE_CONFIG_LIST, sort, "");
  return json_array_size (json_object_get (cell->json, "items"));
}

/* Runs until a new daemon would accept requests. */
static void
await_ready (ConfigCell *cell, uint32_t node)
{
  int64_t from_ms = cell->net->now_ms;

  while (!mux_core_ready (cell->net->nodes[node].core))
    {
      fake_net_next (cell->net);
      assert_true (cell->net->now_ms - from_ms <= 2000);
    }
}

static void
put_classes (ConfigCell *cell, uint32_t count)
{
  char name[MUX_NAME_LEN];
  char value[256];

  config_cell_class (value, 100);
  for (uint32_t i = 0; i < count; i++)
    {
      snprintf (name, sizeof name, "class-%u", i);
      config_cell_put (cell, i % NODES, MUX_CONFIG_CLASS, name, value);
    }
}

static void
drain (ConfigCell *cell, uint32_t node, const char *worker, bool on)
{
  MuxCoreRequest it = { .verb = MUX_CORE_DRAIN, .drain = on };

  mux_name_copy (it.name, worker);
  config_cell_request (cell, node, &it);
}

static void
assert_refused (const ConfigCell *cell, MuxReason reason)
{
  assert_int_equal (cell->answer.outcome, MUX_OUTCOME_NOT_RUN);
  assert_string_equal (mux_reason_name (cell->answer.reason),
                       mux_reason_name (reason));
}

static void
assert_finding (const ConfigCell *cell, const char *place)
{
  const json_t *findings = json_object_get (cell->json, "findings");
  const char *found = json_string_value (
      json_object_get (json_array_get (findings, 0), "place"));

  assert_refused (cell, MUX_REASON_BAD_FIELD);
  assert_non_null (found);
  assert_string_equal (found, place);
}

/* An instance is replaced while the table is unreachable.  A daemon that
 * serves before it has the configuration would answer "unknown class", one
 * that waits for the table would answer nothing.  It must get the
 * configuration from its peers. */
static void
test_start_without_table (void **state)
{
  ConfigCell *cell = *state;
  uint32_t node;

  begin (cell, 1);
  put_classes (cell, 300);
  ask (cell, 0, MUX_CORE_CONFIG_REMOVE, MUX_CONFIG_CLASS, "class-7");
  cell->net->table.down = true;
  node = fake_net_add (cell->net, "entry-new", "izki-hall");
  assert_false (mux_core_ready (cell->net->nodes[node].core));
  await_ready (cell, node);
  assert_int_equal (shown (cell, node), shown (cell, 0));
  assert_int_equal (listed (cell, node, MUX_CONFIG_CLASS), 300);
}

/* One data centre loses the platform while the others go on changing the
 * configuration.  Its daemons would serve a stale one for hours, though
 * their peers have it; and a page read during a change would mix two
 * revisions. */
static void
test_follow_peers (void **state)
{
  ConfigCell *cell = *state;
  char value[256];
  uint64_t revision;

  begin (cell, 2);
  put_classes (cell, 200);
  cell->net->nodes[2].table_cut = true;
  fake_net_run (cell->net, 3000);
  for (uint32_t i = 0; i < 40; i++)
    {
      config_cell_class (value, 200 + i);
      revision = config_cell_put (cell, i % 2, MUX_CONFIG_CLASS, "desk", value);
    }
  fake_net_run (cell->net, 3000);
  assert_int_equal (shown (cell, 2), revision);
  assert_int_equal (listed (cell, 2, MUX_CONFIG_CLASS), 201);
}

/* A daemon is partitioned from all others for as long as 8,400 changes
 * take.  Workers drained and returned meanwhile are no longer listed by the
 * others; were it sent only what has changed since, it would keep one
 * drained for ever. */
static void
test_back_after_a_day (void **state)
{
  ConfigCell *cell = *state;
  char name[MUX_NAME_LEN];

  begin (cell, 3);
  drain (cell, 0, "old", true);
  fake_net_run (cell->net, 1000);
  assert_int_equal (listed (cell, 2, MUX_CONFIG_DRAIN), 1);
  cell->net->nodes[2].table_cut = true;
  cell->net->cut[0][2] = cell->net->cut[1][2] = true;
  drain (cell, 0, "old", false);
  for (uint32_t i = 0; i < 4200; i++)
    {
      snprintf (name, sizeof name, "worker-%u", i);
      drain (cell, 0, name, true);
      drain (cell, 0, name, false);
    }
  cell->net->cut[0][2] = cell->net->cut[1][2] = false;
  fake_net_run (cell->net, 8000);
  assert_int_equal (listed (cell, 2, MUX_CONFIG_DRAIN), 0);
  assert_int_equal (shown (cell, 2), shown (cell, 0));
}

/* A new daemon must not read a day's changes one by one. */
static void
test_start_from_snapshot (void **state)
{
  ConfigCell *cell = *state;
  uint64_t calls;
  uint32_t node;

  begin (cell, 4);
  put_classes (cell, 600);
  for (uint32_t i = 0; i < NODES; i++)
    fake_net_kill (cell->net, i);
  calls = cell->net->table.calls;
  node = fake_net_add (cell->net, "entry-new", "izki-hall");
  await_ready (cell, node);
  assert_true (cell->net->table.calls - calls <= 5);
  assert_int_equal (listed (cell, node, MUX_CONFIG_CLASS), 601);
}

/* Two operators read the same class and each changes it; the second would
 * silently overwrite the first's change (lost update). */
static void
test_expect (void **state)
{
  ConfigCell *cell = *state;
  MuxCoreRequest it = { .verb = MUX_CORE_CONFIG_PUT,
                        .sort = MUX_CONFIG_CLASS,
                        .name = "desk",
                        .has_expected = true };
  char value[256];
  uint64_t revision;

  it.expected_revision = begin (cell, 5);
  config_cell_class (value, 200);
  it.body = mux_blob_new (value, strlen (value));
  config_cell_request (cell, 1, &it);
  revision = config_cell_number (cell, "revision");
  assert_int_equal (cell->answer.status, 200);
  config_cell_request (cell, 2, &it);
  assert_refused (cell, MUX_REASON_REVISION);
  assert_int_equal (cell->answer.status, 409);
  assert_int_equal (config_cell_number (cell, "revision"), revision);
  assert_int_equal (
      json_integer_value (json_object_get (
          json_object_get (cell->json, "value"), "start_within_ms")),
      200);
  it.expected_revision = 0;
  config_cell_request (cell, 2, &it);
  assert_refused (cell, MUX_REASON_REVISION);
  mux_blob_unref (it.body);
}

/* The response to a write is lost, and the daemon can't read the row back.
 * The change may be in force, so it must not be reported as failed; a retry
 * at any daemon must find out and not make it twice. */
static void
test_lost_answer (void **state)
{
  (void) state;
  for (uint64_t seed = 1; seed <= 6; seed++)
    {
      MuxCoreRequest it = { .verb = MUX_CORE_DRAIN,
                            .name = "worker-1",
                            .drain = true,
                            .change_id = { 7, seed } };
      ConfigCell cell;
      uint64_t revision;

      begin (&cell, seed);
      cell.net->lost_ppm = 1000000;
      config_cell_send (&cell, 0, &it);
      fake_net_run (cell.net, 50);
      cell.net->nodes[0].table_cut = true;
      while (cell.answers == 0)
        fake_net_next (cell.net);
      assert_int_equal (cell.answer.outcome, MUX_OUTCOME_UNKNOWN);
      assert_int_equal (cell.answer.reason, MUX_REASON_WRITE_UNKNOWN);
      cell.net->lost_ppm = 0;
      config_cell_request (&cell, 1, &it);
      assert_int_equal (cell.answer.status, 200);
      revision = config_cell_number (&cell, "revision");
      fake_net_run (cell.net, 3000);
      config_cell_request (&cell, 2, &it);
      assert_int_equal (config_cell_number (&cell, "revision"), revision);
      ask (&cell, 2, MUX_CORE_CONFIG_HISTORY, MUX_CONFIG_CLASS, "");
      assert_int_equal (
          json_array_size (json_object_get (cell.json, "changes")), 3);
      config_cell_free (&cell);
    }
}

/* One core whose table calls are answered by the test. */
typedef struct
{
  FakeSink sink;
  FakeTable table;
  MuxCounters *counters;
  MuxCore *core;
  int64_t now_ms;
} Bench;

static void
bench_give (Bench *bench, MuxEventKind kind, const void *what)
{
  MuxEvent event = { .kind = kind };

  event.u.request = what;
  mux_core_step (bench->core, &event, bench->now_ms);
}

static void
bench_init (Bench *bench)
{
  static const MuxCoreOptions options = { .name = "entry-0",
                                          .data_centre = "izki-hall",
                                          .peer_addr = "127.0.0.1:9000",
                                          .incarnation = 1,
                                          .lease_ms = 5000,
                                          .heartbeat_ms = 500,
                                          .suspect_ms = 2000,
                                          .dead_ms = 5000,
                                          .queue_max = 10,
                                          .writes_per_s = 50 };
  MuxCoreOptions own = options;

  *bench = (Bench){ .now_ms = 1000, .counters = mux_counters_new () };
  fake_sink_init (&bench->sink);
  own.sink = &bench->sink.sink;
  own.counters = bench->counters;
  bench->core = mux_core_new (&own, NULL);
  assert_non_null (bench->core);
}

static void
bench_free (Bench *bench)
{
  mux_core_free (bench->core);
  mux_counters_free (bench->counters);
  fake_sink_clear (&bench->sink);
  fake_table_clear (&bench->table);
}

/* Takes the latest call to the table about @key out of the sink. */
static MuxTableCall *
bench_take (Bench *bench, MuxTableVerb verb, const char *key)
{
  for (uint32_t i = bench->sink.table_count; i-- > 0;)
    {
      MuxTableCall *call = bench->sink.table_calls[i];

      if (call->verb != verb
          || strncmp (call->rows[0].key, key, strlen (key)) != 0)
        continue;
      bench->sink.table_calls[i]
          = bench->sink.table_calls[--bench->sink.table_count];
      return call;
    }
  fail_msg ("no call about %s", key);
  return NULL;
}

static void
bench_reply (Bench *bench, MuxTableCall *call, MuxTableReply *reply)
{
  if (reply == NULL)
    reply = fake_table_call (&bench->table, call);
  bench_give (bench, MUX_EVENT_TABLE_REPLY, reply);
  mux_table_reply_free (reply);
  mux_table_call_free (call);
}

/* A product is set on condition that it does not exist, and the write's
 * response is lost.  The change's row is read and not found; then the write
 * takes effect after all, and the poll brings it into force before the read
 * of the head returns.  The product now exists, so the operator would be
 * told of a conflict with another change, though it was this one. */
static void
test_write_lands_during_check (void **state)
{
  MuxCoreRequest it = { .verb = MUX_CORE_CONFIG_PUT,
                        .sort = MUX_CONFIG_PRODUCT,
                        .name = "kiosk",
                        .has_expected = true,
                        .change_id = { 1, 1 } };
  MuxTableCall *write, *check;
  MuxTableReply *absent, *lost;
  Bench bench;

  (void) state;
  bench_init (&bench);
  bench_give (&bench, MUX_EVENT_TICK, NULL);
  bench_reply (&bench, bench_take (&bench, MUX_TABLE_GET, "config/head"), NULL);
  it.body = mux_blob_new (CONFIG_NO_QUOTA, strlen (CONFIG_NO_QUOTA));
  bench_give (&bench, MUX_EVENT_REQUEST, &it);
  bench_reply (&bench, bench_take (&bench, MUX_TABLE_GET, "config/change/"),
               NULL);
  write = bench_take (&bench, MUX_TABLE_TXN, "config/head");
  lost = mux_table_reply_new (write, MUX_TABLE_UNKNOWN, 0);
  bench_give (&bench, MUX_EVENT_TABLE_REPLY, lost);
  check = bench_take (&bench, MUX_TABLE_GET, "config/change/");
  absent = fake_table_call (&bench.table, check);
  mux_table_reply_free (fake_table_call (&bench.table, write));
  bench.now_ms += 2000;
  bench_give (&bench, MUX_EVENT_TICK, NULL);
  bench_reply (&bench, bench_take (&bench, MUX_TABLE_GET, "config/head"), NULL);
  bench_reply (&bench, bench_take (&bench, MUX_TABLE_SCAN, "config/log/"),
               NULL);
  mux_blob_unref (absent->rows[1].value);
  absent->rows[1] = *fake_table_find (&bench.table, "config/head");
  mux_blob_ref (absent->rows[1].value);
  bench_reply (&bench, check, absent);
  assert_int_equal (bench.sink.answer_count, 0);
  bench.now_ms += 1000;
  bench_give (&bench, MUX_EVENT_TICK, NULL);
  bench_reply (&bench, bench_take (&bench, MUX_TABLE_GET, "config/change/"),
               NULL);
  assert_int_equal (bench.sink.answer_count, 1);
  assert_int_equal (bench.sink.answers[0].status, 200);
  mux_table_reply_free (lost);
  mux_table_call_free (write);
  mux_blob_unref (it.body);
  bench_free (&bench);
}

/* With the table unreachable a change is refused at once, and what is in
 * force stays so and is shown. */
static void
test_table_away (void **state)
{
  ConfigCell *cell = *state;
  uint64_t revision;
  int64_t from_ms;

  revision = begin (cell, 6);
  cell->net->table.down = true;
  fake_net_run (cell->net, 3000);
  from_ms = cell->net->now_ms;
  drain (cell, 0, "worker-1", true);
  assert_refused (cell, MUX_REASON_STORE_DOWN);
  assert_int_not_equal (cell->answer.retry_after_ms, 0);
  assert_int_equal (cell->net->now_ms, from_ms);
  assert_int_equal (shown (cell, 0), revision);
  cell->net->table.down = false;
  fake_net_run (cell->net, 3000);
  drain (cell, 0, "worker-1", true);
  assert_int_equal (cell->answer.status, 200);
}

static void
test_values_are_checked (void **state)
{
  ConfigCell *cell = *state;
  char value[256];

  begin (cell, 7);
  assert_int_equal (config_cell_put (cell, 0, MUX_CONFIG_CLASS, "desk", "{"),
                    0);
  assert_refused (cell, MUX_REASON_BAD_JSON);
  /* Nested deeper than the limit. */
  memset (value, '[', 40);
  memset (value + 40, ']', 40);
  value[80] = 0;
  config_cell_put (cell, 0, MUX_CONFIG_CLASS, "desk", value);
  assert_refused (cell, MUX_REASON_BAD_JSON);
  config_cell_put (cell, 0, MUX_CONFIG_CELL, "cell", "{\"idle\":1}");
  assert_finding (cell, "idle");
  config_cell_put (cell, 0, MUX_CONFIG_CELL, "other", "{\"idle_ppm\":1}");
  assert_finding (cell, "name");
  config_cell_put (cell, 0, MUX_CONFIG_PRODUCT, "a/b", CONFIG_NO_QUOTA);
  assert_finding (cell, "name");
  ask (cell, 0, MUX_CORE_CONFIG_REMOVE, MUX_CONFIG_PRODUCT, "kiosk");
  assert_finding (cell, "name");
  ask (cell, 0, MUX_CORE_CONFIG_REMOVE, MUX_CONFIG_CLASS, "desk");
  assert_int_equal (cell->answer.status, 200);
  ask (cell, 0, MUX_CORE_CONFIG_REMOVE, MUX_CONFIG_CLASS, "desk");
  assert_refused (cell, MUX_REASON_UNKNOWN_CLASS);
  ask (cell, 0, MUX_CORE_CONFIG_REMOVE, MUX_CONFIG_PRODUCT, "kiosk");
  assert_int_equal (cell->answer.status, 200);
  config_cell_class (value, 100);
  config_cell_put (cell, 0, MUX_CONFIG_CLASS, "desk", value);
  assert_finding (cell, "product");
}

static void
revert (ConfigCell *cell, uint32_t node, uint64_t to)
{
  MuxCoreRequest it = { .verb = MUX_CORE_CONFIG_REVERT,
                        .sort = MUX_CONFIG_CLASS,
                        .name = "desk",
                        .revision = to,
                        .author = "on-call",
                        .wall_ms = 5 };

  config_cell_request (cell, node, &it);
}

static void
test_revert (void **state)
{
  ConfigCell *cell = *state;
  char value[256];
  uint64_t first, third;
  const json_t *last;

  first = begin (cell, 8);
  config_cell_class (value, 200);
  config_cell_put (cell, 0, MUX_CONFIG_CLASS, "desk", value);
  drain (cell, 0, "worker-1", true);
  config_cell_class (value, 300);
  third = config_cell_put (cell, 0, MUX_CONFIG_CLASS, "desk", value);
  revert (cell, 1, third - 1);
  assert_int_equal (config_cell_number (cell, "revision"), third + 1);
  ask (cell, 1, MUX_CORE_CONFIG_HISTORY, MUX_CONFIG_CLASS, "");
  last = json_array_get (json_object_get (cell->json, "changes"),
                         (size_t) third);
  assert_int_equal (json_integer_value (json_object_get (
                        json_object_get (last, "value"), "start_within_ms")),
                    200);
  assert_string_equal (json_string_value (json_object_get (last, "who")),
                       "on-call");
  assert_int_equal (json_integer_value (json_object_get (last, "when_ms")), 5);
  revert (cell, 2, first - 1);
  assert_int_equal (cell->answer.status, 200);
  ask (cell, 2, MUX_CORE_CONFIG_GET, MUX_CONFIG_CLASS, "desk");
  assert_refused (cell, MUX_REASON_UNKNOWN_CLASS);
  revert (cell, 2, third + 100);
  assert_finding (cell, "to");
}

typedef struct
{
  uint32_t answers[100];
  uint32_t full;
} Tally;

static void
count_answer (void *user, uint32_t node, const MuxCoreResponse *answer)
{
  Tally *tally = user;

  (void) node;
  tally->answers[answer->call_id]++;
  tally->full += answer->reason == MUX_REASON_QUEUE_FULL;
}

/* A hundred changes arrive at once at a daemon whose table does not answer,
 * and then its process ends.  Each request must be answered, and only once. */
static void
test_one_answer_each (void **state)
{
  FakeHooks hooks;
  ConfigCell *cell = *state;
  Tally tally = { 0 };

  begin (cell, 9);
  hooks = (FakeHooks){ .user = &tally, .answer = count_answer };
  cell->net->hooks = hooks;
  for (uint32_t i = 0; i < 100; i++)
    {
      MuxCoreRequest it
          = { .verb = MUX_CORE_DRAIN, .drain = true, .call_id = i };

      snprintf (it.name, sizeof it.name, "worker-%u", i);
      fake_net_request (cell->net, 0, &it);
    }
  assert_int_equal (tally.full, 36);
  fake_net_run (cell->net, 100);
  fake_net_kill (cell->net, 0);
  for (uint32_t i = 0; i < 100; i++)
    assert_int_equal (tally.answers[i], 1);
}

static int
set_up (void **state)
{
  static ConfigCell cell;

  *state = &cell;
  return 0;
}

static int
tear_down (void **state)
{
  config_cell_free (*state);
  return 0;
}

#define CELL_TEST(test) \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CELL_TEST (test_start_without_table),
    CELL_TEST (test_follow_peers),
    CELL_TEST (test_back_after_a_day),
    CELL_TEST (test_start_from_snapshot),
    CELL_TEST (test_expect),
    cmocka_unit_test (test_lost_answer),
    cmocka_unit_test (test_write_lands_during_check),
    CELL_TEST (test_table_away),
    CELL_TEST (test_values_are_checked),
    CELL_TEST (test_revert),
    CELL_TEST (test_one_answer_each),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
