#include "support/config_cell.h"
#include "support/test.h"

#include <inttypes.h>

/* Four operators, each at another daemon, change the same class 200 times
 * each.  Responses to writes are lost, some writes take effect only after
 * the loss was reported, and the table is unreachable for a while.  Guards
 * against a change reported as accepted but overwritten, made twice on a
 * retry, or reported as refused and in force later, and against a daemon
 * that returns to an older configuration.  Each would come of a write that
 * is not conditional on the head that it was decided on. */

#define OPERATORS 4
#define CHANGES 200
#define NODES 5
#define OUTAGE_AFTER 300
#define OUTAGE_MS 5000
/* Longer than a late write takes, so that the late write of a change
 * reported as refused is seen before the change is retried. */
#define RETRY_MS 600
#define LOST_PPM 150000
/* From time to time one daemon alone can't reach the table for so long,
 * longer than it tries to resolve a change. */
#define CUT_MS 12000
/* A race that is not over by then has failed. */
#define RACE_MS 3600000
/* The run must have met at least so many faults. */
#define VIOLATIONS_MAX 20
#define LOG_PREFIX "config/log/"
#define CHANGE_PREFIX "config/change/"
/* Call ids: a probe's is PROBE + node, an operator's has its number in the
 * upper half. */
#define PROBE UINT64_C (1000000)

typedef enum
{
  REPLY_NONE,
  REPLY_ACCEPTED,
  REPLY_CONFLICT,
} Reply;

typedef struct
{
  Reply reply;
  uint64_t revision; /* revision reported with it */
  bool expect_set;
  uint64_t expect;
  bool unknown;  /* a request was answered that the outcome is unknown */
  bool refused;  /* a request was answered that it was not made */
  uint32_t seen; /* times found in the history */
} Change;

typedef struct
{
  uint32_t number; /* of the change being made */
  uint64_t seen;   /* revision of the class that it knows of */
  uint64_t call;   /* outstanding, or 0 */
  uint32_t sends;
  int64_t send_ms;
  Change changes[CHANGES];
} Operator;

typedef struct
{
  ConfigCell cell;
  Operator operators[OPERATORS];
  uint64_t shown[FAKE_NODES_MAX]; /* highest revision that a node has shown */
  uint32_t finished;
  uint32_t unknown, refused;
  uint32_t violations;
} Race;

static void
violation (Race *race, const char *what, uint64_t revision)
{
  if (race->violations++ < 5)
    print_message ("%s, revision %" PRIu64 "\n", what, revision);
}

/* Returns the committed change of a revision, or NULL. */
static json_t *
log_row (Race *race, uint64_t revision)
{
  char key[MUX_ROW_KEY_LEN];
  const MuxRow *row;

  snprintf (key, sizeof key, LOG_PREFIX "%020" PRIu64, revision);
  row = fake_table_find (&race->cell.net->table, key);
  return row == NULL ? NULL
                     : json_loadb (row->value->bytes, row->value->len, 0, NULL);
}

static uint64_t
number (const json_t *json, const char *key)
{
  return (uint64_t) json_integer_value (json_object_get (json, key));
}

static void
check_shown (Race *race, uint32_t node, const json_t *shown)
{
  uint64_t revision = number (shown, "revision");
  json_t *row = log_row (race, revision);

  if (revision < race->shown[node])
    violation (race, "a lower revision is shown", revision);
  if (!json_equal (json_object_get (row, "value"),
                   json_object_get (shown, "value")))
    violation (race, "what is shown was not committed", revision);
  race->shown[node] = revision;
  json_decref (row);
}

/* A change whose requests were all answered as not made must be absent. */
static void
check_refused (Race *race, uint32_t index)
{
  const Operator *op = &race->operators[index];
  const Change *change = &op->changes[op->number];
  MuxId id = { index + 1, op->number + 1 };
  char key[MUX_ROW_KEY_LEN] = CHANGE_PREFIX;

  mux_id_format (id, key + strlen (CHANGE_PREFIX));
  if (change->refused && !change->unknown
      && fake_table_find (&race->cell.net->table, key) != NULL)
    violation (race, "told as refused, but it was made", op->number);
}

