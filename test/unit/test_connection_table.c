#include "adapter/connection_table.h"
#include "support/test.h"

#define CONNECTIONS 3

typedef struct
{
  MuxConnectionTable table;
  MuxConnection connection[CONNECTIONS + 1];
} Fixture;

/* Opens connection i at i ms; the table is full then. */
static int
set_up (void **state)
{
  Fixture *fixture = calloc (1, sizeof *fixture);

  fixture->table.connections_max = CONNECTIONS;
  fixture->table.served_max = CONNECTIONS;
  fixture->table.memory.limit_bytes = 100;
  for (int i = 0; i < CONNECTIONS; i++)
    {
      mux_connections_add (&fixture->table, &fixture->connection[i], i);
      assert_null (mux_connections_victim (&fixture->table, i));
    }
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  free (*state);
  return 0;
}

/* Adds one more.  Return: the connection to close for it. */
static const MuxConnection *
add_one (Fixture *fixture, int64_t now_ms)
{
  mux_connections_add (&fixture->table, &fixture->connection[CONNECTIONS],
                       now_ms);
  return mux_connections_victim (&fixture->table, now_ms);
}

/* Guards against connections without a request that keep their places. */
static void
test_longest_wait_makes_room (void **state)
{
  Fixture *fixture = *state;
  MuxConnection *first = &fixture->connection[0];

  assert_ptr_equal (add_one (fixture, 10), first);
  assert_true (first->closing);
  assert_int_equal (fixture->table.count, CONNECTIONS);
  mux_connections_remove (&fixture->table, first);
  assert_int_equal (fixture->table.count, CONNECTIONS);
}

/* Guards against a place that is lost in the middle of a series of requests. */
static void
test_wait_begins_with_each_request (void **state)
{
  Fixture *fixture = *state;

  mux_connections_begin (&fixture->table, &fixture->connection[0], 5);
  assert_ptr_equal (add_one (fixture, 10), &fixture->connection[1]);
}

/* Guards against an accepted request whose response is cut off. */
static void
test_served_connections_stay (void **state)
{
  Fixture *fixture = *state;

  for (int i = 0; i < CONNECTIONS; i++)
    assert_true (
        mux_connections_serve (&fixture->table, &fixture->connection[i]));
  assert_null (add_one (fixture, 100000));
}

/* Guards against callers that read no response and keep their places; a
 * response that is young is not cut off. */
static void
test_unread_responses_make_room (void **state)
{
  Fixture *fixture = *state;
  MuxConnection *newcomer = &fixture->connection[CONNECTIONS];

  for (int i = 0; i < CONNECTIONS; i++)
    {
      assert_true (
          mux_connections_serve (&fixture->table, &fixture->connection[i]));
      mux_connections_respond (&fixture->table, &fixture->connection[i], 10);
    }
  assert_null (add_one (fixture, 20));
  mux_connections_remove (&fixture->table, newcomer);
  memset (newcomer, 0, sizeof *newcomer);
  assert_ptr_equal (add_one (fixture, 60000), &fixture->connection[0]);
}

/* Guards against more requests at once than their memory is planned for, and
 * against one that is served though its connection is closing. */
static void
test_served_are_bounded (void **state)
{
  Fixture *fixture = *state;
  MuxConnection *connection = fixture->connection;

  fixture->table.served_max = 1;
  assert_true (mux_connections_serve (&fixture->table, &connection[1]));
  assert_false (mux_connections_serve (&fixture->table, &connection[2]));
  mux_connections_respond (&fixture->table, &connection[1], 10);
  (void) add_one (fixture, 10);
  assert_true (connection[0].closing);
  assert_false (mux_connections_serve (&fixture->table, &connection[0]));
  assert_true (mux_connections_serve (&fixture->table, &connection[2]));
}

/* Guards against memory that stays reserved after each way that a request
 * ends. */
static void
test_memory_is_released (void **state)
{
  Fixture *fixture = *state;
  MuxConnectionTable *table = &fixture->table;
  MuxConnection *connection = fixture->connection;

  assert_true (mux_connections_reserve (table, &connection[0], 40));
  assert_true (mux_connections_reserve (table, &connection[1], 40));
  assert_false (mux_connections_reserve (table, &connection[2], 40));
  assert_true (mux_connections_reserve (table, &connection[2], 20));
  mux_connections_end (table, &connection[0], 5);
  assert_int_equal (table->memory.held_bytes, 60);
  assert_true (mux_connections_serve (table, &connection[1]));
  mux_connections_respond (table, &connection[1], 6);
  assert_int_equal (table->memory.held_bytes, 20);
  mux_connections_remove (table, &connection[2]);
  assert_int_equal (table->memory.held_bytes, 0);
}

/* Guards against unfinished bodies that keep the memory for ever; a young one
 * may still be on its way. */
static void
test_old_bodies_make_room (void **state)
{
  Fixture *fixture = *state;
  MuxConnectionTable *table = &fixture->table;
  MuxConnection *connection = fixture->connection;

  assert_true (mux_connections_reserve (table, &connection[1], 60));
  assert_true (mux_connections_reserve (table, &connection[2], 40));
  assert_null (mux_connections_memory_victim (table, 500));
  assert_ptr_equal (mux_connections_memory_victim (table, 1001),
                    &connection[1]);
  assert_int_equal (table->closing_bytes, 60);
  mux_connections_end (table, &connection[1], 1001);
  assert_int_equal (table->closing_bytes, 0);
  assert_true (mux_connections_serve (table, &connection[2]));
  assert_null (mux_connections_memory_victim (table, 100000));
}

#define TABLE_TEST(test) \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TABLE_TEST (test_longest_wait_makes_room),
    TABLE_TEST (test_wait_begins_with_each_request),
    TABLE_TEST (test_served_connections_stay),
    TABLE_TEST (test_unread_responses_make_room),
    TABLE_TEST (test_served_are_bounded),
    TABLE_TEST (test_memory_is_released),
    TABLE_TEST (test_old_bodies_make_room),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