static void
finish_change (Race *race, Operator *op, Reply reply, uint64_t revision)
{
  op->changes[op->number].reply = reply;
  op->changes[op->number].revision = revision;
  op->seen = revision;
  op->number++;
  race->finished++;
}

static void
handle_reply (Race *race,
              Operator *op,
              const MuxCoreResponse *answer,
              const json_t *body)
{
  op->call = 0;
  op->send_ms = race->cell.net->now_ms;
  if (answer->status == 200)
    finish_change (race, op, REPLY_ACCEPTED, number (body, "revision"));
  else if (answer->reason == MUX_REASON_REVISION)
    finish_change (race, op, REPLY_CONFLICT, number (body, "revision"));
  else if (answer->outcome == MUX_OUTCOME_UNKNOWN)
    {
      race->unknown++;
      op->changes[op->number].unknown = true;
    }
  else
    {
      race->refused++;
      op->changes[op->number].refused = true;
      op->send_ms += RETRY_MS;
    }
}

static void
on_answer (void *user, uint32_t node, const MuxCoreResponse *answer)
{
  Race *race = user;
  uint64_t who = answer->call_id >> 32;
  json_t *body = answer->body == NULL ? NULL
                                      : json_loadb (answer->body->bytes,
                                                    answer->body->len, 0, NULL);

  config_cell_take (&race->cell, answer);
  if (answer->call_id == PROBE + node && answer->status == 200)
    check_shown (race, node, body);
  if (who > 0 && race->operators[who - 1].call != answer->call_id)
    violation (race, "a second answer came", 0);
  else if (who > 0)
    handle_reply (race, &race->operators[who - 1], answer, body);
  json_decref (body);
}

/* Every second operator states the revision that it read; the others write
 * unconditionally.  Each retry goes to another daemon, under the same id. */
static void
send_change (Race *race, uint32_t index)
{
  Operator *op = &race->operators[index];
  Change *change = &op->changes[op->number];
  MuxCoreRequest ask = { .verb = MUX_CORE_CONFIG_PUT,
                         .sort = MUX_CONFIG_CLASS,
                         .name = "desk",
                         .change_id = { index + 1, op->number + 1 },
                         .author = "operator" };
  char value[256];

  if (op->call != 0 || op->number == CHANGES
      || race->cell.net->now_ms < op->send_ms)
    return;
  check_refused (race, index);
  change->expect_set = index % 2 == 1;
  change->expect = op->seen;
  ask.has_expected = change->expect_set;
  ask.expected_revision = change->expect;
  ask.call_id = op->call = (uint64_t) (index + 1) << 32 | ++op->sends;
  config_cell_class (value, index * CHANGES + op->number + 1);
  ask.body = mux_blob_new (value, strlen (value));
  fake_net_request (race->cell.net, (index + op->sends) % NODES, &ask);
  mux_blob_unref (ask.body);
}

static void
probe (Race *race)
{
  MuxCoreRequest ask = { .verb = MUX_CORE_CONFIG_GET,
                         .sort = MUX_CONFIG_CLASS,
                         .name = "desk" };

  for (uint32_t node = 0; node < NODES; node++)
    {
      ask.call_id = PROBE + node;
      fake_net_request (race->cell.net, node, &ask);
    }
}

/* Checks one row of the history against what its operator was answered. */
static void
check_row (Race *race, const json_t *row, uint64_t revision, uint64_t before)
{
  MuxId id;
  Change *change;

  if (!mux_id_parse (json_string_value (json_object_get (row, "change")), &id)
      || id.hi == 0 || id.hi > OPERATORS || id.lo == 0 || id.lo > CHANGES)
    {
      violation (race, "a change of nobody", revision);
      return;
    }
  change = &race->operators[id.hi - 1].changes[id.lo - 1];
  if (change->seen++ > 0)
    violation (race, "a change was made twice", revision);
  if (change->reply != REPLY_ACCEPTED || change->revision != revision)
    violation (race, "told otherwise than what was made", revision);
  if (change->expect_set && change->expect != before)
    violation (race, "made on another state than was expected", revision);
  if (number (json_object_get (row, "value"), "start_within_ms")
      != (id.hi - 1) * CHANGES + id.lo)
    violation (race, "another value than was asked for", revision);
}

static void
check_history (Race *race, uint64_t first)
{
  uint64_t revision = first;
  json_t *row;

  while ((row = log_row (race, revision + 1)) != NULL)
    {
      if (number (row, "revision") != revision + 1)
        violation (race, "a row in the wrong place", revision + 1);
      check_row (race, row, revision + 1, revision);
      json_decref (row);
      revision++;
    }
  for (uint32_t i = 0; i < OPERATORS * CHANGES; i++)
    {
      const Change *change = &race->operators[i / CHANGES].changes[i % CHANGES];

      if (change->reply == REPLY_ACCEPTED && change->seen != 1)
        violation (race, "an accepted change is not there", change->revision);
    }
  for (uint32_t node = 0; node < NODES; node++)
    if (race->shown[node] != revision)
      violation (race, "not in force everywhere", race->shown[node]);
}

static uint64_t
race_begin (Race *race, uint64_t seed)
{
  uint64_t first = config_cell_begin (&race->cell, seed, NODES, 1);

  race->cell.net->hooks.user = race;
  race->cell.net->hooks.answer = on_answer;
  for (uint32_t i = 0; i < OPERATORS; i++)
    race->operators[i].seen = first;
  return first;
}

static void
cut_none (FakeNet *net)
{
  for (uint32_t node = 0; node < NODES; node++)
    net->nodes[node].table_cut = false;
}

static void
cut_one (FakeNet *net)
{
  cut_none (net);
  net->nodes[mux_random_below (&net->random, NODES)].table_cut = true;
}

/* Return: number of violations found. */
static uint32_t
run_race (uint64_t seed, bool ignore_conditions)
{
  static Race race;
  FakeNet *net;
  uint64_t first;
  int64_t up_ms = INT64_MAX;
  int64_t cut_ms = 0;
  int64_t end_ms;

  race = (Race){ 0 };
  first = race_begin (&race, seed);
  net = race.cell.net;
  net->lost_ppm = LOST_PPM;
  net->table.ignore_conditions = ignore_conditions;
  end_ms = net->now_ms + RACE_MS;
  while (race.finished < OPERATORS * CHANGES && net->now_ms < end_ms
         && race.violations < VIOLATIONS_MAX)
    {
      for (uint32_t i = 0; i < OPERATORS; i++)
        send_change (&race, i);
      fake_net_next (net);
      probe (&race);
      if (race.finished >= OUTAGE_AFTER && up_ms == INT64_MAX)
        {
          net->table.down = true;
          up_ms = net->now_ms + OUTAGE_MS;
        }
      if (net->now_ms >= up_ms)
        net->table.down = false;
      if (net->now_ms >= cut_ms)
        {
          cut_one (net);
          cut_ms = net->now_ms + CUT_MS;
        }
    }
  if (race.finished < OPERATORS * CHANGES)
    violation (&race, "changes were never settled", 0);
  cut_none (net);
  net->lost_ppm = 0;
  fake_net_run (net, 4000);
  probe (&race);
  check_history (&race, first);
  print_message ("settled %u, told unknown %u, refused %u, wrong %u\n",
                 race.finished, race.unknown, race.refused, race.violations);
  config_cell_free (&race.cell);
  return race.violations;
}

static void
test_operators_race (void **state)
{
  (void) state;
  for (uint64_t seed = 1; seed <= 5; seed++)
    assert_int_equal (run_race (seed, false), 0);
}

/* The same with a table that ignores conditions: the checks above must
 * detect that changes overwrite one another. */
static void
test_race_without_conditions_is_seen (void **state)
{
  (void) state;
  assert_int_not_equal (run_race (1, true), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_operators_race),
    cmocka_unit_test (test_race_without_conditions_is_seen),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
